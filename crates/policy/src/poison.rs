//! *Poison*: which requests are not run because they bring targets down.
//!
//! Answers: a request that crashes each target that runs it, and whose caller sends it again.
//!
//! Without it: retries and re-sends take the fleet down, one target after the other.
//!
//! A request on a target when it broke is marked with that target, by fingerprint, so that a
//! re-send carries the mark on. A second mark from another target ends the request: one may be
//! chance, and three would cost a further target. Requests that merely shared the target get the
//! first mark as well. They aren't blamed, because marked requests keep apart where they can, and
//! one is convicted, remembered and told of to the other hosts only if no other marked one was
//! beside it when the second target broke.
//!
//! Only a connection that breaks is a signal of a crash: a process that dies closes its sockets,
//! while a host or a link that dies is silent. And when [`OUTAGE_TARGETS`] of one failure domain
//! break within [`OUTAGE`] under requests that weren't marked, the domain fails and not a
//! request: then nobody is convicted.

use base::Ms;
use std::collections::{HashMap, VecDeque};

/// How long a mark counts. A caller that sends again does so within minutes.
const MARKED: Ms = Ms::secs(300);
/// Time over which breaks in one domain are counted.
const OUTAGE: Ms = Ms::secs(2);
/// Targets that break unexplained before it is an outage.
const OUTAGE_TARGETS: usize = 3;
/// Marks and convictions that are kept. The oldest go first.
const KEPT: usize = 16_384;

/// What is known of requests that bring targets down.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    marks: HashMap<u64, Mark>,
    marked: VecDeque<(Ms, u64)>,
    convicted: HashMap<u64, Ms>,
    order: VecDeque<u64>,
    breaks: VecDeque<Break>,
}

/// Which target broke, and in which failure domain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultSite {
    pub(crate) target: u32,
    pub(crate) domain: u32,
}

/// What a break says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Blame {
    /// It is marked.
    First,
    /// A second target broke under it, but it may have been another's doing.
    Doubt,
    /// It brings targets down.
    Guilty,
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
    /// Until when a fingerprint is refused.
    pub(crate) fn until(&self, now: Ms, print: u64) -> Option<Ms> {
        self.convicted.get(&print).copied().filter(|&until| now < until)
    }

    /// Whether a request was on a target that broke.
    pub(crate) fn marked(&self, now: Ms, print: u64) -> bool {
        self.marks.get(&print).is_some_and(|m| now < m.until)
    }

    /// A target broke under a request; `beside` says whether another marked one was on it.
    pub(crate) fn broke(&mut self, now: Ms, print: u64, at: FaultSite, beside: bool) -> Blame {
        self.forget(now);
        let earlier = self.marks.get(&print).copied().filter(|m| now < m.until);
        let Some(earlier) = earlier else {
            if self.breaks.iter().all(|b| b.target != at.target) {
                self.breaks.push_back(Break { target: at.target, domain: at.domain, at: now });
            }
            let until = now + MARKED;
            self.marks.insert(print, Mark { target: at.target, until });
            self.marked.push_back((until, print));
            return Blame::First;
        };
        match () {
            () if earlier.target == at.target => Blame::First,
            () if beside || self.outage(at.domain) => Blame::Doubt,
            () => Blame::Guilty,
        }
    }

    /// Refuses a fingerprint from now on. Of two times the later holds.
    pub(crate) fn convict(&mut self, print: u64, until: Ms) {
        match self.convicted.get_mut(&print) {
            Some(kept) => *kept = (*kept).max(until),
            None => {
                self.convicted.insert(print, until);
                self.order.push_back(print);
            }
        }
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.convicted.remove(&oldest);
        }
    }

    fn outage(&self, domain: u32) -> bool {
        self.breaks.iter().filter(|b| b.domain == domain).count() >= OUTAGE_TARGETS
    }

    fn forget(&mut self, now: Ms) {
        while self.breaks.front().is_some_and(|b| b.at + OUTAGE <= now) {
            self.breaks.pop_front();
        }
        while let Some(&(until, print)) = self.marked.front()
            && (until <= now || self.marked.len() > KEPT)
        {
            self.marked.pop_front();
            if self.marks.get(&print).is_some_and(|m| m.until == until) {
                self.marks.remove(&print);
            }
        }
    }
}
