//! Opens connections to targets, and finds out from them whether this host reaches a service.

use link::Conn;
use logs::note;
use sched::reach::ReachEvent;
use std::sync::Arc;

use crate::core::Core;
use crate::links::Link;

/// Opens a connection to a target; none if it can't be reached.
pub(crate) async fn dial(core: &Core, link: &Arc<Link>) -> Option<Conn> {
    direct(core, link).await
}

/// Opens a connection of this host's own.
async fn direct(core: &Core, link: &Arc<Link>) -> Option<Conn> {
    let conn = link.pool.connect().await.ok();
    let (now, service) = (core.clock.now(), &link.entry.service);
    let known = core.links().of(service).len();
    let event = match conn {
        Some(_) => core.reach(service, |reach| reach.opened()),
        None => core.reach(service, |reach| reach.failed(now, &link.entry.id, known)),
    };
    match event {
        None => {}
        Some(ReachEvent::Lost) => {
            note!(logs::Event::ServiceUnreachable, service = %service, target = link.name(), known);
        }
        Some(ReachEvent::Regained) => {
            note!(logs::Event::ServiceReachable, service = %service, target = link.name());
        }
    }
    conn
}
