//! One stage, handed to whoever composes its service's calls.

use base::{HostId, Ms, PoolId, RegionId};
use std::sync::Arc;
use wire::{PieceFault, StageResults, StageWork};

use crate::host::App;
use crate::members::Owner;
use crate::remote::{self, Missed};
use crate::results::StageOutput;

/// How a stage failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageFault {
    /// What it read is gone.
    Gone,
    /// Its time ran out, or would have. A piece handed in now would wait this long for a call.
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

/// Hosts that are asked in turn to compose the calls, before this host does.
///
/// When the composer of a service dies, all hosts of its region notice at about the same time. If
/// each then composed for itself, they would fill the targets' few places with calls of one request
/// each and turn each other away; the next host that all of them name goes on filling calls.
const COMPOSERS: usize = 2;

/// Hands a stage to whoever composes its service's calls.
pub(crate) async fn submit(
    app: &Arc<App>,
    service: &PoolId,
    region: &RegionId,
    mut work: StageWork,
) -> Result<StageOutput, StageFault> {
    let core = &app.core;
    let settings = core.settings().clone();
    for _ in 0..COMPOSERS {
        let owner = core.members.owner(&settings, service, region);
        let Some(Owner::Peer { host, addr }) = owner else { break };
        let begun = core.clock.now();
        match remote::make(core, &host, addr, work.clone()).await {
            Ok(results) => return output(service, Owner::Peer { host, addr }, results),
            Err(Missed::Late) => return Err(StageFault::Late(Ms::ZERO)),
            Err(Missed::Lost) => {
                let passed = core.clock.now() - begun;
                work.due_ms = (Ms(work.due_ms) - passed).0;
                work.expires_ms = (Ms(work.expires_ms) - passed).0;
            }
        }
    }
    // Alone: calls are less full, and nothing is lost.
    let results = app.composer.submit(work).await;
    output(service, Owner::Me, results)
}

fn output(
    service: &PoolId,
    owner: Owner,
    results: StageResults,
) -> Result<StageOutput, StageFault> {
    // The host that was asked may have passed the stage on.
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
