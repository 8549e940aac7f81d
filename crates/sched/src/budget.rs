//! *Budget*: how many second sends a service gets from this host.
//!
//! Answers: targets that fail while traffic is high. Without it every failed send becomes two or
//! three, and the service that was nearly full is buried.
//!
//! The allowance is one for the fleet: a ratio of the requests in a window plus a fixed slack. A
//! host knows only its own requests, so it spends the ratio of these and its part of the slack:
//! the parts of all hosts add up to the whole. Hosts that can't see each other would each take a
//! larger part, so the part is of the most hosts that were ever seen alive at once.

use base::{Ms, PoolId};
use std::collections::{HashMap, VecDeque};

/// Part of the allowance that is spent, percent: sends under way when a window slides, and hosts
/// that have just started and count too few others, use the rest.
const SPENT_SHARE: f64 = 0.8;

/// The fleet's allowance.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends in a window besides.
    pub slack: f64,
    /// Length of a window, ms.
    pub window: Ms,
}

/// What was sent to one service lately.
#[derive(Debug, Default)]
struct Recent {
    firsts: VecDeque<Ms>,
    seconds: VecDeque<Ms>,
}

/// This host's part.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    hosts: usize,
    recent: HashMap<PoolId, Recent>,
}

impl RetryBudget {
    /// Alone at first.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, hosts: 1, recent: HashMap::new() }
    }

    /// So many hosts are alive, this one included.
    pub fn hosts(&mut self, live: usize) {
        self.hosts = self.hosts.max(live);
    }

    /// A request for the service arrived.
    pub fn request(&mut self, now: Ms, service: &PoolId) {
        self.recent(now, service).firsts.push_back(now);
    }

    /// Takes one second send, if there is one left.
    pub fn take(&mut self, now: Ms, service: &PoolId) -> bool {
        let Allowance { ratio, slack, .. } = self.allowance;
        let part = slack / self.hosts as f64;
        let recent = self.recent(now, service);
        let limit = SPENT_SHARE * (ratio * recent.firsts.len() as f64 + part);
        let fits = (recent.seconds.len() + 1) as f64 <= limit;
        if fits {
            recent.seconds.push_back(now);
        }
        fits
    }

    fn recent(&mut self, now: Ms, service: &PoolId) -> &mut Recent {
        let window = self.allowance.window;
        let recent = self.recent.entry(service.clone()).or_default();
        for times in [&mut recent.firsts, &mut recent.seconds] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
        recent
    }
}
