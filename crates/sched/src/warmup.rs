//! Limits the rate of requests that a cold target gets from all hosts together.
//!
//! A target may crash if it gets many requests right after its start, and each host of the fleet
//! sees it as idle. Without a common limit, a failure domain that comes back during a burst crashes
//! again.
//!
//! The limit has to hold on both sides of a network partition, so no host coordinates the others. A
//! cold target gets requests only from hosts of its own failure domain, and of those only from the
//! first few in the target's own order (rendezvous hashing), few enough that each may send at least
//! one request a second. Together they use half of the limit. The other half is a reserve for hosts
//! that disagree about the membership: two groups that know nothing of each other together send the
//! whole limit.
//!
//! | what a host observes | how long it treats the target as cold |
//! |---|---|
//! | the target registers and announces a warm-up time | for that time, from when the host learns of it |
//! | the evacuation of its failure domain ends | for a whole warm-up time |
//! | a connection to it breaks, is refused or times out | for [`LOST_HEARTBEATS`] heartbeats: a target that was lost and has come back has registered by then |
//! | anything else | not at all |

use base::{HostId, Ms};
use std::collections::VecDeque;

use crate::assignment;

/// Window over which the limit of requests a second is counted: one second, plus an allowance for
/// requests that take different times on their way to the target.
const RATE_WINDOW: Ms = Ms(1_100);
/// Part of the limit that hosts which agree on the membership use; see the module description.
const USED_SHARE: f64 = 0.5;
/// Heartbeats within which a target either registers again or is considered lost: three missed
/// ones, and two for the delay through the store and the hosts in between.
pub const LOST_HEARTBEATS: u64 = 5;

/// Rate of requests that a cold target may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Multiple of the rate that the target's service declares.
    pub factor: f64,
    /// Requests a second in addition to that.
    pub slack: f64,
}

impl ColdLimit {
    /// The limit, in requests a second, for a declared rate.
    pub fn of(&self, per_second: f64) -> f64 {
        per_second * self.factor + self.slack
    }
}

/// Requests a second that host `me` may send to a cold target, out of `limit` for all hosts.
/// `hosts` are those of the target's failure domain; hosts of other domains get a share of zero.
pub fn share<'a>(
    limit: f64,
    target: &str,
    me: &HostId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> u32 {
    let used = (limit * USED_SHARE).max(0.0) as u32;
    let hosts: Vec<&HostId> = hosts.into_iter().collect();
    let senders = used.min(hosts.len() as u32);
    match assignment::position(target, me, hosts) {
        Some(before) if before < senders => used / senders,
        _ => 0,
    }
}

/// Whether one target is cold, as seen by one host, and what this host has sent to it lately.
#[derive(Clone, Debug, Default)]
pub struct WarmupState {
    until: Ms,
    /// Until when it may be cold because it may have been restarted.
    suspected: Ms,
    sent: VecDeque<Ms>,
}

impl WarmupState {
    /// Treats the target as cold until at least `until`.
    pub fn cold_until(&mut self, until: Ms) {
        self.until = self.until.max(until);
    }

    /// Treats the target as cold until at least `until`, because it may have been restarted.
    pub fn suspect_until(&mut self, until: Ms) {
        self.suspected = self.suspected.max(until);
    }

    /// Drops the suspicion: what it rests on has another cause.
    pub fn clear_suspicion(&mut self) {
        self.suspected = Ms::ZERO;
    }

    /// Time for which the target remains cold; zero if it is warm.
    pub fn remaining(&self, now: Ms) -> Ms {
        self.until.max(self.suspected) - now
    }

    /// Whether a request may be sent now if this host's share is `share` requests a second.
    pub fn admits(&self, now: Ms, share: u32) -> bool {
        self.remaining(now) == Ms::ZERO || self.recent(now) < share as usize
    }

    /// Records that a request is sent now. Requests to warm targets count too: a target may turn
    /// cold at any moment, and what it got shortly before adds to its load.
    pub fn sent(&mut self, now: Ms) {
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| now - *at >= RATE_WINDOW) {
            self.sent.pop_front();
        }
    }

    fn recent(&self, now: Ms) -> usize {
        self.sent.iter().filter(|at| now - **at < RATE_WINDOW).count()
    }
}
