//! The load and the faults of one run.

use base::Ms;

/// A run's load and faults. Times count from its start.
#[derive(Clone, Debug)]
pub struct Script {
    /// Arrivals stop after this time; open requests still run to their end.
    pub length: Ms,
    /// Steps of the load: a start time, and the load from then on as a share of the engines'
    /// capacity.
    pub load: Vec<(Ms, f64)>,
    /// Share of the load that the first workspace sends; if `None`, the load is split by weight.
    pub hot_workspace: Option<f64>,
    /// Number of prefix keys that account for 80 % of the load; if `None`, all keys are equally
    /// frequent.
    pub hot_keys: Option<u64>,
    /// Share of requests that carry a prefix key.
    pub prefixed: f64,
    /// Share of requests to the pipeline with the longest answers; if `None`, the default mix.
    pub long_share: Option<f64>,
    /// Faults and other changes, in order of time.
    pub changes: Vec<(Ms, Change)>,
    /// Delay of load reports until hosts get them.
    pub report_lag: Ms,
    /// Time between load reports of one target.
    pub report_every: Ms,
    /// Requests that crash the targets that run them.
    pub poison: Option<Poisoned>,
    /// What callers do after a refusal.
    pub resend: Resend,
}

/// A fault or other change during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The engine with this index becomes slower by this factor; 1 restores it.
    Slow(usize, f64),
    /// All targets of the pool with this index become slower by this factor; 1 restores them.
    SlowPool(usize, f64),
    /// This share of all engine executions fails; 0 restores the engines.
    Errors(f64),
    /// The engine with this index crashes and restarts with an empty cache.
    Crash(usize),
    /// The engine with this index stops answering, on existing and new connections.
    Silent(usize),
    /// The engine with this index is leaving.
    Leaving(usize),
    /// The failure domain with this index is cut off with all its targets.
    Lost(usize),
    /// The failure domain with this index is reconnected; its targets start with empty caches.
    Back(usize),
    /// The host with this index drains; the load balancer learns of it later.
    Drain(usize),
    /// The load balancer stops sending to the hosts of the failure domain with this index.
    Avoid(usize),
    /// The load balancer stops sending to the host with this index.
    Unlist(usize),
}

/// Poison requests, which crash the targets that run them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Poisoned {
    /// Number of callers that send one each.
    pub callers: u32,
    /// How often each caller re-sends it.
    pub resends: u32,
    /// Time from a refusal to the next re-send.
    pub gap: Ms,
}

/// What callers do after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// They give up.
    Never,
    /// They re-send after the retry time given in the refusal, if any, while their deadline allows
    /// it.
    Honour,
    /// They re-send after this time, whatever the refusal says, while their deadline allows it.
    Insist(Ms),
}
