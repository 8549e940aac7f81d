//! Hands out this host's share of the connections that plain targets accept.
//!
//! A request takes a [`Permit`] for a connection to a target before it is sent, and waits in the
//! host's queue while there is none. See [`sched::connections`] for the decisions.

mod permit;
mod queue;
mod spare;

pub(crate) use self::permit::{Permit, answers_anew};
pub(crate) use self::queue::{Queues, ServiceQueue};
pub(crate) use self::spare::acquire_spare;

use base::Ms;
use link::{Conn, Pool};
use logs::note;
use sched::connections::{ConnectionEvent, Hold, Quota};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::choose::{Selection, choose};
use crate::core::Core;
use crate::gate::{self, BlockReason};
use crate::links::Link;
use crate::refusal::Reason;
use crate::request::Call;

/// Time after which the first in the queue looks again: a backoff may have ended or a quota grown.
const RETRY_INTERVAL: Ms = Ms(20);

/// This host's connections to one target.
#[derive(Default)]
pub(crate) struct Connections {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    quota: Quota,
    in_use: u32,
}

/// What a permit stands for.
enum Taken {
    /// A connection that has carried a request.
    Idle(Conn),
    /// The right to open one.
    New,
}

/// A target for a request, with the permit for a connection to it if one is needed.
pub(crate) type Found = (Arc<Link>, Option<Permit>);

impl Connections {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection, or, if `may_open`, the right to open one.
    fn take(&self, now: Ms, pool: &Pool, may_open: bool) -> Option<Taken> {
        let mut state = self.state();
        let conn = pool.idle();
        if conn.is_none() && !(may_open && state.quota.may_open(now, state.in_use)) {
            return None;
        }
        state.in_use += 1;
        let in_use = state.in_use;
        state.quota.taken(now, in_use);
        Some(conn.map_or(Taken::New, Taken::Idle))
    }

    /// Whether a connection that was used may stay open.
    fn may_keep(&self, pool: &Pool) -> bool {
        let state = self.state();
        state.in_use as usize + pool.idle_count() <= state.quota.size() as usize
    }
}

/// The connections that a target of the request's service accepts from all hosts together; none if
/// the service declares no number, or its requests are streams or stages.
pub(crate) fn declared(call: &Call) -> Option<u32> {
    let service = call.catalog.service(&call.service)?;
    let plain = service.engine.is_none() && service.batch.is_none();
    (plain && service.connections > 0).then_some(service.connections)
}

/// Chooses a target for a request and takes a permit for a connection to it. Waits for one if
/// necessary. Services that declare no number of connections need no permit.
pub(crate) async fn acquire(
    core: &Arc<Core>,
    call: &Call,
    tried: &[Arc<Link>],
) -> Result<Found, Reason> {
    let Some(declared) = declared(call) else {
        return Ok((choose(core, call, selection(call), tried)?, None));
    };
    let queue = core.queues.of(&call.service);
    share(core, call, declared);
    if queue.is_first(call)
        && let Some(found) = take(core, call, tried, &queue)?
    {
        return Ok(found);
    }
    wait(core, call, tried, &queue).await
}

fn selection(call: &Call) -> Selection<'static> {
    Selection::Plain { risky: !call.route.retry_safety.is_idempotent() }
}

/// Renews the quotas of the service's targets.
fn share(core: &Core, call: &Call, declared: u32) {
    core.queues.refresh(core);
    let hosts = core.queues.hosts();
    let links = core.links();
    links.of(&call.service).iter().for_each(|l| l.connections.state().quota.share(declared, hosts));
}

fn take(
    core: &Arc<Core>,
    call: &Call,
    tried: &[Arc<Link>],
    queue: &Arc<ServiceQueue>,
) -> Result<Option<Found>, BlockReason> {
    let link = choose(core, call, selection(call), tried)?;
    Ok(take_at(core, call, tried, queue, link))
}

/// Takes a connection to this target.
fn take_at(
    core: &Arc<Core>,
    call: &Call,
    tried: &[Arc<Link>],
    queue: &Arc<ServiceQueue>,
    link: Arc<Link>,
) -> Option<Found> {
    let may_open = Free::new(core, call, tried).may_open(&link);
    let taken = link.connections.take(core.clock.now(), &link.pool, may_open)?;
    let risky = !call.route.retry_safety.is_idempotent();
    let permit = Permit::new(core, &link, queue, taken, risky);
    Some((link, Some(permit)))
}

async fn wait(
    core: &Arc<Core>,
    call: &Call,
    tried: &[Arc<Link>],
    queue: &Arc<ServiceQueue>,
) -> Result<Found, Reason> {
    let waiting = queue.enter(core, call).map_err(|after| reject(core, call, queue, after))?;
    let mut turn = waiting.is_first();
    if !turn {
        // It may be able to use a target that those ahead of it may not.
        queue.wake_first();
    }
    loop {
        if turn && let Some(found) = take(core, call, tried, queue)? {
            return Ok(found);
        }
        grow(core, call);
        if turn && any_free(core, call) {
            // At targets that this request may not use, but others may.
            waiting.pass_on();
        }
        let slack = queue.slack(core, call);
        let time = if waiting.is_first() { slack.min(RETRY_INTERVAL) } else { slack };
        turn = waiting.woken(time).await || waiting.is_first();
        if queue.slack(core, call) == Ms::ZERO {
            return Err(reject(core, call, queue, Ms::ZERO));
        }
    }
}

fn reject(core: &Core, call: &Call, queue: &ServiceQueue, after: Ms) -> Reason {
    note!(
        logs::Event::ConnectionWaitTooLong,
        request = %call.head.id,
        service = %call.service,
        rank = call.rank(),
        waiting = queue.len(),
        connections = open(core, call),
        left_ms = call.left(core.clock.now()).0,
        retry_ms = after.0
    );
    Reason::Connections(after)
}

/// Lets the quotas that are used up grow.
fn grow(core: &Core, call: &Call) {
    let now = core.clock.now();
    for link in core.links().of(&call.service) {
        let queued = link.queued(now);
        let mut state = link.connections.state();
        let in_use = state.in_use;
        state.quota.wanted(now, in_use, queued);
    }
}

/// Whether a target of the request's service has a connection for some request.
fn any_free(core: &Core, call: &Call) -> bool {
    let free = Free::new(core, call, &[]);
    core.links().of(&call.service).iter().any(|l| free.at(l))
}

/// Leaves only the targets to which there is a free connection, if there is one to any that may get
/// a request.
pub(crate) fn prefer_free(
    core: &Core,
    call: &Call,
    tried: &[Arc<Link>],
    targets: &mut Vec<&Arc<Link>>,
) {
    let free = Free::new(core, call, tried);
    let usable = |l: &&Arc<Link>| l.health().usable(free.now) && free.at(l);
    if targets.iter().any(usable) {
        targets.retain(usable);
    }
}

/// Tells which targets of a service have a free connection for a request.
struct Free {
    now: Ms,
    hold: Hold,
    /// Connections to all targets that the request may use, in use or idle.
    open: u32,
}

impl Free {
    /// For a request that was sent to the `tried` targets.
    fn new(core: &Core, call: &Call, tried: &[Arc<Link>]) -> Self {
        let (now, hold) = (core.clock.now(), core.queues.of(&call.service).hold());
        let untried = |l: &&Arc<Link>| !tried.iter().any(|t| t.entry.id == l.entry.id);
        // Connections that the request can't use are no reason not to open others.
        let usable = |l: &&Arc<Link>| l.health().usable(now) && gate::check(core, now, l).is_ok();
        let links = core.links();
        let links = links.of(&call.service).iter().filter(untried).filter(usable);
        let open = links.map(|l| l.pool.idle_count() as u32 + l.connections.state().in_use).sum();
        Self { now, hold, open }
    }

    fn may_open(&self, link: &Link) -> bool {
        self.hold.may_open(self.now, self.open, link.queued(self.now), link.entry.slots)
    }

    fn at(&self, link: &Link) -> bool {
        let may_open = || {
            let state = link.connections.state();
            state.quota.may_open(self.now, state.in_use)
        };
        link.pool.has_idle() || (self.may_open(link) && may_open())
    }
}

/// Connections that serve the queue of the request's service.
fn open(core: &Core, call: &Call) -> u32 {
    core.links().of(&call.service).iter().map(|l| l.connections.state().in_use).sum()
}

/// Records that a target has reset a new connection.
fn record_reset(core: &Core, link: &Link) {
    core.queues.of(&link.entry.service).reset(core.clock.now());
    core.metrics.connection_reset(link.entry.service.as_str());
    let (event, quota) = {
        let mut state = link.connections.state();
        (state.quota.reset(core.clock.now(), core.draw()), state.quota.size())
    };
    note_change(link, event, quota);
}

fn note_change(link: &Link, event: Option<ConnectionEvent>, quota: u32) {
    match event {
        None => {}
        Some(ConnectionEvent::Short) => {
            note!(logs::Event::ConnectionsShort, target = link.name(), quota);
        }
        Some(ConnectionEvent::Restored) => {
            note!(logs::Event::ConnectionsRestored, target = link.name(), quota);
        }
    }
}

/// Updates the quotas of all targets to the present time, and records the metrics.
pub(crate) fn settle(core: &Core) {
    let now = core.clock.now();
    core.queues.refresh(core);
    let links = core.links();
    for (service, queue) in core.queues.all() {
        let (mut in_use, mut quotas) = (0, 0);
        for link in links.of(&service) {
            let idle = link.pool.idle_count();
            let (event, quota, used) = {
                let mut state = link.connections.state();
                (state.quota.settle(now), state.quota.size(), state.in_use)
            };
            note_change(link, event, quota);
            in_use += u64::from(used) + idle as u64;
            quotas += u64::from(quota);
        }
        core.metrics.connections_open(service.as_str(), in_use, quotas, queue.len() as u64);
    }
}
