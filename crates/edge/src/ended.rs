//! Finds out whether targets have ended under the requests that they have not answered.
//!
//! Proof of an end is another start of the target: in its own report, or in a registration of its name
//! or at its address. So is an address that refuses connections, while none from before lives on. Where none
//! of these comes, as from a machine that is gone, it is the registration that went while nothing answers.
//!
//! A target that names the start which is known a second later has not ended. One that does so sooner may
//! be about to end: a process closes its connections first. Silence alone proves nothing.

use base::{Ms, TargetId};
use catalog::Residency;
use link::{Conn, ConnPolicy, LinkError};
use logs::note;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

use crate::core::Core;
use crate::diagnose;
use crate::dial::{self, dial};
use crate::exposures::{Asked, Exposure, Left};
use crate::links::{Link, Links};
use crate::restart;
use crate::send::SendFault;

/// Time from the first break at a target until it is checked: other connections that it had end
/// meanwhile, and one check serves all.
const CHECK_DELAY: Ms = Ms(20);
/// Time from the sending of a request that was dropped until its target is checked.
const DROPPED_DELAY: Ms = Ms::secs(1);
/// Shortest time between two checks of a target. It grows with the time since the first break.
const CHECK_INTERVAL: Ms = Ms(250);
/// Interval at which targets under suspicion are looked at.
const LOOK_INTERVAL: Ms = Ms(100);
/// Most keys that are logged with an end.
const MAX_LOGGED: usize = 8;

/// Targets with requests that they may have ended under.
#[derive(Default)]
pub(crate) struct Suspicions {
    links: Mutex<Vec<Arc<Link>>>,
    due: Notify,
}

impl Suspicions {
    /// Adds a target.
    pub(crate) fn add(&self, link: &Arc<Link>) {
        let mut links = self.links();
        if !links.iter().any(|l| Arc::ptr_eq(l, link)) {
            links.push(link.clone());
        }
        drop(links);
        self.due.notify_one();
    }

    fn links(&self) -> MutexGuard<'_, Vec<Arc<Link>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keys of the requests that were left at more than one target or more than once.
    fn repeated(&self) -> HashSet<u64> {
        let (mut seen, mut repeated) = (HashSet::new(), HashSet::new());
        for link in self.links().iter() {
            let list = link.exposures();
            for key in list.left().filter_map(|e| e.exposed.request) {
                if !seen.insert(key) {
                    repeated.insert(key);
                }
            }
        }
        repeated
    }
}

/// What shows that a target has ended.
#[derive(Clone, Copy, Debug)]
enum Proof {
    /// Another start is registered.
    Registered,
    /// Its report names another start.
    Report,
    /// Its address refuses connections.
    Refused,
    /// Its registration is gone, and nothing answers.
    Gone,
}

impl Proof {
    /// Its name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Registered => "registered",
            Self::Report => "report",
            Self::Refused => "refused",
            Self::Gone => "gone",
        }
    }
}

/// What a target's address answers.
enum Answer {
    Refused,
    Started(u64),
    /// It answers, and does not tell its start.
    Untold,
    Unknown,
}

/// Follows the targets under suspicion.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut changed = core.changed.subscribe();
    loop {
        let idle = core.suspicions.links().is_empty();
        tokio::select! {
            () = core.suspicions.due.notified() => {}
            Ok(()) = changed.changed(), if !idle => {}
            () = tokio::time::sleep(LOOK_INTERVAL.duration()), if !idle => {}
        }
        look(&core);
    }
}

/// Looks at all targets under suspicion, and forgets those without one.
fn look(core: &Arc<Core>) {
    let now = core.clock.now();
    let links: Vec<Arc<Link>> = core.suspicions.links().clone();
    let known = core.links();
    for link in &links {
        let unproved = link.exposures().expire(now);
        if unproved > 0 {
            note!(logs::Event::EndUnproved, target = link.name(), requests = unproved);
        }
        match () {
            () if known.supersedes(link) => {
                let taken = link.exposures().take();
                end(core, link, Proof::Registered, taken);
            }
            () if is_gone(&known, link) => {
                let taken = link.exposures().take_unanswered();
                end(core, link, Proof::Gone, taken);
            }
            () => {}
        }
    }
    core.suspicions.links().retain(|link| link.exposures().left().next().is_some());
    let repeated = core.suspicions.repeated();
    for link in core.suspicions.links().iter() {
        let age = link.exposures().first_left().map_or(Ms::ZERO, |at| now - at);
        let interval = age.max(CHECK_INTERVAL);
        let due = is_due(core, link, &repeated, now) || is_gone(&known, link);
        if due && link.begin_check(now, interval) {
            tokio::spawn(check(core.clone(), link.clone()));
        }
    }
}

/// Whether a target has to be checked: a connection to it broke, or a request that it did not answer
/// was left unanswered elsewhere too.
fn is_due(core: &Core, link: &Link, repeated: &HashSet<u64>, now: Ms) -> bool {
    let list = link.exposures();
    let suspected = |e: &Exposure| {
        e.exposed.request.is_some_and(|key| repeated.contains(&key) || core.ends().has(key))
    };
    list.left().any(|e| match e.left {
        Some((_, Left::Broken)) => e.is_due(now),
        Some(_) => e.asked != Asked::Runs && now >= e.sent + DROPPED_DELAY && suspected(e),
        None => false,
    })
}

/// Whether the registration of a target is gone that was not to leave. It may serve on for some time.
fn is_gone(known: &Links, link: &Link) -> bool {
    known.named(&link.entry.id).is_none() && !link.is_retiring() && !link.is_leaving()
}

/// Finds out whether a target still runs.
async fn check(core: Arc<Core>, link: Arc<Link>) {
    tokio::time::sleep(CHECK_DELAY.duration()).await;
    let begun = core.clock.now();
    let Some(first) = link.exposures().first_left() else { return };
    match ask(&core, &link, begun - first).await {
        Answer::Refused => {
            link.set_started(None);
            let taken = link.exposures().take();
            end(&core, &link, Proof::Refused, taken);
        }
        Answer::Started(at) => match link.set_started(Some(at)) {
            Some(before) if before != at => {
                let taken = link.exposures().take();
                end(&core, &link, Proof::Report, taken);
            }
            Some(_) => {
                link.exposures().asked(begun, Asked::Runs);
                refute(&link, begun);
            }
            None => {}
        },
        Answer::Untold => link.exposures().asked(begun, Asked::Runs),
        Answer::Unknown => link.exposures().asked(begun, Asked::Silent),
    }
}

/// Drops the suspicions that a target refutes which still runs at `now`.
fn refute(link: &Link, now: Ms) {
    let requests = link.exposures().refute(now);
    if requests > 0 {
        note!(logs::Event::EndRefuted, target = link.name(), evidence = "report", requests);
    }
}

/// Asks a target when it started, whose first suspected request was left `age` ago: on a connection from
/// before, since a target that is full resets new ones, or else on a new one. That an idle connection is
/// open shows nothing by itself: nobody has read it.
async fn ask(core: &Arc<Core>, link: &Arc<Link>, age: Ms) -> Answer {
    let before = link.pool.holds_older_than(age).then(|| link.pool.idle()).flatten();
    let conn = match before {
        Some(conn) => Ok(conn),
        None => link.pool.get(ConnPolicy::New).await,
    };
    match conn {
        Ok(conn) => read_start(core, link, conn).await,
        Err(err) if dial::needs_detour(core, link) => ask_through_host(core, link, &err).await,
        Err(LinkError::Refused) => Answer::Refused,
        Err(_) => Answer::Unknown,
    }
}

/// Asks a target through another host, while this host's own links seem lost. A refusal is that of the
/// link then, and says nothing of the target.
async fn ask_through_host(core: &Arc<Core>, link: &Arc<Link>, err: &LinkError) -> Answer {
    match dial(core, link, &Residency::Anywhere).await {
        Ok(dialed) => read_start(core, link, dialed.conn).await,
        Err(SendFault::NoConnection) if matches!(err, LinkError::Refused) => Answer::Refused,
        Err(_) => Answer::Unknown,
    }
}

async fn read_start(core: &Core, link: &Link, mut conn: Conn) -> Answer {
    match restart::read_start(core, link, &mut conn).await {
        Ok(Some(started)) => Answer::Started(started),
        Ok(None) => Answer::Untold,
        Err(_) => Answer::Unknown,
    }
}

/// Reports that a target has ended under the requests that it had. They were all at one end, the time
/// of which is that of the first break; without a break it is not known better than by the proof.
fn end(core: &Core, link: &Link, proof: Proof, taken: Vec<Exposure>) {
    if taken.is_empty() {
        return;
    }
    let broken = taken.iter().filter_map(|e| e.left.filter(|(_, how)| *how == Left::Broken));
    let at = broken.map(|(at, _)| at).min().unwrap_or_else(|| core.clock.now());
    let keys = taken.iter().filter_map(|e| e.exposed.request).take(MAX_LOGGED);
    let target: TargetId = link.incarnation();
    note!(
        logs::Event::EndCounted,
        target = %target,
        evidence = proof.name(),
        requests = taken.len(),
        suspected = taken.iter().filter(|e| e.suspects_parts()).count(),
        keys = keys.map(|key| format!("{key:x}")).collect::<Vec<_>>().join(",")
    );
    core.metrics.target_ended(proof.name());
    taken.into_iter().for_each(|exposure| diagnose::report(core, &target, exposure, at));
}
