//! Updates that a node sends to its host process, and announcements that the process sends to other
//! hosts.

use base::{DomainId, Ms, PoolId, TargetId};
use conf::Plan;
use std::sync::Arc;

/// Something that the node has learned.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration is in force; its generation is never lower than an earlier one's.
    Fleet(Arc<Plan>),
    /// A target is leaving or no longer leaving.
    Leaving {
        /// The target.
        target: TargetId,
        /// False if it is no longer leaving.
        leaving: bool,
    },
    /// Another host gave up on a request that crashes targets.
    Poisoned {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// When the mark expires.
        until: Ms,
    },
    /// Load of a target, as the host that polled it read it.
    Load {
        /// The target.
        target: TargetId,
        /// Running requests.
        running: u32,
        /// Waiting requests.
        queued: u32,
        /// When the load was measured.
        at: Ms,
    },
    /// Load of a pool in another failure domain.
    DomainLoad {
        /// The failure domain.
        domain: DomainId,
        /// The pool.
        pool: PoolId,
        /// Running requests on all its targets.
        running: u32,
        /// Waiting requests.
        queued: u32,
        /// Requests that its targets can run at once.
        slots: u32,
        /// When the load was measured.
        at: Ms,
    },
    /// An engine's cache stored or evicted a prompt prefix.
    Cache {
        /// The engine.
        target: TargetId,
        /// Sequence number that the engine gave the event.
        seq: u64,
        /// Hash of the prefix.
        prefix: u64,
        /// True if it was stored, false if it was evicted.
        stored: bool,
    },
    /// The number of live hosts in this failure domain changed.
    Hosts {
        /// Number of live hosts, including this one; at least 1.
        live: u32,
    },
}

/// Something that a host announces to the other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// A request crashes targets.
    Poison {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// When the mark expires.
        until: Ms,
    },
    /// This host is stopping.
    Leaving,
}
