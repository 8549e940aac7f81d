//! Submits a stage to the host that composes the calls of its service.

use base::{HostId, Ms, PoolId, RegionId};
use catalog::Batch;
use logs::note;
use std::sync::Arc;
use wire::{PieceFault, StageRelease, StageResults, StageWork};

use crate::host::App;
use crate::loads;
use crate::members::Owner;
use crate::remote::{self, RemoteFault};
use crate::results::StageOutput;

/// How a stage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageFault {
    /// Its inputs are gone.
    Gone,
    /// It ended too late or would have. Holds how long a piece submitted now would wait for a call.
    Late(Ms),
    /// Its targets failed.
    Failed,
    /// No target is in a region that its request may be in.
    Outside,
}

impl StageFault {
    /// Its name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Late(_) => "late",
            Self::Failed => "failed",
            Self::Outside => "outside",
        }
    }
}

/// Number of hosts that are tried in turn as composer, before this host composes the calls itself.
///
/// When the composer of a service dies, all hosts of its region notice at about the same time. If
/// each then composed for itself, calls with the pieces of one request each would occupy the
/// targets' few call slots, and the targets would reject the calls of other hosts. So they try the
/// next host first, on which they all agree and which goes on filling calls.
const MAX_COMPOSERS: usize = 2;

/// Submits a stage to the host that composes the calls of its service. `declared` are the service's
/// batch parameters under which the request was admitted.
pub(crate) async fn submit(
    app: &Arc<App>,
    service: &PoolId,
    region: &RegionId,
    mut work: StageWork,
    declared: Option<&Batch>,
) -> Result<StageOutput, StageFault> {
    let core = &app.core;
    let settings = core.settings().clone();
    let inputs = Inputs { app, release: work.release.clone() };
    for _ in 0..MAX_COMPOSERS {
        let owner = core.members.owner(&settings, service, region);
        let Some(Owner::Peer { host, addr }) = owner else { break };
        let begun = core.clock.now();
        match remote::submit(core, &host, addr, work.clone()).await {
            // The configuration in force there doesn't declare the service: it is older than the one
            // under which the request was admitted, or newer.
            Ok(results) if results.results.is_empty() => {
                let request = work.request.as_str();
                note!(logs::Event::ServiceUndeclared, request, service = %service, host = %host);
                break;
            }
            Ok(results) => {
                inputs.close();
                loads::record(core, &results.load);
                return output(service, Owner::Peer { host, addr }, results);
            }
            Err(RemoteFault::Late) => return Err(StageFault::Late(Ms::ZERO)),
            Err(RemoteFault::Lost) => {
                let spent = core.clock.now() - begun;
                work.due_ms = (Ms(work.due_ms) - spent).0;
                work.expires_ms = (Ms(work.expires_ms) - spent).0;
            }
        }
    }
    // No other composer: calls of this host alone are less full, but no work is lost.
    let results = app.composer.submit(work, declared).await;
    if !results.results.is_empty() {
        inputs.close();
    }
    loads::record(core, &results.load);
    output(service, Owner::Me, results)
}

/// The results that a stage reads and no other. Unless a composer has returned the stage's results, and
/// so has released them, they are released when this is dropped: nobody reads them any more.
struct Inputs<'a> {
    app: &'a App,
    release: Vec<StageRelease>,
}

impl Inputs<'_> {
    /// Leaves them to the composer that has released them.
    fn close(mut self) {
        self.release.clear();
    }
}

impl Drop for Inputs<'_> {
    fn drop(&mut self) {
        self.app.composer.release(Ms::ZERO, std::mem::take(&mut self.release));
    }
}

fn output(
    service: &PoolId,
    owner: Owner,
    results: StageResults,
) -> Result<StageOutput, StageFault> {
    // The host that was asked may have passed the stage on to another.
    let owner = match results.owner.parse() {
        Ok(addr) => Owner::Peer { host: HostId::from(results.owner.as_str()), addr },
        Err(_) => owner,
    };
    let wait = Ms(results.wait_ms);
    let results = results.results;
    let fault = |f: PieceFault| results.iter().any(|r| r.fault() == f);
    let failed = match () {
        () if results.is_empty() => Some(StageFault::Failed),
        () if fault(PieceFault::Outside) => Some(StageFault::Outside),
        () if fault(PieceFault::Gone) => Some(StageFault::Gone),
        () if fault(PieceFault::Late) => Some(StageFault::Late(wait)),
        () if fault(PieceFault::Room) || fault(PieceFault::Failed) => Some(StageFault::Failed),
        () => None,
    };
    match failed {
        None => Ok(StageOutput { service: service.clone(), owner, results }),
        Some(fault) => Err(fault),
    }
}
