//! What is played, and what it came to.

/// Who fills the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Each stage of each request is a call of its own.
    Single,
    /// Each host fills calls with its own pieces.
    PerHost,
    /// The same, and each host gathers pieces for a while first.
    Window,
    /// A target's calls come from one host at a time; the lease moves on after each.
    Lease,
    /// Each target has a host of its own, that gets a stage from two targets' by its queue.
    PerTarget,
    /// One host for all calls of a service.
    Composer,
}

/// What fails between six and fourteen seconds of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One target of each service is five times slower.
    Slow,
    /// One target of each service is gone without a word.
    Lost,
    /// The hosts that compose are gone; others follow. Other designs lose the hosts' pieces alike.
    Host,
    /// Hosts see different others: two compose for all targets, each for half of the hosts.
    Split,
}

/// What comes, and what fails.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Entry hosts.
    pub hosts: usize,
    /// Requests, as a multiple of the co-operative's ordinary load.
    pub factor: f64,
    /// What fails.
    pub fault: Fault,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Requests and those in time, by kind.
    pub kinds: [(u64, u64); 3],
    /// Worth of all requests, and of those in time.
    pub value: (f64, f64),
    /// Calls, and pieces in them.
    pub calls: (u64, u64),
}

impl RunStats {
    /// Share of requests that were in time.
    pub fn in_time(&self) -> f64 {
        let sum = self.kinds.iter().fold((0, 0), |a, k| (a.0 + k.0, a.1 + k.1));
        sum.1 as f64 / sum.0.max(1) as f64
    }
}
