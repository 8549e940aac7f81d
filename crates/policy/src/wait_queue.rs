//! Work that waits for the same targets, and how much of it they can do.

use base::Ms;
use conf::Placement;
use std::sync::Arc;

use crate::fair::Fair;
use crate::health::Gate;
use crate::route::Tiers;
use crate::target::{Context, Target};

/// Age from which a measured capacity is taken again, ms.
const CAPACITY_TTL: Ms = Ms(100);

/// Requests of one kind of stage and placement that wait for its targets.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    pub(crate) fair: Fair,
    pub(crate) tiers: Arc<Tiers>,
    /// Calls of this queue that run.
    pub(crate) running: u32,
    /// When a request may be let in against the prediction.
    pub(crate) probe: Ms,
    capacity: Capacity,
    measured: Ms,
}

/// Calls that the targets of a wait queue can take from this host at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Capacity {
    /// Calls at once, nearby.
    pub(crate) near: f64,
    /// Calls at once, in other regions.
    pub(crate) far: f64,
    /// Whether any target may come to serve it, though perhaps not now.
    pub(crate) possible: bool,
}

impl WaitQueue {
    /// Drops the cached capacity.
    pub(crate) fn invalidate(&mut self) {
        self.measured = Ms::ZERO;
    }

    /// Cached capacity; `None` once it is older than [`CAPACITY_TTL`].
    pub(crate) fn capacity(&self, now: Ms) -> Option<Capacity> {
        (self.measured > Ms::ZERO && now < self.measured + CAPACITY_TTL).then_some(self.capacity)
    }

    /// Caches a measured capacity.
    pub(crate) fn record(&mut self, now: Ms, capacity: Capacity) {
        self.measured = now;
        self.capacity = capacity;
    }

    /// Calls that run or wait.
    fn load(&self) -> f64 {
        f64::from(self.running) + self.fair.len() as f64
    }
}

/// Measures the capacity of a queue's targets. One that several queues use counts for each as much as its calls
/// against those of the others that run: who waits in another line may be less urgent.
pub(crate) fn measure(
    lines: &[WaitQueue],
    targets: &[Target],
    context: &Context,
    line: u32,
) -> Capacity {
    let placement = match line % 3 {
        0 => Placement::Domain,
        1 => Placement::Region,
        _ => Placement::Anywhere,
    };
    let own = &lines[line as usize];
    let [domain, region, far] = &*own.tiers;
    let mut capacity = Capacity::default();
    let mut add = |tier: &[u32], near: bool| {
        for &t in tier {
            let target = &targets[t as usize];
            let all = target.lines.iter().map(|&l| f64::from(lines[l as usize].running));
            let others = all.sum::<f64>() - f64::from(own.running);
            let part = (own.load() + 1.0) / (own.load() + others + 1.0);
            let calls = f64::from(target.calls(context).min(target.slots)) * part.min(1.0);
            match near {
                true => capacity.near += calls,
                false => capacity.far += calls,
            }
            capacity.possible |= target.gate(context) != Gate::Shut || target.may_return();
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
