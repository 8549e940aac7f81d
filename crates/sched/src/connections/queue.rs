//! The requests of a host that wait for a connection to a target of one service.

use base::Ms;
use std::collections::BTreeMap;

/// Weight of a new request in the mean service time: about the last ten requests count.
const SERVICE_WEIGHT: f64 = 0.1;

/// A place in the queue. Places are ordered by rank, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    rank: u8,
    deadline: Ms,
    number: u64,
}

/// The waiting requests of a service, each with a value of the caller's.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Place, T>,
    next: u64,
    /// Mean time for which a request uses a connection, ms; none before the first one.
    service: Option<f64>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next: 0, service: None }
    }
}

impl<T> WaitQueue<T> {
    /// Lets a request wait that is to be answered by `deadline`, while `connections` serve the
    /// queue. If it can't be served by then because of those ahead of it, returns the time after
    /// which it could.
    pub fn enter(
        &mut self,
        now: Ms,
        rank: u8,
        deadline: Ms,
        connections: u32,
        waiter: T,
    ) -> Result<Place, Ms> {
        let place = Place { rank, deadline, number: self.next };
        let ahead = self.ahead(&place);
        let needed = self.wait(ahead, connections) + self.service();
        let left = deadline - now;
        // With none ahead, the request is sent as if there were no queue, however short its time.
        if ahead > 0 && needed > left {
            return Err(needed - left);
        }
        self.next += 1;
        self.waiting.insert(place, waiter);
        Ok(place)
    }

    /// Time for which a request may wait and still be served by its deadline. If it were sent later,
    /// the target would run it for nothing, and its outcome would be unknown.
    pub fn slack(&self, now: Ms, deadline: Ms) -> Ms {
        deadline - now - self.service()
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, place: &Place) {
        self.waiting.remove(place);
    }

    /// The request whose turn it is.
    pub fn first(&self) -> Option<(&Place, &T)> {
        self.waiting.first_key_value()
    }

    /// The request behind `place`.
    pub fn behind(&self, place: &Place) -> Option<(&Place, &T)> {
        let later = (std::ops::Bound::Excluded(*place), std::ops::Bound::Unbounded);
        self.waiting.range(later).next()
    }

    /// Whether a request of this rank and deadline would be the first.
    pub fn is_first(&self, rank: u8, deadline: Ms) -> bool {
        self.ahead(&Place { rank, deadline, number: self.next }) == 0
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records for how long a request used its connection.
    pub fn served(&mut self, took: Ms) {
        let took = took.0 as f64;
        self.service =
            Some(self.service.map_or(took, |mean| mean + SERVICE_WEIGHT * (took - mean)));
    }

    /// Predicted time until a request with `ahead` others before it gets one of `connections`.
    pub fn wait(&self, ahead: usize, connections: u32) -> Ms {
        let turns = (ahead + 1) as f64 / f64::from(connections.max(1));
        Ms((turns * self.service.unwrap_or(0.0)) as u64)
    }

    fn service(&self) -> Ms {
        Ms(self.service.unwrap_or(0.0) as u64)
    }

    fn ahead(&self, place: &Place) -> usize {
        self.waiting.range(..place).count()
    }
}
