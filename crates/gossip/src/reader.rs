//! Read access to a node's state and counters.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use wire::{FleetObject, Member};

use crate::node::Shared;

/// Counters of a node's traffic and calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of exchanges sent to other hosts, calls and answers.
    pub sent_bytes: u64,
    /// Bytes of exchanges received from other hosts, calls and answers.
    pub heard_bytes: u64,
    /// Exchanges that this host started.
    pub exchanges: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Polls of targets.
    pub polls: u64,
}

/// Reads a node's state and counters, even after it has stopped.
#[derive(Clone)]
pub struct Reader {
    shared: Arc<Shared>,
}

impl Reader {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// All hosts known to this one, including the dead, with their generation.
    pub fn members(&self) -> Vec<Member> {
        self.shared.lock().members().cloned().collect()
    }

    /// The configuration in force here, with its audit trail.
    pub fn fleet(&self) -> Option<FleetObject> {
        self.shared.lock().fleet().cloned()
    }

    /// The counters so far.
    pub fn counters(&self) -> Counters {
        let counts = &self.shared.counts;
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Counters {
            sent_bytes: get(&counts.sent),
            heard_bytes: get(&counts.received),
            exchanges: get(&counts.exchanges),
            platform_calls: self.shared.lock().platform_calls(),
            polls: get(&counts.polls),
        }
    }
}
