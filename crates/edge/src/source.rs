//! Follows the host of the failure domain that reads the platform's store; see [`sched::store_reader`].

use base::{HostId, Ms};
use catalog::Proof;
use logs::note;
use sched::store_reader::ReaderFault;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::StoreQuery;

use crate::core::Core;
use crate::directory::Directory;
use crate::follow;
use crate::members::Owner;
use crate::store_sync;

/// Time from the start until a host asks others, ms: by then it knows them. Asked sooner, each of
/// a fleet that starts at once would name another reader.
const SETTLE: Ms = Ms(1_000);
/// Part of the time after which a key that was taken away must not work that a query waits for
/// news, percent. With it goes the time between two reads and one query that is lost.
const WAIT_KEYS: u64 = 20;
/// The same of the time in which a leaving target must get nothing new: two readers in a row may
/// be lost.
const WAIT_TARGETS: u64 = 24;
/// The same of the time in which an evacuated failure domain must get nothing.
const WAIT_EVACUATION: u64 = 20;
/// Time between looks at who reads, while it is this host, ms.
const LOOK: Ms = Ms(250);

/// What a host does next.
enum Next {
    /// Nothing; it reads the store itself, or has just begun.
    Rest,
    /// Asks another.
    Ask(HostId, SocketAddr),
}

/// Keeps what is known of the store current by asking whoever reads it.
pub(crate) async fn follow(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let begun = core.clock.now();
    let mut proved = true;
    loop {
        let next = match core.clock.now() - begun < SETTLE {
            true => settle(&core),
            false => next(&core),
        };
        match next {
            Next::Rest => tokio::time::sleep(LOOK.duration()).await,
            Next::Ask(host, addr) => ask(&core, directory.as_ref(), &host, addr).await,
        }
        core.expire();
        note_proof(&core, &mut proved);
    }
}

/// Says once that keys can't be served any more, or can again.
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

/// A host that has just started reads until it holds all, and then waits for word of the others.
fn settle(core: &Core) -> Next {
    core.set_store_reader(!loaded(core) || core.sources().reads(core.clock.now()));
    Next::Rest
}

fn loaded(core: &Core) -> bool {
    core.version().is_some() && core.revision().is_some() && core.knows_evacuations()
}

fn next(core: &Core) -> Next {
    let now = core.clock.now();
    let named = named(core, now);
    if matches!(named, Some(Owner::Me)) && core.proof_overdue() {
        // The store turns this host away, or it is cut off: another may still be served.
        core.sources().failed(now, core.members.me(), ReaderFault::Stale);
    }
    let asked = core.sources().reads(now);
    match named {
        Some(Owner::Peer { host, addr }) => {
            core.set_store_reader(asked || !loaded(core));
            Next::Ask(host, addr)
        }
        Some(Owner::Me) | None => {
            core.set_store_reader(true);
            Next::Rest
        }
    }
}

/// The host that is named to read, of those that have not failed lately.
fn named(core: &Core, now: Ms) -> Option<Owner> {
    let sources = core.sources();
    core.members.store_reader(&core.settings().domain, |host| sources.fits(now, host))
}

fn wait(core: &Core) -> Ms {
    let bounds = &core.settings().bounds;
    let evacuation = bounds.evacuate_ms.map_or(Ms::MAX, |b| b.scale(WAIT_EVACUATION, 100));
    let targets = bounds.drain_ms.scale(WAIT_TARGETS, 100);
    bounds.revoke_ms.scale(WAIT_KEYS, 100).min(targets).min(evacuation)
}

async fn ask(core: &Arc<Core>, directory: &dyn Directory, host: &HostId, addr: SocketAddr) {
    let query = StoreQuery {
        version: core.version().unwrap_or_default(),
        revision: core.revision().unwrap_or_default(),
        wait_ms: wait(core).0,
        urgent: core.proof_overdue(),
        evacuation: core.gate.evacuations().known().unwrap_or_default(),
    };
    let sent = core.clock.now();
    let answer = core.members.peers().store(addr, query).await;
    let now = core.clock.now();
    match answer {
        Err(err) => {
            note!(logs::Event::PeerFailed, host = %host, call = "store", why = %err);
            core.sources().failed(now, host, ReaderFault::Unreachable);
        }
        Ok(news) => match store_sync::apply(core, directory, sent, news) {
            Ok(()) if !core.proof_overdue() => core.sources().helped(),
            taken => {
                let why = taken.err().map(|err| err.to_string());
                note!(logs::Event::PeerFailed, host = %host, call = "store", why);
                core.sources().failed(now, host, ReaderFault::Stale);
                read_once(core, directory).await;
            }
        },
    }
}

/// Reads the store itself once, since the host that was asked is kept from it.
///
/// The store may turn away that host and the next ones alike, and serve this one: asked one after
/// the other they would use up the time in which a change must be in force here.
async fn read_once(core: &Core, directory: &dyn Directory) {
    if let Err(err) = follow::once(core, directory).await {
        note!(logs::Event::PlatformDown, what = "once", why = %err);
    }
}
