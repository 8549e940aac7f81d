//! Hands stages to another host.

use base::{HostId, Ms};
use logs::note;
use peer::PeerError;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{StageResults, StageWork};

use crate::core::Core;

/// How long to wait, after the pieces have expired, for another host's answer that they are late: a
/// round trip, and 100 ms for which that host may have been denied the processor.
const ANSWER_WAIT: Ms = Ms(200);

/// Why another host returned no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemoteFault {
    /// The pieces expired while it had them.
    Late,
    /// It can't be reached, and has got nothing; for a while it is not asked to compose for this host.
    Unreachable,
    /// It is not alive, but may have begun; the same.
    Lost,
}

/// Submits a stage to another host and waits for the results while that host's liveness checks
/// succeed.
pub(crate) async fn submit(
    core: &Arc<Core>,
    host: &HostId,
    addr: SocketAddr,
    work: StageWork,
) -> Result<StageResults, RemoteFault> {
    let request = work.request.clone();
    tokio::select! {
        results = ask(core, host, addr, work) => results,
        () = core.liveness.lost(core, addr) => {
            suspect(core, &request, host, &PeerError::Silent);
            Err(RemoteFault::Lost)
        }
    }
}

/// Submits a stage to another host and waits for the results, however long that host is silent, until
/// the pieces have expired.
pub(crate) async fn ask(
    core: &Arc<Core>,
    host: &HostId,
    addr: SocketAddr,
    work: StageWork,
) -> Result<StageResults, RemoteFault> {
    let within = Ms(work.expires_ms);
    let end = core.clock.now() + within;
    let request = work.request.clone();
    match core.members.peers().submit(addr, work, within + ANSWER_WAIT).await {
        Ok(results) => Ok(results),
        // The time simply ran out: the host is not suspected.
        Err(PeerError::Silent) if core.clock.now() >= end => Err(RemoteFault::Late),
        Err(err) => {
            suspect(core, &request, host, &err);
            Err(match err {
                PeerError::Unreachable | PeerError::Refused => RemoteFault::Unreachable,
                PeerError::Silent | PeerError::Broken => RemoteFault::Lost,
            })
        }
    }
}

/// Records that a host did not answer the work of a request.
pub(crate) fn suspect(core: &Core, request: &str, host: &HostId, why: &PeerError) {
    note!(logs::Event::PeerFailed, request, host = %host, call = "submit", %why);
    core.members.suspect(host);
}
