//! Configuration, faults and counters of a fake target.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Configuration of a fake target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetConfig {
    /// Its name.
    pub name: String,
    /// Address to listen on; port 0 picks a free port.
    pub addr: SocketAddr,
    /// Whether it is an engine that streams tokens; other targets send one complete answer.
    pub engine: bool,
    /// Requests that it runs concurrently; others are queued.
    pub slots: usize,
    /// Time for one call without tokens, ms.
    pub call_ms: u64,
    /// Time per generated token, ms.
    pub token_ms: u64,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Whether it rejects an order with an outdated fencing number.
    pub checks_fence: bool,
}

/// Faults of a fake target, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetFaults {
    /// Closes each connection without an answer and runs nothing.
    pub down: bool,
    /// Factor for all times; zero counts as one.
    pub slow: u64,
    /// Runs calls but never answers on existing connections. New connections work again once this
    /// is off.
    pub silent: bool,
    /// An input that contains this text crashes the target for `crash_ms`.
    pub crash_on: String,
    /// How long it is down after a crash, ms.
    pub crash_ms: u64,
    /// Streams end early after this many tokens; zero disables this.
    pub cut_after: u32,
    /// Answers carry a wrong request identifier.
    pub mismatch: bool,
    /// Answers 503 to every call.
    pub full: bool,
    /// Load reports are this old, ms.
    pub lag_ms: u64,
    /// Delay of cache events, ms.
    pub late_events_ms: u64,
    /// One cache event in this many is lost; zero loses none.
    pub lose_events: u64,
    /// Load reports state that the target is leaving.
    pub leaving: bool,
}

/// Counters of a fake target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// Calls that were started.
    pub started: u64,
    /// Calls that were completed.
    pub done: u64,
    /// Calls that ended early because the caller disconnected.
    pub cancelled: u64,
    /// Number of crashes.
    pub crashes: u64,
    /// Number of started calls by idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Tokens that a cached prefix saved.
    pub cached_tokens: u64,
}
