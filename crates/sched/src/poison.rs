//! Detects requests that crash the targets that run them (poison requests).
//!
//! A caller may send such a request again through any host, and it brings down one target after the
//! other. Without detection, a single caller takes a whole service down for seconds at a time.
//!
//! A request is identified by its route, path, workspace and body, because a retry has an
//! identifier of its own. A broken connection is evidence only: the cause may be a lost link. So a
//! request counts as poison after [`POISON_THRESHOLD`] breaks at different targets, or at different
//! incarnations of one target, without a successful response in between. Other hosts are told of
//! each break. A target that crashed restarts as another incarnation; one whose link breaks again
//! and again does not.
//!
//! In a small fleet all hosts are told of each break. In a large one, the crash of a few dozen
//! engines with a handful of requests each would make every host notify every other one at the same
//! moment. These ten thousand messages or so would delay the requests that have to be retried. So
//! there one host counts the breaks of a request, and all others are told from the second break on.

use base::{Ms, TargetId};
use std::collections::HashMap;

/// Number of different targets whose connections must break under a request. One or two breaks
/// happen to healthy requests when targets crash for other reasons; a third within [`RETENTION`]
/// hardly ever does.
pub const POISON_THRESHOLD: usize = 3;
/// How long breaks are remembered: longer than a crashed target takes to come back and the caller
/// takes to retry.
pub const RETENTION: Ms = Ms::secs(60);
/// Largest number of requests that are remembered; beyond it the oldest are dropped. About 100
/// bytes each.
const MAX_REQUESTS: usize = 4_096;

/// Largest fleet in which all hosts are told of each break.
const SMALL_FLEET: usize = 24;
/// Breaks of one request from which on all hosts of a larger fleet are told. One happens to each
/// healthy request whose target crashes, two hardly ever do.
const BROADCAST_BREAKS: usize = 2;

/// Which hosts are told of a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts.
    All,
    /// The host that counts the breaks of the request.
    Counter,
}

/// Which hosts to tell that `breaks` targets have broken under a request, in a fleet of `hosts`
/// hosts.
pub fn recipients(hosts: usize, breaks: usize) -> Recipients {
    match hosts <= SMALL_FLEET || breaks >= BROADCAST_BREAKS {
        true => Recipients::All,
        false => Recipients::Counter,
    }
}

#[derive(Debug, Default)]
struct Breaks {
    last: Ms,
    targets: Vec<TargetId>,
}

/// Breaks by the fingerprint of the request.
#[derive(Debug, Default)]
pub struct Poison {
    breaks: HashMap<u64, Breaks>,
}

impl Poison {
    /// Records that this incarnation of a target broke the connection before it answered this
    /// request. Returns whether this was not known yet.
    pub fn record(&mut self, now: Ms, fingerprint: u64, target: &TargetId) -> bool {
        self.evict(now);
        let breaks = self.breaks.entry(fingerprint).or_default();
        breaks.last = now;
        if breaks.targets.contains(target) || breaks.targets.len() >= POISON_THRESHOLD {
            return false;
        }
        breaks.targets.push(target.clone());
        true
    }

    /// Records a successful response: the request did not cause the earlier breaks.
    pub fn clear(&mut self, fingerprint: u64) {
        self.breaks.remove(&fingerprint);
    }

    /// Forgets that a target broke under requests: its end has another cause.
    pub fn forgive(&mut self, target: &TargetId) {
        self.breaks.values_mut().for_each(|breaks| breaks.targets.retain(|t| t != target));
    }

    /// Whether the request must not be sent any more.
    pub fn is_poison(&self, now: Ms, fingerprint: u64) -> bool {
        let known = self.breaks.get(&fingerprint);
        known.is_some_and(|b| b.targets.len() >= POISON_THRESHOLD && now - b.last <= RETENTION)
    }

    /// The targets that broke under the request.
    pub fn broken(&self, fingerprint: u64) -> &[TargetId] {
        self.breaks.get(&fingerprint).map_or(&[], |b| b.targets.as_slice())
    }

    fn evict(&mut self, now: Ms) {
        if self.breaks.len() < MAX_REQUESTS {
            return;
        }
        self.breaks.retain(|_, b| now - b.last <= RETENTION);
        while self.breaks.len() >= MAX_REQUESTS {
            let oldest = self.breaks.iter().min_by_key(|(_, b)| b.last).map(|(f, _)| *f);
            let Some(oldest) = oldest else { return };
            self.breaks.remove(&oldest);
        }
    }
}
