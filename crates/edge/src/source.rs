//! Keeps what this host knows of the platform's store current by querying the host of its failure
//! domain that reads the store, and decides when this host reads the store itself. See
//! [`sched::store_reader`].

use base::{HostId, Ms};
use catalog::{Position, Proof};
use logs::note;
use sched::store_reader::ReaderFault;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::StoreQuery;

use crate::core::Core;
use crate::directory::Directory;
use crate::follow;
use crate::members::Owner;
use crate::shared;

/// Time from the start until a host queries others. By then it knows them. Without this wait each
/// host of a fleet that starts at the same time would choose another reader.
const STARTUP_TIME: Ms = Ms(1_000);
/// Longest wait of a query for changes, in percent of the time after which a revoked key must no
/// longer work. The rest of that time allows for the interval between two reads and for one lost
/// query.
const KEY_WAIT_PERCENT: u64 = 20;
/// The same in percent of the time after which a draining target must get nothing new. Two readers
/// in a row may be lost within that time.
const TARGET_WAIT_PERCENT: u64 = 24;
/// The same in percent of the time after which an evacuated failure domain must get nothing.
const EVACUATION_WAIT_PERCENT: u64 = 20;
/// Interval between checks which host is the reader, while it is this host.
const CHECK_INTERVAL: Ms = Ms(250);

/// What this host does next.
enum Step {
    /// It waits: it reads the store itself, or has just started.
    Wait,
    /// It queries another host.
    Query(HostId, SocketAddr),
}

/// Keeps what is known of the store current by querying the host that reads it.
pub(crate) async fn follow(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let started = core.clock.now();
    let mut proved = true;
    loop {
        let step = match core.clock.now() - started < STARTUP_TIME {
            true => startup_step(&core),
            false => next_step(&core),
        };
        match step {
            Step::Wait => tokio::time::sleep(CHECK_INTERVAL.duration()).await,
            Step::Query(host, addr) => query(&core, directory.as_ref(), &host, addr).await,
        }
        core.expire();
        note_proof(&core, &mut proved);
    }
}

/// Logs when the proof that keys are valid is lost and when it is back, once each.
fn note_proof(core: &Core, proved: &mut bool) {
    match (core.proof(), *proved) {
        (Proof::Stale { age }, true) => {
            *proved = false;
            note!(logs::Event::ProofLost, age_ms = age.map(|a| a.0));
        }
        (Proof::Current, false) => {
            *proved = true;
            note!(logs::Event::ProofBack);
        }
        _ => {}
    }
}

/// The step of a host that has just started: it reads the store until it has loaded everything, and
/// then waits to learn of the other hosts. As long as it knows none, nobody can tell it of a change,
/// and it goes on reading.
fn startup_step(core: &Core) -> Step {
    let asked = core.store_readers().reads(core.clock.now());
    let alone = core.members.hosts().len() <= 1;
    core.set_store_reader(!loaded(core) || asked || alone);
    Step::Wait
}

fn loaded(core: &Core) -> bool {
    let declared = core.version().is_some() && core.knows_evacuations();
    declared && core.position().is_some() && core.knows_builds() && core.knows_quarantine()
}

fn next_step(core: &Core) -> Step {
    let now = core.clock.now();
    let reader = reader(core, now);
    if matches!(reader, Some(Owner::Me)) && core.store_silent() {
        // The store rejects the calls of this host, or can't be reached from it. Another host may
        // still be served.
        note!(
            logs::Event::ReadInVain,
            proof_age_ms = core.proof_age().map(|age| age.0),
            reading_ms = core.reading_for().0
        );
        core.store_readers().failed(now, core.members.me(), ReaderFault::Stale);
    }
    let asked = core.store_readers().reads(now);
    match reader {
        Some(Owner::Peer { host, addr }) => {
            core.set_store_reader(asked || !loaded(core));
            Step::Query(host, addr)
        }
        Some(Owner::Me) | None => {
            core.set_store_reader(true);
            Step::Wait
        }
    }
}

/// The host that is to read the store, chosen among those that have not failed recently.
fn reader(core: &Core, now: Ms) -> Option<Owner> {
    let store_readers = core.store_readers();
    core.members.store_reader(&core.settings().domain, |host| store_readers.fits(now, host))
}

/// Longest wait of a query for changes.
fn query_wait(core: &Core) -> Ms {
    let bounds = &core.settings().bounds;
    let evacuation = bounds.evacuate_ms.map_or(Ms::MAX, |b| b.scale(EVACUATION_WAIT_PERCENT, 100));
    let targets = bounds.drain_ms.scale(TARGET_WAIT_PERCENT, 100);
    bounds.revoke_ms.scale(KEY_WAIT_PERCENT, 100).min(targets).min(evacuation)
}

/// A query for what this host lacks, which waits for so long until there is something.
pub(crate) fn store_query(core: &Core, wait: Ms) -> StoreQuery {
    StoreQuery {
        version: core.version().unwrap_or_default(),
        revision: core.position().map_or(0, Position::pack),
        wait_ms: wait.0,
        urgent: core.proof_overdue(),
        evacuation: core.gate.evacuations().known().map_or(0, Position::pack),
        builds: core.builds().position().map_or(0, Position::pack),
        suspects: core.quarantine().position().map_or(0, Position::pack),
    }
}

async fn query(core: &Arc<Core>, directory: &dyn Directory, host: &HostId, addr: SocketAddr) {
    let query = store_query(core, query_wait(core));
    let sent = core.clock.now();
    let paused = core.pauses.lost();
    let answer = core.members.peers().store(addr, query).await;
    let now = core.clock.now();
    match answer {
        Err(err) => {
            note!(logs::Event::PeerFailed, host = %host, call = "store", why = %err);
            let fault = match core.pauses.excuses(paused) {
                true => ReaderFault::Unheard,
                false => ReaderFault::Unreachable,
            };
            core.store_readers().failed(now, host, fault);
        }
        Ok(news) => match shared::apply(core, directory, sent, news) {
            // The answer may have waited for this host to run again.
            Ok(()) if !core.proof_overdue_at(now - (core.pauses.lost() - paused)) => {
                core.store_readers().helped();
            }
            taken => {
                let why = taken.err().map(|err| err.to_string());
                note!(logs::Event::PeerFailed, host = %host, call = "store", why);
                core.store_readers().failed(now, host, ReaderFault::Stale);
                read_once(core, directory).await;
            }
        },
    }
}

/// Reads the store once, since the host that was queried can't.
///
/// The store may reject the calls of that host and of the next ones, but serve this one. Querying
/// them one after the other would use up the time within which a change must be in force here.
async fn read_once(core: &Core, directory: &dyn Directory) {
    if let Err(err) = follow::once(core, directory).await {
        note!(logs::Event::PlatformDown, what = "once", why = %err);
    }
}
