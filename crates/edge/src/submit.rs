//! Submits a stage to the host that composes the calls of its service.

use base::{HostId, Ms, PoolId, RegionId};
use catalog::Batch;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use logs::note;
use peer::PeerError;
use sched::budget::Spender;
use std::sync::Arc;
use wire::{PieceFault, StageRelease, StageResults, StageWork};

use crate::host::App;
use crate::loads;
use crate::members::Owner;
use crate::remote::{self, RemoteFault};
use crate::results::StageOutput;
use crate::unread::Retries;

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
    work: StageWork,
    declared: Option<&Batch>,
) -> Result<StageOutput, StageFault> {
    let core = &app.core;
    let inputs = Inputs { app, release: work.release.clone() };
    let mut asked = Asked::new(app, service, work);
    let ended = match asked.others(region).await {
        Some(ended) => ended,
        // No other composer: calls of this host alone are less full, but no work is lost.
        None => asked.own(declared).await,
    };
    let (owner, results) = ended?;
    if !results.results.is_empty() {
        inputs.close();
    }
    loads::record(core, &results.load);
    output(service, owner, results)
}

/// The results of a stage, with the composer that they come from.
type Ended = Result<(Owner, StageResults), StageFault>;

/// A stage and the composers that have been asked for it.
///
/// One that falls silent may be sound, and back within a second or two. So the next one is asked
/// without taking the work from it, and the results that come first count.
struct Asked<'a> {
    app: &'a Arc<App>,
    service: &'a PoolId,
    work: StageWork,
    begun: Ms,
    open: FuturesUnordered<BoxFuture<'static, (Owner, Result<StageResults, RemoteFault>)>>,
    /// Those that asking again has taken.
    retries: Arc<Retries>,
    /// Whether a composer has been asked that may have sent pieces.
    asked: bool,
    /// Whether a composer's configuration doesn't declare the service.
    undeclared: bool,
    /// A failure that one of them has returned.
    failed: Option<Ended>,
}

impl<'a> Asked<'a> {
    fn new(app: &'a Arc<App>, service: &'a PoolId, work: StageWork) -> Self {
        let begun = app.core.clock.now();
        Self {
            app,
            service,
            work,
            begun,
            open: FuturesUnordered::new(),
            retries: Retries::new(&app.core, service, Spender::Submitters),
            asked: false,
            undeclared: false,
            failed: None,
        }
    }

    /// Has other hosts compose the stage; none if this host has to.
    async fn others(&mut self, region: &RegionId) -> Option<Ended> {
        let core = self.app.core.clone();
        let settings = core.settings().clone();
        for _ in 0..MAX_COMPOSERS {
            let owner = core.members.owner(&settings, self.service, region)?;
            let Owner::Peer { host, addr } = owner.clone() else { return None };
            if !self.may_ask_again() {
                return Some(self.rest().await);
            }
            let (from, work) = (core.clone(), self.remaining());
            let (name, peer) = (host.clone(), owner.clone());
            let ask = async move { (peer, remote::ask(&from, &name, addr, work).await) };
            self.open.push(ask.boxed());
            let ended = tokio::select! {
                ended = self.first(&owner) => ended,
                () = core.liveness.lost(&core, addr) => {
                    remote::suspect(&core, &self.work.request, &host, &PeerError::Silent);
                    None
                }
            };
            if ended.is_some() || self.undeclared {
                return ended;
            }
        }
        None
    }

    /// Whether a composer may be asked: no other one may have sent the pieces, or there is a retry for
    /// each.
    fn may_ask_again(&mut self) -> bool {
        if !std::mem::replace(&mut self.asked, true) {
            return true;
        }
        let pieces = self.work.pieces as usize;
        let granted = self.retries.take_all(pieces);
        if granted {
            self.app.core.metrics.pieces_resent(self.service.as_str(), "composer", pieces);
        }
        granted
    }

    /// Composes the stage here.
    async fn own(&mut self, declared: Option<&Batch>) -> Ended {
        if !self.may_ask_again() {
            return self.rest().await;
        }
        let (composer, work) = (self.app.composer.clone(), self.remaining());
        let declared = declared.cloned();
        let own = async move { (Owner::Me, Ok(composer.submit(work, declared.as_ref()).await)) };
        self.open.push(own.boxed());
        self.first(&Owner::Me).await.unwrap_or(Err(StageFault::Failed))
    }

    /// The first results of the composers that have been asked.
    async fn rest(&mut self) -> Ended {
        self.first(&Owner::Me).await.unwrap_or(Err(StageFault::Failed))
    }

    /// The first results of any composer; none once the one that was asked last has none. A failure
    /// counts only if nobody else works on the stage.
    async fn first(&mut self, last: &Owner) -> Option<Ended> {
        while let Some((owner, end)) = self.open.next().await {
            let request = self.work.request.as_str();
            match (end, &owner) {
                // The configuration in force there is older than the one under which the request was
                // admitted, or newer.
                (Ok(results), Owner::Peer { host, .. }) if results.results.is_empty() => {
                    let service = self.service;
                    note!(logs::Event::ServiceUndeclared, request, service = %service, host = %host);
                    self.undeclared = true;
                    self.asked = false;
                }
                (Ok(results), _) if has_fault(&results) && !self.open.is_empty() => {
                    self.failed = Some(Ok((owner, results)));
                    continue;
                }
                (Ok(results), _) => {
                    if owner != *last {
                        note!(logs::Event::ComposerBack, request, service = %self.service);
                    }
                    return Some(Ok((owner, results)));
                }
                (Err(RemoteFault::Late), _) => {
                    return self.failed.take().or(Some(Err(StageFault::Late(Ms::ZERO))));
                }
                (Err(RemoteFault::Unreachable), _) => self.asked = !self.open.is_empty(),
                (Err(RemoteFault::Lost), _) => {}
            }
            if owner == *last {
                return None;
            }
        }
        self.failed.take()
    }

    /// The stage as it is submitted now.
    fn remaining(&self) -> StageWork {
        let spent = self.app.core.clock.now() - self.begun;
        let left = |ms: u64| (Ms(ms) - spent).0;
        let work = self.work.clone();
        StageWork { due_ms: left(work.due_ms), expires_ms: left(work.expires_ms), ..work }
    }
}

/// Whether a piece of a stage has failed.
fn has_fault(results: &StageResults) -> bool {
    results.results.iter().any(|r| r.fault() != PieceFault::None)
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
