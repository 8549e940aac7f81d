//! Stages made by another host.

use base::{HostId, Ms};
use logs::note;
use peer::PeerError;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{StageResults, StageWork};

use crate::core::Core;

/// Wait for another host's word that the pieces are late, beyond their time, ms: the way there
/// and back, and a tenth of a second in which its processor was taken away.
const ANSWER_WAIT: Ms = Ms(200);

/// Why another host made nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missed {
    /// It had all the time there was.
    Late,
    /// It can't be reached or doesn't live; it composes nothing for this host for a while.
    Lost,
}

/// Has another host make a stage, as long as it shows that it lives.
pub(crate) async fn make(
    core: &Arc<Core>,
    host: &HostId,
    addr: SocketAddr,
    work: StageWork,
) -> Result<StageResults, Missed> {
    let within = Ms(work.expires_ms);
    let end = core.clock.now() + within;
    let peers = core.members.peers();
    let request = work.request.clone();
    let submit = peers.submit(addr, work, within + ANSWER_WAIT);
    let result = tokio::select! {
        results = submit => results,
        () = core.pulses.lost(core, addr) => Err(PeerError::Silent),
    };
    match result {
        Ok(results) => Ok(results),
        // Nobody is to blame.
        Err(PeerError::Silent) if core.clock.now() >= end => Err(Missed::Late),
        Err(err) => {
            note!(logs::Event::PeerFailed, request, host = %host, call = "submit", why = %err);
            core.members.suspect(host);
            Err(Missed::Lost)
        }
    }
}
