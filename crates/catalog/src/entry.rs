//! What one target says of itself.

use base::{DomainId, Ms, PoolId, TargetId};
use std::net::SocketAddr;

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// A target's registration.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name; sent along with work, so that whoever has its address later refuses it.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: PoolId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Work it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// How much longer it stays slow after its start, ms.
    pub warmup: Ms,
    /// Its own count of what it wrote since its start.
    pub seq: u64,
    /// When it started, ms since the Unix epoch: tells two lives under one name apart.
    pub born: u64,
}
