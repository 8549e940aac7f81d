//! The requests of this host that wait for connections, by service.

use base::{Ms, PoolId};
use sched::connections::{FleetSize, Hold, Place, WaitQueue};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

use crate::core::Core;
use crate::request::Call;

/// Time between two counts of the hosts. After a start of all hosts they hear of each other within a
/// second, and a quota for too few would be too large.
const COUNT_INTERVAL: Ms = Ms(100);

/// The queues of all services, and the number of hosts that share the connections.
#[derive(Default)]
pub(crate) struct Queues {
    by_service: Mutex<HashMap<PoolId, Arc<ServiceQueue>>>,
    /// The hosts, and when they were counted.
    fleet: Mutex<(FleetSize, Ms)>,
}

impl Queues {
    /// The queue of a service.
    pub(crate) fn of(&self, service: &PoolId) -> Arc<ServiceQueue> {
        lock(&self.by_service).entry(service.clone()).or_default().clone()
    }

    /// All queues.
    pub(super) fn all(&self) -> Vec<(PoolId, Arc<ServiceQueue>)> {
        lock(&self.by_service).iter().map(|(s, q)| (s.clone(), q.clone())).collect()
    }

    /// Counts the live hosts, unless that was done a moment ago.
    pub(super) fn refresh(&self, core: &Core) {
        let now = core.clock.now();
        let (fleet, counted) = &mut *lock(&self.fleet);
        if now - *counted >= COUNT_INTERVAL {
            *counted = now;
            fleet.see(now, core.members.hosts().iter().map(|h| &h.domain));
        }
    }

    /// Number of hosts that share the connections.
    pub(super) fn hosts(&self) -> u32 {
        lock(&self.fleet).0.hosts()
    }
}

/// The requests that wait for a connection to a target of one service.
#[derive(Default)]
pub(crate) struct ServiceQueue {
    queue: Mutex<WaitQueue<Arc<Notify>>>,
    hold: Mutex<Hold>,
}

impl ServiceQueue {
    fn queue(&self) -> MutexGuard<'_, WaitQueue<Arc<Notify>>> {
        lock(&self.queue)
    }

    /// Whether no waiting request goes before this one.
    pub(super) fn is_first(&self, call: &Call) -> bool {
        self.queue().is_first(call.rank(), call.deadline)
    }

    /// Lets a request wait, or returns the time after which it could be served in its time.
    pub(super) fn enter(self: &Arc<Self>, core: &Core, call: &Call) -> Result<Waiting, Ms> {
        let connections = super::open(core, call);
        let woken = Arc::new(Notify::new());
        let (now, rank) = (core.clock.now(), call.rank());
        let place = self.queue().enter(now, rank, call.deadline, connections, woken.clone())?;
        Ok(Waiting { queue: self.clone(), place, woken })
    }

    /// Whether this host opens more connections to the service's targets.
    pub(super) fn hold(&self) -> Hold {
        *lock(&self.hold)
    }

    /// Records that a target has reset a new connection.
    pub(super) fn reset(&self, now: Ms) {
        lock(&self.hold).reset(now);
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.queue().len()
    }

    /// Records for how long a request used its connection.
    pub(super) fn served(&self, took: Ms) {
        self.queue().served(took);
    }

    /// Time for which a request may wait and still be served in its time.
    pub(super) fn slack(&self, core: &Core, call: &Call) -> Ms {
        self.queue().slack(core.clock.now(), call.deadline)
    }

    /// Wakes the request whose turn it is.
    pub(super) fn wake_first(&self) {
        if let Some((_, woken)) = self.queue().first() {
            woken.notify_one();
        }
    }
}

/// A waiting request, until it is dropped.
pub(super) struct Waiting {
    queue: Arc<ServiceQueue>,
    place: Place,
    woken: Arc<Notify>,
}

impl Waiting {
    /// Whether it is this request's turn.
    pub(super) fn is_first(&self) -> bool {
        self.queue.queue().first().is_some_and(|(place, _)| *place == self.place)
    }

    /// Waits until a connection may be free, but no longer than `most`. Returns whether one may be.
    pub(super) async fn woken(&self, most: Ms) -> bool {
        tokio::time::timeout(most.duration(), self.woken.notified()).await.is_ok()
    }

    /// Wakes the request behind this one.
    pub(super) fn pass_on(&self) {
        if let Some((_, woken)) = self.queue.queue().behind(&self.place) {
            woken.notify_one();
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.queue.queue().leave(&self.place);
        self.queue.wake_first();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
