//! *Fair*: which workspace is served next.
//!
//! A few workspaces may send most of the load. Without fair queueing, whoever sends most is served
//! most, and a workspace with ten requests waits behind ten thousand of another.
//!
//! This is start-time fair queueing. Each workspace has a virtual time, which advances by the work
//! served for it divided by its weight. The workspace with the lowest virtual time is served next.
//! An unused share is lent to others, since only workspaces with waiting requests are compared. It
//! comes back at once, since a returning workspace starts at the current virtual time and not
//! behind what was served in the meantime. Work is measured in predicted milliseconds and not in
//! requests, or workspaces with long requests would get many times the share of those with short
//! ones.
//!
//! Places in the queue are limited by a dynamic threshold: no workspace may hold more than the
//! number of free places times its weight. A single workspace gets half of the places, two get a
//! third each, and there is always room for another one, without checking how many the others hold.

use base::Ms;
use std::collections::{BTreeSet, HashMap};

use crate::queue::{self, Item, LANES, Lanes, Position};

/// Number of places that a workspace may always hold.
const MIN_PLACES: f64 = 4.0;
/// A workspace is over its share when it exceeds the share by this factor. There is a margin
/// because the amount of work in progress is coarse-grained.
const OVER_SHARE_FACTOR: f64 = 1.5;
/// Units of virtual time per millisecond of work at weight 1.
const VIRTUAL_STEPS_PER_MS: f64 = 1024.0;

/// A fair queue over the workspaces that wait for the same targets.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: HashMap<u32, Flow>,
    order: BTreeSet<(u64, u32)>,
    virtual_time: u64,
    len: usize,
    work: Work,
    weights: f64,
}

/// New work whose wait is to be predicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitQuery {
    pub(crate) workspace: u32,
    pub(crate) weight: f64,
    pub(crate) lane: usize,
    /// Whether the work belongs to a later stage of its request. Such work also waits for reserved
    /// work.
    pub(crate) later_stage: bool,
}

#[derive(Debug, Default)]
struct Flow {
    start: u64,
    weight: f64,
    work: Work,
    lanes: Lanes,
}

/// Work by lane, ms.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    /// Work that is waiting.
    queued: [u64; LANES],
    /// Work that requests in earlier stages will bring.
    reserved: [u64; LANES],
}

impl Work {
    fn all(&self) -> u64 {
        self.queued.iter().chain(&self.reserved).sum()
    }

    /// Work that goes before new work in `lane`. Reserved work counts only for work of a later
    /// stage.
    fn before(&self, lane: usize, later_stage: bool) -> f64 {
        let lanes = (0..LANES).filter(|&l| queue::delay(l) <= queue::delay(lane));
        let reserved = |l: usize| if later_stage { self.reserved[l] } else { 0 };
        lanes.map(|l| self.queued[l] + reserved(l)).sum::<u64>() as f64
    }
}

impl FairQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Waiting work, ms.
    pub(crate) fn queued(&self) -> u64 {
        self.work.queued.iter().sum()
    }

    /// Reserves work that a request in an earlier stage will bring here.
    pub(crate) fn reserve(&mut self, workspace: u32, weight: f64, lane: usize, cost: u64) {
        self.update(workspace, weight, |flow| flow.work.reserved[lane] += cost);
        self.work.reserved[lane] += cost;
    }

    /// Releases a reservation: the work has arrived, or will not arrive.
    pub(crate) fn release(&mut self, workspace: u32, lane: usize, cost: u64) {
        self.update(workspace, 0.0, |flow| flow.work.reserved[lane] -= cost);
        self.work.reserved[lane] -= cost;
    }

    /// Adds a request to the queue.
    pub(crate) fn push(&mut self, workspace: u32, weight: f64, position: Position, item: Item) {
        let virtual_time = self.virtual_time;
        self.update(workspace, weight, |flow| {
            if flow.lanes.len() == 0 {
                flow.start = flow.start.max(virtual_time);
            }
            flow.work.queued[position.lane] += item.cost;
            flow.lanes.push(position, item);
        });
        let start = self.flows[&workspace].start;
        self.order.insert((start, workspace));
        self.work.queued[position.lane] += item.cost;
        self.len += 1;
    }

    /// Removes a request. If it is served, the virtual time of its workspace advances.
    pub(crate) fn remove(&mut self, workspace: u32, position: Position, served: bool) {
        let Some(flow) = self.flows.get_mut(&workspace) else { return };
        let Some(item) = flow.lanes.remove(position) else { return };
        self.order.remove(&(flow.start, workspace));
        if served {
            self.virtual_time = self.virtual_time.max(flow.start);
            flow.start += (item.cost as f64 * VIRTUAL_STEPS_PER_MS / flow.weight) as u64;
        }
        if flow.lanes.len() > 0 {
            self.order.insert((flow.start, workspace));
        }
        self.work.queued[position.lane] -= item.cost;
        self.len -= 1;
        self.update(workspace, 0.0, |flow| flow.work.queued[position.lane] -= item.cost);
    }

    /// The request that is served next.
    pub(crate) fn next(&self, now: Ms) -> Option<(u32, Position, Item)> {
        let &(_, workspace) = self.order.first()?;
        let (position, item) = self.flows[&workspace].lanes.next(now)?;
        Some((workspace, position, item))
    }

    /// Whether a workspace may take one more of `places` places.
    pub(crate) fn has_place(&self, workspace: u32, weight: f64, places: u32) -> bool {
        let held = self.flows.get(&workspace).map_or(0, |f| f.lanes.len()) as f64;
        let free = f64::from(places) - self.len as f64;
        free >= 1.0 && (held < MIN_PLACES || held < free * weight)
    }

    /// Predicted wait of new work of a workspace, ms, when `rate` ms of work are done per ms. It is
    /// at most the time for all work ahead of it, and at most the time that the workspace's own
    /// work takes at its share.
    pub(crate) fn wait(&self, query: &WaitQuery, rate: f64) -> f64 {
        let flow = self.flows.get(&query.workspace);
        let held = flow.filter(|f| f.work.all() > 0).map_or(0.0, |f| f.weight);
        let others = (self.weights - held).max(0.0);
        let own = flow.map_or(0.0, |f| f.work.before(query.lane, query.later_stage));
        let by_share = own * (1.0 + others / query.weight);
        by_share.min(self.work.before(query.lane, query.later_stage)) / rate
    }

    /// Predicted wait of new work of a workspace, ms, based on the age of the request at the front.
    pub(crate) fn wait_by_age(&self, now: Ms, workspace: u32, lane: usize) -> f64 {
        self.flows.get(&workspace).map_or(0.0, |f| f.lanes.wait(now, lane).0 as f64)
    }

    /// Whether a workspace has more than its share of the work while others have some too.
    pub(crate) fn over_share(&self, workspace: u32) -> bool {
        let Some(flow) = self.flows.get(&workspace) else { return false };
        let (own, all) = (flow.work.all(), self.work.all());
        let share = flow.weight / self.weights.max(flow.weight);
        all > own && own as f64 > OVER_SHARE_FACTOR * share * all as f64
    }

    fn update(&mut self, workspace: u32, weight: f64, update: impl FnOnce(&mut Flow)) {
        let flow = self.flows.entry(workspace).or_default();
        if flow.work.all() > 0 {
            self.weights -= flow.weight;
        }
        if weight > 0.0 {
            flow.weight = weight;
        }
        update(flow);
        if flow.work.all() > 0 {
            self.weights += flow.weight;
        } else if flow.start <= self.virtual_time {
            self.flows.remove(&workspace);
        }
        if self.flows.is_empty() {
            self.weights = 0.0;
        }
    }
}
