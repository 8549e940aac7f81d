//! Opens connections to targets: this host's own, and, while it can't reach a service, connections
//! through other hosts that can.
//!
//! A host that has lost its links to the targets still has callers, the store and the other hosts.
//! What it decides stays here; only the bytes take another way. So a request runs once, its stream
//! is resumed, its retries are counted and its stages are composed as without the cut.

use base::{Ms, TargetId};
use catalog::Residency;
use futures::future::{Either, select};
use link::Conn;
use logs::note;
use peer::ViewHost;
use sched::detour::Place;
use sched::reach::{Reach, ReachEvent};
use std::sync::Arc;
use tokio::net::TcpStream;

use crate::core::Core;
use crate::gate::BlockReason;
use crate::links::Link;
use crate::send::SendFault;

/// A new connection to a target.
pub(crate) struct Dialed {
    /// The connection.
    pub(crate) conn: Conn,
    /// Whether other requests may use it later. One through another region may not: they may be
    /// restricted to certain regions.
    pub(crate) poolable: bool,
}

/// Opens a connection to a target for requests that are restricted to `residency`.
pub(crate) async fn dial(
    core: &Arc<Core>,
    link: &Arc<Link>,
    residency: &Residency,
) -> Result<Dialed, SendFault> {
    match either_way(core, link, residency).await {
        Some(dialed) => Ok(dialed),
        // Others reach the target, so it isn't to blame.
        None if is_lost(core, link) => Err(SendFault::Blocked(BlockReason::Unreachable)),
        None => Err(SendFault::NoConnection),
    }
}

/// Opens a connection directly, or through another host if links seem lost.
async fn either_way(core: &Arc<Core>, link: &Arc<Link>, residency: &Residency) -> Option<Dialed> {
    if !needs_detour(core, link) {
        return direct(core, link).await;
    }
    // Its own way is tried each time, so that the detour ends with the cut.
    let direct = std::pin::pin!(direct(core, link));
    let detour = std::pin::pin!(through_host(core, link, residency));
    match select(direct, detour).await {
        Either::Left((None, detour)) => detour.await,
        Either::Right((None, direct)) => direct.await,
        Either::Left((dialed, _)) | Either::Right((dialed, _)) => dialed,
    }
}

fn reach<T>(core: &Core, link: &Link, f: impl FnOnce(&mut Reach, Ms, &TargetId) -> T) -> T {
    let now = core.clock.now();
    core.reach(&link.entry.service, |reach| f(reach, now, &link.entry.id))
}

/// Whether this host's own links to a target may be lost, so that others are asked too.
pub(crate) fn needs_detour(core: &Core, link: &Link) -> bool {
    reach(core, link, |reach, now, id| reach.needs_detour(now, id))
}

fn is_lost(core: &Core, link: &Link) -> bool {
    reach(core, link, |reach, now, id| reach.is_lost(now, id))
}

/// Opens a connection of this host's own. If it fails, others are asked in the background.
async fn direct(core: &Arc<Core>, link: &Arc<Link>) -> Option<Dialed> {
    let Some(tcp) = open(core, link).await else {
        if reach(core, link, Reach::failed) {
            tokio::spawn(ask_others(core.clone(), link.clone()));
        }
        return None;
    };
    let conn = Conn::over(tcp).await.ok()?;
    Some(Dialed { conn, poolable: true })
}

/// Opens a stream of this host's own.
async fn open(core: &Core, link: &Link) -> Option<TcpStream> {
    let tcp = link.pool.open().await.ok()?;
    let event = reach(core, link, Reach::opened);
    note_change(core, link, event);
    Some(tcp)
}

/// Asks other hosts to connect to a target that this host could not connect to. The request that
/// found it goes on elsewhere meanwhile: mostly the target is down.
async fn ask_others(core: Arc<Core>, link: Arc<Link>) {
    let Some(Dialed { conn, poolable }) = through_host(&core, &link, &Residency::Anywhere).await
    else {
        return;
    };
    // What the failures seemed to tell of the target was due to this host's links.
    link.reinstate();
    if poolable {
        link.pool.put(conn);
    }
}

fn note_change(core: &Core, link: &Link, event: Option<ReachEvent>) {
    let service = &link.entry.service;
    match event {
        None => {}
        Some(ReachEvent::Lost) => {
            note!(logs::Event::ServiceUnreachable, service = %service, target = link.name());
        }
        Some(ReachEvent::Regained) => {
            note!(logs::Event::ServiceReachable, service = %service, target = link.name());
            // Connections through other hosts are given up.
            core.links().of(service).iter().for_each(|l| l.pool.clear());
        }
    }
}

/// Opens a connection through one of the hosts that may pass the request on.
async fn through_host(core: &Core, link: &Arc<Link>, residency: &Residency) -> Option<Dialed> {
    let target = link.incarnation();
    let service = link.entry.service.as_str();
    for host in hosts(core, link, residency) {
        match core.members.peers().tunnel(host.address, target.as_str()).await {
            Ok(tunnel) => {
                core.metrics.tunnel(service, "opened");
                let event = reach(core, link, Reach::detoured);
                note_change(core, link, event);
                let settings = core.settings();
                let poolable =
                    settings.region_of(&host.domain) == settings.region_of(&link.entry.domain);
                let conn = Conn::over(tunnel).await.ok()?;
                return Some(Dialed { conn, poolable });
            }
            Err(err) => {
                core.metrics.tunnel(service, "failed");
                core.detours().failed(core.clock.now(), &host.host);
                note!(logs::Event::PeerFailed, host = %host.host, call = "tunnel", why = %err);
            }
        }
    }
    // A request that may not pass through all hosts tells nothing of what these reach.
    if *residency == Residency::Anywhere {
        let event = reach(core, link, Reach::down);
        note_change(core, link, event);
    }
    None
}

/// The hosts that are asked for a connection, in this order. Those of the target's region are allowed
/// for every request that the target is.
fn hosts(core: &Core, link: &Link, residency: &Residency) -> Vec<ViewHost> {
    let now = core.clock.now();
    let settings = core.settings();
    let all = core.members.hosts();
    let target_region = settings.region_of(&link.entry.domain);
    let place = |host: &ViewHost| match settings.region_of(&host.domain) {
        _ if host.domain == link.entry.domain => Some(Place::Domain),
        region if region == target_region => Some(Place::Region),
        region => residency.allows_place(region).then_some(Place::Far),
    };
    let others = all.iter().filter(|h| h.host != *core.members.me());
    let candidates = others.filter_map(|h| Some((h, &h.host, place(h)?)));
    let chosen = core.detours().choose(now, link.name(), candidates);
    chosen.into_iter().cloned().collect()
}

/// Opens a connection to a target for another host that can't reach it. There is no further detour:
/// hosts that are cut off would pass it among themselves.
pub(crate) async fn open_for_peer(core: &Core, target: &str) -> Option<TcpStream> {
    let link = core.incarnation(target)?;
    let closed = link.is_leaving() || core.links().evacuated(&link.entry.domain);
    match closed || is_lost(core, &link) {
        true => None,
        false => open(core, &link).await,
    }
}
