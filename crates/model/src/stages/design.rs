//! Parameters and results of a simulation of batched stages.

/// Which host composes the calls to stage targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Each stage of each request is a call of its own.
    Single,
    /// Each host fills calls with the pieces of its own requests.
    PerHost,
    /// Like [`Self::PerHost`], but each host first gathers pieces for a short time.
    Window,
    /// One host at a time holds the lease of a target and sends it a call; the lease moves on after
    /// each call.
    Lease,
    /// Each target has one host that composes its calls. A stage's pieces go to the shorter queue
    /// of two targets drawn at random.
    PerTarget,
    /// One host composes all calls of a service.
    Composer,
}

/// The fault that lasts from 6 s to 14 s of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One target of each service is five times slower.
    Slow,
    /// One target of each service disappears without notice.
    Lost,
    /// The hosts that compose calls fail and others succeed them. In designs without composers for
    /// several hosts, one host's pieces are lost in the same way.
    Host,
    /// The hosts disagree about the membership: two hosts compose calls for all targets, each for
    /// half of the hosts.
    Split,
}

/// Load and fault of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Request rate as a multiple of the ordinary load of the co-operative deployment.
    pub factor: f64,
    /// The fault.
    pub fault: Fault,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Requests, and requests served in time, by kind.
    pub kinds: [(u64, u64); 3],
    /// Value of all requests, and of those served in time.
    pub value: (f64, f64),
    /// Calls, and the pieces in them.
    pub calls: (u64, u64),
}

impl RunStats {
    /// Share of requests that were served in time.
    pub fn in_time(&self) -> f64 {
        let sum = self.kinds.iter().fold((0, 0), |a, k| (a.0 + k.0, a.1 + k.1));
        sum.1 as f64 / sum.0.max(1) as f64
    }
}
