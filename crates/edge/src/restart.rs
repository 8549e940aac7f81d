//! Finds out whether a target has started again under its name since it registered.
//!
//! A target that crashes may come back within a second under the same name and at the same address,
//! with other software. Until its new registration is known here, requests for the former one reach
//! it, and nothing in them or in its answers tells the two apart: a stream would go on at another
//! version, or be recorded as begun at the former one. A registration is no proof of who answers, with
//! one version listed as little as with several: the process at the address may be the first one of
//! another. An open connection proves that the process is the same. So where streams can be taken up, a
//! target is asked when it started before it gets one on a new connection. That costs a round trip for
//! each new connection, and nothing on open ones.

use base::Ms;
use catalog::Residency;
use link::{Conn, ConnPolicy, LinkError, full, read};
use logs::note;
use sched::health::Outcome;
use std::sync::Arc;

use crate::core::Core;
use crate::dial::Dialed;
use crate::links::Link;
use crate::send::{SendFault, connect};

/// Time-out for the answer: round trips take up to about 40 ms.
const ANSWER_TIMEOUT: Ms = Ms(300);
/// Largest answer that is read, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Whether the target is known to be the registered incarnation. If it has to be asked, the
/// connection on which it has answered is kept for the next request.
pub(crate) async fn is_same(core: &Arc<Core>, link: &Arc<Link>, residency: &Residency) -> bool {
    let suspected = link.restart_suspected(core.clock.now());
    let unproved = !link.pool.has_idle() && core.can_take_up(&link.entry.service);
    if !suspected && !unproved {
        return true;
    }
    match ask(core, link, residency).await {
        Some((started, dialed)) if started == link.entry.born => {
            link.clear_restart();
            if dialed.poolable {
                link.pool.put(dialed.conn);
            }
            true
        }
        answer => {
            // No connection to another incarnation may stay in the pool: it would prove nothing.
            link.pool.clear();
            note!(
                logs::Event::TargetUnproved,
                target = link.name(),
                registered = link.entry.born,
                started = answer.map(|(started, _)| started)
            );
            false
        }
    }
}

/// Asks a target on a new connection when it started, in ms since the Unix epoch.
async fn ask(core: &Arc<Core>, link: &Arc<Link>, residency: &Residency) -> Option<(u64, Dialed)> {
    let mut dialed = match connect(core, link, residency, ConnPolicy::New).await {
        Ok(dialed) => dialed,
        Err(fault) => {
            // A target that only this host can't reach isn't to blame.
            if fault == SendFault::NoConnection {
                link.record(core.clock.now(), Outcome::NoConnection);
            }
            return None;
        }
    };
    let started = read_start(core, link, &mut dialed.conn).await.ok()??;
    Some((started, dialed))
}

/// Asks a target on this connection when it started, in ms since the Unix epoch; none if its answer
/// does not tell.
pub(crate) async fn read_start(
    core: &Core,
    link: &Link,
    conn: &mut Conn,
) -> Result<Option<u64>, LinkError> {
    let call = core.dialect.report_call(link.name()).map(full);
    let answer = conn.send(call, ANSWER_TIMEOUT).await?;
    let body = read(answer.into_body(), MAX_ANSWER_BYTES);
    let body = tokio::time::timeout(ANSWER_TIMEOUT.duration(), body);
    let body = body.await.map_err(|_| LinkError::Silent)??;
    Ok(core.dialect.parse_report(&body))
}
