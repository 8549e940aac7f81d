//! What a node tells its host, and a host its node.

use base::{DomainId, Ms, PoolId, TargetId};
use conf::Plan;
use std::sync::Arc;

/// Something learned.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration is in force; its generation is above all earlier ones.
    Fleet(Arc<Plan>),
    /// A target is leaving, or has come back.
    Leaving {
        /// Which target.
        target: TargetId,
        /// False when it has come back.
        leaving: bool,
    },
    /// Another host gave up on a request that brings targets down.
    Poisoned {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// How long to remember it.
        until: Ms,
    },
    /// Load of a target, as its poller read it.
    Load {
        /// Which target.
        target: TargetId,
        /// Requests it runs.
        running: u32,
        /// Requests that wait there.
        queued: u32,
        /// When it was true.
        at: Ms,
    },
    /// Load of a pool in another failure domain.
    DomainLoad {
        /// Which failure domain.
        domain: DomainId,
        /// Which pool.
        pool: PoolId,
        /// Requests its targets run.
        running: u32,
        /// Requests that wait there.
        queued: u32,
        /// Requests that its targets run at once.
        slots: u32,
        /// When it was true.
        at: Ms,
    },
    /// An engine's cache took or dropped a prompt prefix.
    Cache {
        /// Which engine.
        target: TargetId,
        /// The engine's own count of its events.
        seq: u64,
        /// Hash of the prefix.
        prefix: u64,
        /// True when it came in.
        stored: bool,
    },
    /// How many live hosts there are in this failure domain, this one included.
    Hosts {
        /// Their number, at least 1.
        live: u32,
    },
}

/// Something to tell the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// A request brings targets down.
    Poison {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// How long to remember it.
        until: Ms,
    },
    /// This host is stopping.
    Leaving,
}
