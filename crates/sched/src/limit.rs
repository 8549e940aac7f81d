//! Divides the rate limit that an overloaded target announces among all hosts.
//!
//! The target states in its responses how many requests a second it accepts from the whole fleet.
//! Without this module each host would see a target that responds, and go on sending its full
//! share.
//!
//! No host coordinates the others. A few hosts of the target's own failure domain, the first in the
//! target's own order, share the limit. The calls of a stage target are composed by one host, which
//! has the whole limit. Each of these hosts sends one request in an interval, so that the requests
//! are spread evenly over time and the sum holds in every span:
//!
//! | host | interval |
//! |---|---|
//! | one of `n` that share the limit | `n` / limit |
//! | any other | `PROBE_INTERVAL` for each host of the fleet, and again for each host before it in the order |
//!
//! The requests of the other hosts are how they learn that the limit is over. All hosts learn of a
//! limit within moments; without the order they would all probe again at the same moment, too.

use base::{HostId, Ms};

use crate::assignment;

/// Time between two requests of all hosts together that have no share of the limit. The slack of a
/// limit allows one in two seconds; this is longer by a margin.
const PROBE_INTERVAL: Ms = Ms(3_000);
/// Hosts that share a limit of zero requests a second; one more for each request a second. In four
/// seconds they send four times the limit, and at most one request more each.
const MIN_SENDERS: f64 = 2.0;
/// Time within which responses on different connections may be reordered. A response without a
/// limit that arrives this soon after one with a limit is ignored.
const REORDER_TIME: Ms = Ms(1_000);
/// Time after which a host's share is computed again, because hosts join and leave.
const REFRESH_INTERVAL: Ms = Ms(1_000);

/// A host's share of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The host is one of this many that share the limit.
    Shares(u32),
    /// The host has no share.
    None {
        /// Number of hosts before it in the target's order.
        before: u32,
    },
}

/// The share of host `me` in the limit of a target. `near` are the hosts of the target's failure
/// domain, `all` are those of the fleet.
pub fn part<'a>(
    per_second: f64,
    target: &str,
    me: &HostId,
    near: impl IntoIterator<Item = &'a HostId>,
    all: impl IntoIterator<Item = &'a HostId>,
) -> Part {
    let near: Vec<&HostId> = near.into_iter().collect();
    let most = (per_second + MIN_SENDERS) as u32;
    match assignment::position(target, me, near.iter().copied()) {
        Some(before) if before < most => Part::Shares(most.min(near.len() as u32)),
        _ => Part::None { before: assignment::position(target, me, all).unwrap_or(0) },
    }
}

/// Time between two requests of a host with this share, in a fleet of `fleet` hosts.
pub fn interval(per_second: f64, part: Part, fleet: usize) -> Ms {
    let wait = PROBE_INTERVAL.scale(fleet.max(1) as u64, 1);
    match part {
        // Even a limit close to zero is probed now and then.
        Part::Shares(hosts) => wait.min(Ms((f64::from(hosts) * 1000.0 / per_second).ceil() as u64)),
        Part::None { before } => wait + PROBE_INTERVAL.scale(u64::from(before), 1),
    }
}

/// How the limit of a target changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitEvent {
    /// The target has started to announce a limit.
    Begun,
    /// The target no longer announces a limit.
    Ended,
}

/// The limit of one target, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct Limit {
    active: Option<Active>,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    per_second: f64,
    /// When the target last announced it.
    at: Ms,
    /// When this host sent its last request, or first learned of the limit.
    last: Ms,
    interval: Ms,
    /// When `interval` was computed; none if it has to be computed.
    paced: Option<Ms>,
}

impl Limit {
    /// Records that a response of the target announced this limit, or none.
    pub fn observe(&mut self, now: Ms, limit: Option<f64>) -> Option<LimitEvent> {
        match (&mut self.active, limit) {
            (Some(active), Some(per_second)) => {
                (active.per_second, active.at) = (per_second, now);
                None
            }
            (None, Some(per_second)) => {
                let (interval, paced) = (Ms::ZERO, None);
                self.active = Some(Active { per_second, at: now, last: now, interval, paced });
                Some(LimitEvent::Begun)
            }
            (Some(active), None) if now - active.at >= REORDER_TIME => {
                self.active = None;
                Some(LimitEvent::Ended)
            }
            (_, None) => None,
        }
    }

    /// Whether the target announces a limit.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// The limit, if this host's interval has to be computed for it and set with [`Limit::pace`].
    pub fn unpaced(&self, now: Ms) -> Option<f64> {
        let active = self.active.as_ref()?;
        let old = active.paced.is_none_or(|at| now - at >= REFRESH_INTERVAL);
        old.then_some(active.per_second)
    }

    /// Sets the interval between two requests of this host.
    pub fn pace(&mut self, now: Ms, interval: Ms) {
        if let Some(active) = &mut self.active {
            (active.interval, active.paced) = (interval, Some(now));
        }
    }

    /// Time until this host may send a request.
    pub fn delay(&self, now: Ms) -> Ms {
        self.active.map_or(Ms::ZERO, |n| n.last + n.interval - now)
    }

    /// Records that a request is sent now.
    pub fn sent(&mut self, now: Ms) {
        if let Some(active) = &mut self.active {
            active.last = now;
        }
    }
}
