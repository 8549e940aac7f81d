//! *Limit*: how much a target in need gets, from all hosts together.
//!
//! Answers: a target that says in its answers how many requests a second it takes from the whole
//! fleet. Without it each host sees a target that answers, and goes on sending its full share.
//!
//! No host coordinates the others. The limit is shared by a few hosts of the target's own failure
//! domain, the first in the target's own order; one host composes the calls of a stage target, and
//! has all of it. Each of them sends one request in an interval, so that what the target gets is
//! spread over time and the sum holds in every span:
//!
//! | host | one request in |
//! |---|---|
//! | one of `n` that share the limit | `n` / limit |
//! | any other | `LOOK` for each host of the fleet, and again for each before it in the order |
//!
//! The others' requests are how they hear that the limit is over. They all hear of a limit within
//! moments; without the order they would all come back in the same moment too.

use base::{HostId, Ms};

use crate::assignment;

/// Time between two requests of all hosts that have no part in the limit, ms: one in two seconds
/// of a limit's own slack, and some.
const LOOK: Ms = Ms(3_000);
/// Hosts that share a limit of none a second; one more for each request a second. In four seconds
/// they send four times the limit, and at most one more each.
const SENDERS: f64 = 2.0;
/// Time within which answers on different connections overtake each other, ms: one that names no
/// limit says nothing so soon after another that did.
const OVERTAKE: Ms = Ms(1_000);
/// Time after which a host's part is worked out anew, ms: hosts come and go.
const RENEW: Ms = Ms(1_000);

/// What a host has of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// It is one of so many that share it.
    Shares(u32),
    /// None. `before` hosts come before it in the target's order.
    None {
        /// See above.
        before: u32,
    },
}

/// The part of host `me` in the limit of a target. `near` are the hosts of the target's failure
/// domain, `all` those of the fleet.
pub fn part<'a>(
    per_second: f64,
    target: &str,
    me: &HostId,
    near: impl IntoIterator<Item = &'a HostId>,
    all: impl IntoIterator<Item = &'a HostId>,
) -> Part {
    let near: Vec<&HostId> = near.into_iter().collect();
    let most = (per_second + SENDERS) as u32;
    match assignment::position(target, me, near.iter().copied()) {
        Some(before) if before < most => Part::Shares(most.min(near.len() as u32)),
        _ => Part::None { before: assignment::position(target, me, all).unwrap_or(0) },
    }
}

/// Time between two requests of a host with this part, in a fleet of so many hosts.
pub fn interval(per_second: f64, part: Part, fleet: usize) -> Ms {
    let look = LOOK.scale(fleet.max(1) as u64, 1);
    match part {
        // A limit of next to nothing is asked after now and then all the same.
        Part::Shares(hosts) => look.min(Ms((f64::from(hosts) * 1000.0 / per_second).ceil() as u64)),
        Part::None { before } => look + LOOK.scale(u64::from(before), 1),
    }
}

/// What changed with a target's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEvent {
    /// It has begun to name a limit.
    Begun,
    /// It names none any more.
    Ended,
}

/// One target's limit, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    named: Option<Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    per_second: f64,
    /// When it was named last.
    at: Ms,
    /// When this host's last request went, or the limit was first heard of.
    last: Ms,
    interval: Ms,
    /// When `interval` was worked out; none while it must be.
    paced: Option<Ms>,
}

impl Limit {
    /// An answer of the target names this limit, or none.
    pub fn observe(&mut self, now: Ms, limit: Option<f64>) -> Option<LimitEvent> {
        match (&mut self.named, limit) {
            (Some(named), Some(per_second)) => {
                (named.per_second, named.at) = (per_second, now);
                None
            }
            (None, Some(per_second)) => {
                let (interval, paced) = (Ms::ZERO, None);
                self.named = Some(Named { per_second, at: now, last: now, interval, paced });
                Some(LimitEvent::Begun)
            }
            (Some(named), None) if now - named.at >= OVERTAKE => {
                self.named = None;
                Some(LimitEvent::Ended)
            }
            (_, None) => None,
        }
    }

    /// Whether the target names one.
    pub fn is_active(&self) -> bool {
        self.named.is_some()
    }

    /// The limit, when this host's interval must be worked out for it, see [`Limit::pace`].
    pub fn unpaced(&self, now: Ms) -> Option<f64> {
        let named = self.named.as_ref()?;
        let old = named.paced.is_none_or(|at| now - at >= RENEW);
        old.then_some(named.per_second)
    }

    /// This host sends it one request in `interval`.
    pub fn pace(&mut self, now: Ms, interval: Ms) {
        if let Some(named) = &mut self.named {
            (named.interval, named.paced) = (interval, Some(now));
        }
    }

    /// Time until this host may send it a request.
    pub fn delay(&self, now: Ms) -> Ms {
        self.named.map_or(Ms::ZERO, |n| n.last + n.interval - now)
    }

    /// A request is sent now.
    pub fn sent(&mut self, now: Ms) {
        if let Some(named) = &mut self.named {
            named.last = now;
        }
    }
}
