//! Finds out whether targets have ended under the requests that they have not answered.
//!
//! Proof of an end is another start of the target: in its own report, or in a registration of its name
//! or at its address. So is an address that refuses connections, while none from before lives on. A
//! target that names the start which is known has not ended. Silence proves nothing.

use base::{Ms, TargetId};
use link::{Conn, ConnPolicy, LinkError};
use logs::note;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

use crate::core::Core;
use crate::diagnose;
use crate::exposures::{Exposure, Left};
use crate::links::Link;
use crate::restart;

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
}

impl Proof {
    /// Its name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::Registered => "registered",
            Self::Report => "report",
            Self::Refused => "refused",
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
        if known.supersedes(link) {
            end(core, link, Proof::Registered);
        }
    }
    core.suspicions.links().retain(|link| link.exposures().left().next().is_some());
    let repeated = core.suspicions.repeated();
    for link in core.suspicions.links().iter() {
        let interval = link.exposures().first_left().map_or(Ms::ZERO, |at| (now - at).scale(1, 2));
        let interval = interval.max(CHECK_INTERVAL);
        if is_due(core, link, &repeated, now) && link.begin_check(now, interval) {
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
        _ if e.asked => false,
        Some((_, Left::Broken)) => true,
        Some(_) => now >= e.sent + DROPPED_DELAY && suspected(e),
        None => false,
    })
}

/// Finds out whether a target still runs.
async fn check(core: Arc<Core>, link: Arc<Link>) {
    tokio::time::sleep(CHECK_DELAY.duration()).await;
    let begun = core.clock.now();
    let Some(first) = link.exposures().first_left() else { return };
    // One that has ended closes all its connections.
    if link.pool.holds_older_than(begun - first) {
        refute(&link, begun, "connection");
        return;
    }
    match ask(&core, &link).await {
        Answer::Refused => {
            link.set_started(None);
            end(&core, &link, Proof::Refused);
        }
        Answer::Started(at) => match link.set_started(Some(at)) {
            Some(before) if before != at => end(&core, &link, Proof::Report),
            Some(_) => refute(&link, begun, "report"),
            None => {}
        },
        Answer::Untold => link.exposures().asked(begun),
        Answer::Unknown => {}
    }
}

/// Drops the suspicions that a target refutes which still runs at `now`, as `evidence` shows.
fn refute(link: &Link, now: Ms, evidence: &'static str) {
    let requests = link.exposures().refute(now);
    if requests > 0 {
        note!(logs::Event::EndRefuted, target = link.name(), evidence, requests);
    }
}

/// Asks a target on a new connection when it started. It is never asked through another host: that host
/// would answer for itself whether it can be reached.
async fn ask(core: &Core, link: &Link) -> Answer {
    match link.pool.get(ConnPolicy::New).await {
        Err(LinkError::Refused) => Answer::Refused,
        Err(_) => Answer::Unknown,
        Ok(conn) => read_start(core, link, conn).await,
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
fn end(core: &Core, link: &Link, proof: Proof) {
    let taken = link.exposures().take();
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
        suspected = taken.iter().filter(|e| e.suspects_parts(at)).count(),
        keys = keys.map(|key| format!("{key:x}")).collect::<Vec<_>>().join(",")
    );
    core.metrics.target_ended(proof.name());
    taken.into_iter().for_each(|exposure| diagnose::report(core, &target, exposure, at));
}
