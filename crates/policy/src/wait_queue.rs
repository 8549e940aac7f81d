//! A queue of work that waits for the same targets, and the capacity of these targets.

use base::Ms;
use conf::Placement;
use std::sync::Arc;

use crate::fair::FairQueue;
use crate::health::Gate;
use crate::route::Tiers;
use crate::target::{Context, Target};

/// Age at which a cached capacity is measured again.
const CAPACITY_TTL: Ms = Ms(100);

/// Requests of one stage kind and placement that wait for its targets.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    pub(crate) fair: FairQueue,
    pub(crate) tiers: Arc<Tiers>,
    /// Number of running calls from this queue.
    pub(crate) running: u32,
    /// Earliest time at which a request may again be admitted against the prediction.
    pub(crate) next_probe: Ms,
    capacity: Capacity,
    measured_at: Ms,
}

/// Number of concurrent calls that the targets of a queue accept from this host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Capacity {
    /// Concurrent calls at targets in this region.
    pub(crate) near: f64,
    /// Concurrent calls at targets in other regions.
    pub(crate) far: f64,
    /// Whether any target can serve the queue, now or after it recovers.
    pub(crate) possible: bool,
}

impl WaitQueue {
    /// Drops the cached capacity.
    pub(crate) fn invalidate(&mut self) {
        self.measured_at = Ms::ZERO;
    }

    /// Cached capacity; `None` once it is older than [`CAPACITY_TTL`].
    pub(crate) fn capacity(&self, now: Ms) -> Option<Capacity> {
        (self.measured_at > Ms::ZERO && now < self.measured_at + CAPACITY_TTL)
            .then_some(self.capacity)
    }

    /// Caches a measured capacity.
    pub(crate) fn record(&mut self, now: Ms, capacity: Capacity) {
        self.measured_at = now;
        self.capacity = capacity;
    }

    /// Number of running and waiting calls.
    fn load(&self) -> f64 {
        f64::from(self.running) + self.fair.len() as f64
    }
}

/// Measures the capacity of a queue's targets. A target shared by several queues is divided among
/// them: a queue's part is its running and waiting calls, relative to these plus the running calls
/// of the others. Calls that wait in the other queues are left out, because they may be less
/// urgent.
pub(crate) fn measure(
    queues: &[WaitQueue],
    targets: &[Target],
    context: &Context,
    queue: u32,
) -> Capacity {
    let placement = match queue % 3 {
        0 => Placement::Domain,
        1 => Placement::Region,
        _ => Placement::Anywhere,
    };
    let own = &queues[queue as usize];
    let [domain, region, far] = &*own.tiers;
    let mut capacity = Capacity::default();
    let mut add = |tier: &[u32], near: bool| {
        for &t in tier {
            let target = &targets[t as usize];
            let all = target.queues.iter().map(|&l| f64::from(queues[l as usize].running));
            let others = all.sum::<f64>() - f64::from(own.running);
            let part = (own.load() + 1.0) / (own.load() + others + 1.0);
            let calls = f64::from(target.max_calls(context).min(target.slots)) * part.min(1.0);
            match near {
                true => capacity.near += calls,
                false => capacity.far += calls,
            }
            capacity.possible |= target.gate(context) != Gate::Closed || target.may_return();
        }
    };
    add(domain, true);
    if placement >= Placement::Region {
        add(region, true);
    }
    if placement >= Placement::Anywhere {
        add(far, false);
    }
    capacity
}
