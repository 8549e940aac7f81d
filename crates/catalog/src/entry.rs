//! A target's registration.

use base::{BuildId, DomainId, Ms, PoolId, TargetId};
use std::net::SocketAddr;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes the work that it has, then leaves.
    Draining,
}

/// A target's registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name. It is sent along with each request, so that another target that gets the same
    /// address later refuses the request.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: PoolId,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// The version of its software. What two versions write doesn't fit into one stream.
    pub build: BuildId,
    /// Number of requests or calls it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Remaining time for which it is slow after its start, ms.
    pub warmup: Ms,
    /// Number of registrations it has written since its start.
    pub seq: u64,
    /// Start time, ms since the Unix epoch. Tells apart two incarnations with the same name.
    pub born: u64,
}
