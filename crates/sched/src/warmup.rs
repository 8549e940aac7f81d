//! *Warmup*: how much a cold target gets, from all hosts together.
//!
//! Answers: targets that crash when they get much right after a start, and a fleet whose hosts each
//! see an idle target. Without a common limit a domain that comes back into a burst falls over
//! again.
//!
//! No host coordinates the others, since a limit must hold on both sides of a cut. A cold target
//! gets work only from hosts of its own failure domain, and of those only from the first few in the
//! target's own order (rendezvous hashing), so that each may send at least one request a second.
//! They share half of the limit. The other half is for hosts that differ about who there is: two
//! groups that know nothing of each other send the whole of it.
//!
//! | what a host sees of a target | what follows |
//! |---|---|
//! | it registers that it stays cold for some time | cold for that time, counted from when it was heard |
//! | its evacuation is taken back | cold for a whole warm-up |
//! | a connection to it breaks, is refused or goes silent | cold for [`LOST_HEARTBEATS`] heartbeats: a target that was lost and is back has registered in that time |
//! | otherwise | warm |

use base::{HostId, Ms};
use std::collections::VecDeque;

use crate::assignment;

/// Span of the limit, ms, with the time for which requests may differ on their way to a target.
const SECOND: Ms = Ms(1_100);
/// Part of the limit that hosts which agree use, percent.
const AGREED: f64 = 0.5;
/// Heartbeats of a target in which it either registers again or is taken for gone: three that are
/// missed, and two for the store and the hosts between.
pub const LOST_HEARTBEATS: u64 = 5;

/// How many requests a cold target may get in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Multiple of the rate that the target's service declares.
    pub factor: f64,
    /// Requests besides.
    pub slack: f64,
}

impl ColdLimit {
    /// Requests a second for a declared rate.
    pub fn of(&self, per_second: f64) -> f64 {
        per_second * self.factor + self.slack
    }
}

/// Requests that host `me` may send to a cold target within a second, of `limit` in all. `hosts`
/// are those of the target's failure domain; a host of another domain gets none.
pub fn share<'a>(
    limit: f64,
    target: &str,
    me: &HostId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> u32 {
    let agreed = (limit * AGREED).max(0.0) as u32;
    let hosts: Vec<&HostId> = hosts.into_iter().collect();
    let senders = agreed.min(hosts.len() as u32);
    match assignment::position(target, me, hosts) {
        Some(before) if before < senders => agreed / senders,
        _ => 0,
    }
}

/// One target's warmth, as one host sees it.
#[derive(Clone, Debug, Default)]
pub struct WarmupState {
    until: Ms,
    sent: VecDeque<Ms>,
}

impl WarmupState {
    /// It is cold, or must be taken to be, until `until`.
    pub fn cold_until(&mut self, until: Ms) {
        self.until = self.until.max(until);
    }

    /// Time for which it stays cold; zero for a warm one.
    pub fn remaining(&self, now: Ms) -> Ms {
        self.until - now
    }

    /// Whether a request may be sent now, with a share of so many a second.
    pub fn admits(&self, now: Ms, share: u32) -> bool {
        self.remaining(now) == Ms::ZERO || self.recent(now) < share as usize
    }

    /// A request is sent now. Counted for warm targets too: one may turn cold at any moment, and
    /// what it got shortly before counts.
    pub fn sent(&mut self, now: Ms) {
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|at| now - *at >= SECOND) {
            self.sent.pop_front();
        }
    }

    fn recent(&self, now: Ms) -> usize {
        self.sent.iter().filter(|at| now - **at < SECOND).count()
    }
}
