//! *Queue*: which request of one workspace is served next.
//!
//! Short requests are mixed with long ones, and load can exceed capacity. Without this order, a
//! request of 50 ms waits in a single queue behind requests of several seconds. Under overload,
//! first come first served serves each request just before its deadline, so that a little variance
//! makes all of them late.
//!
//! Requests are ordered by arrival time plus a delay. One part of the delay depends on the size
//! class and is at least half of the work itself, so that no request waits for another one out of
//! proportion to its own length. The other part depends on the priority: one second for normal and
//! three seconds for low, which is a ninth and a third of the usual deadline. Since the delay is
//! fixed, waiting alone brings every request to the front, so low priorities do not starve.
//!
//! A class is overloaded once its oldest request has used half of the time that it can wait. Then
//! the newest request of the class is served first, because it still has time for all its stages.
//! The old ones are refused once they can no longer be answered in time, or are served when the
//! burst is over.

use base::{Ms, RequestId};
use conf::Priority;
use std::collections::BTreeMap;

/// Upper bounds of the size classes, ms of predicted work.
const SIZE_CLASS_LIMITS_MS: [u64; 3] = [100, 400, 1_600];
/// Delay of each size class.
const CLASS_DELAY: [Ms; 4] = [Ms(0), Ms(200), Ms(800), Ms(3_200)];
/// Delay of low, normal and high priority.
const PRIORITY_DELAY: [Ms; 3] = [Ms(3_000), Ms(1_000), Ms(0)];
/// Number of lanes: one for each combination of size class and priority.
pub(crate) const LANES: usize = 12;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) request: RequestId,
    /// Predicted work, ms.
    pub(crate) cost: u64,
    /// When it entered this queue.
    pub(crate) since: Ms,
    /// Latest time at which it can start and still be answered before its deadline.
    pub(crate) latest_start: Ms,
}

/// The position of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) lane: usize,
    pub(crate) arrived: Ms,
    pub(crate) seq: u64,
}

impl Position {
    /// Arrival time plus the delay of the lane. The lowest rank is served first.
    pub(crate) fn rank(&self) -> Ms {
        self.arrived + delay(self.lane)
    }
}

/// The requests of one workspace that wait for the same targets.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: [BTreeMap<(Ms, u64), Item>; LANES],
    len: usize,
}

/// The lane for work of a given priority and size.
pub(crate) fn lane(priority: Priority, cost: u64) -> usize {
    let class = SIZE_CLASS_LIMITS_MS.iter().filter(|&&max| cost > max).count();
    priority as usize * CLASS_DELAY.len() + class
}

impl Lanes {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, position: Position, item: Item) {
        self.lanes[position.lane].insert((position.arrived, position.seq), item);
        self.len += 1;
    }

    pub(crate) fn remove(&mut self, position: Position) -> Option<Item> {
        let item = self.lanes[position.lane].remove(&(position.arrived, position.seq))?;
        self.len -= 1;
        Some(item)
    }

    /// Rank and lane of the request that is served next.
    fn front(&self) -> Option<(Ms, usize)> {
        let heads = self.lanes.iter().enumerate().filter_map(|(lane, items)| {
            let (&(arrived, _), _) = items.first_key_value()?;
            Some((arrived + delay(lane), lane))
        });
        heads.min()
    }

    /// Predicted wait of a request that arrives now in `lane`, if service continues at the present
    /// pace: the time until its rank is as old as the rank at the front is now.
    pub(crate) fn wait(&self, now: Ms, lane: usize) -> Ms {
        self.front().map_or(Ms::ZERO, |(front, _)| now + delay(lane) - front)
    }

    /// The request that is served next.
    pub(crate) fn next(&self, now: Ms) -> Option<(Position, Item)> {
        let (_, lane) = self.front()?;
        let items = &self.lanes[lane];
        let (_, oldest) = items.first_key_value()?;
        let overloaded = (now - oldest.since).scale(2, 1) > oldest.latest_start - oldest.since;
        let next = if overloaded { items.last_key_value() } else { items.first_key_value() };
        let (&(arrived, seq), &item) = next?;
        Some((Position { lane, arrived, seq }, item))
    }
}

/// Delay of a lane, which is added to the arrival time of its requests.
pub(crate) fn delay(lane: usize) -> Ms {
    PRIORITY_DELAY[lane / CLASS_DELAY.len()] + CLASS_DELAY[lane % CLASS_DELAY.len()]
}
