//! *Poison*: which requests are refused because they crash targets.
//!
//! A request may crash each target that runs it, and its caller sends it again. Without detection,
//! retries and re-sends take down the fleet, one target after the other.
//!
//! When the connection to a target breaks, each request on it is marked with that target. Marks are
//! kept by fingerprint, so they apply to a re-send as well. A request that gets a second mark from
//! another target is ended: one mark may be chance, and waiting for a third would cost another
//! target. Requests that merely shared the target get the first mark too, but are not blocked for
//! it. Marked requests are kept on separate targets where possible, and a fingerprint is blocked
//! and reported to the other hosts only if no other marked request was on the second target when it
//! broke.
//!
//! Only a broken connection indicates a crash: a process that dies closes its sockets, while a host
//! or a link that fails stops responding. If [`OUTAGE_TARGETS`] targets of one failure domain break
//! within [`OUTAGE_WINDOW`] under requests that were not marked, the cause is an outage of the
//! domain and not a request, so no fingerprint is blocked.

use base::Ms;
use std::collections::{HashMap, VecDeque};

/// Lifetime of a mark. A caller that sends a request again does so within minutes.
const MARK_TTL: Ms = Ms::secs(300);
/// Window in which broken targets of one failure domain are counted.
const OUTAGE_WINDOW: Ms = Ms::secs(2);
/// Number of targets of one failure domain that break under unmarked requests before this counts as
/// an outage.
const OUTAGE_TARGETS: usize = 3;
/// Maximum number of marks, and of blocked fingerprints. The oldest are evicted first.
const MAX_ENTRIES: usize = 16_384;

/// Marked requests, blocked fingerprints and recently broken targets.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    marks: HashMap<u64, Mark>,
    mark_order: VecDeque<(Ms, u64)>,
    blocked: HashMap<u64, Ms>,
    block_order: VecDeque<u64>,
    breaks: VecDeque<Break>,
}

/// The target that broke, and its failure domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultSite {
    pub(crate) target: u32,
    pub(crate) domain: u32,
}

/// What a broken target indicates about a request that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// The request is marked.
    Marked,
    /// A second target broke, but another request or an outage may have caused it.
    Inconclusive,
    /// The request crashes targets.
    Confirmed,
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    target: u32,
    until: Ms,
}

#[derive(Clone, Copy, Debug)]
struct Break {
    target: u32,
    domain: u32,
    at: Ms,
}

impl Poison {
    /// Time until which a fingerprint is refused.
    pub(crate) fn blocked_until(&self, now: Ms, fingerprint: u64) -> Option<Ms> {
        self.blocked.get(&fingerprint).copied().filter(|&until| now < until)
    }

    /// Whether a request was on a target that broke.
    pub(crate) fn is_marked(&self, now: Ms, fingerprint: u64) -> bool {
        self.marks.get(&fingerprint).is_some_and(|m| now < m.until)
    }

    /// Records that a target broke while it ran a request. `other_marked` tells whether another
    /// marked request was on it.
    pub(crate) fn record_break(
        &mut self,
        now: Ms,
        fingerprint: u64,
        at: FaultSite,
        other_marked: bool,
    ) -> Suspicion {
        self.expire(now);
        let earlier = self.marks.get(&fingerprint).copied().filter(|m| now < m.until);
        let Some(earlier) = earlier else {
            if self.breaks.iter().all(|b| b.target != at.target) {
                self.breaks.push_back(Break { target: at.target, domain: at.domain, at: now });
            }
            let until = now + MARK_TTL;
            self.marks.insert(fingerprint, Mark { target: at.target, until });
            self.mark_order.push_back((until, fingerprint));
            return Suspicion::Marked;
        };
        match () {
            () if earlier.target == at.target => Suspicion::Marked,
            () if other_marked || self.is_outage(at.domain) => Suspicion::Inconclusive,
            () => Suspicion::Confirmed,
        }
    }

    /// Refuses a fingerprint until `until`. If it is already blocked, the later time applies.
    pub(crate) fn block(&mut self, fingerprint: u64, until: Ms) {
        match self.blocked.get_mut(&fingerprint) {
            Some(kept) => *kept = (*kept).max(until),
            None => {
                self.blocked.insert(fingerprint, until);
                self.block_order.push_back(fingerprint);
            }
        }
        if self.block_order.len() > MAX_ENTRIES
            && let Some(oldest) = self.block_order.pop_front()
        {
            self.blocked.remove(&oldest);
        }
    }

    fn is_outage(&self, domain: u32) -> bool {
        self.breaks.iter().filter(|b| b.domain == domain).count() >= OUTAGE_TARGETS
    }

    fn expire(&mut self, now: Ms) {
        while self.breaks.front().is_some_and(|b| b.at + OUTAGE_WINDOW <= now) {
            self.breaks.pop_front();
        }
        while let Some(&(until, fingerprint)) = self.mark_order.front()
            && (until <= now || self.mark_order.len() > MAX_ENTRIES)
        {
            self.mark_order.pop_front();
            if self.marks.get(&fingerprint).is_some_and(|m| m.until == until) {
                self.marks.remove(&fingerprint);
            }
        }
    }
}
