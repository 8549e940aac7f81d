//! Results of a request's stages, and their release once nobody reads them any more.
//!
//! A stage target has room for a handful of large results. A result that is left there until its
//! time to live ends takes the place of a new one for seconds, and calls fail for lack of room. So
//! hosts release results explicitly.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{DomainId, Ms, PoolId};
use peer::PeerError;
use wire::{PieceResult, StageFree, StageRelease};

use crate::composer::Composer;
use crate::core::Core;
use crate::host::App;
use crate::members::Owner;

/// Time after a send within which an engine has read its inputs: the way to the engine, its round
/// trip to a target in another region, and the transfer.
const READ_TIME: Ms = Ms(100);
/// How long results are kept until the answer begins after some were released too early, see
/// [`Results::free_after_read`].
const KEEP_RESULTS_FOR: Ms = Ms::secs(10);

/// Results of one stage.
#[derive(Clone, Debug)]
pub(crate) struct StageOutput {
    /// The service that made them.
    pub(crate) service: PoolId,
    /// The host that composed the calls.
    pub(crate) owner: Owner,
    /// In the order of the pieces.
    pub(crate) results: Vec<PieceResult>,
}

/// The results that a request holds at stage targets. They are released on drop.
pub(crate) struct Results {
    app: Arc<App>,
    handles: Vec<String>,
    home: Option<DomainId>,
    held: Mutex<Vec<StageOutput>>,
}

impl Results {
    /// Holds no results yet.
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app, handles: Vec::new(), home: None, held: Mutex::default() }
    }

    /// Holds the results of a stage.
    pub(crate) fn hold(&self, output: StageOutput) {
        lock(&self.held).push(output);
    }

    /// Sets the handles that the engine gets.
    pub(crate) fn set_handles(&mut self, handles: Vec<String>) {
        self.handles = handles;
    }

    /// Sets the failure domain that holds most of what the engine reads.
    pub(crate) fn set_home(&mut self, home: Option<DomainId>) {
        self.home = home;
    }

    /// The failure domain that holds most of what the engine reads; none if that is little.
    pub(crate) fn home(&self) -> Option<&DomainId> {
        self.home.as_ref()
    }

    /// Handles that the engine gets.
    pub(crate) fn handles(&self) -> &[String] {
        &self.handles
    }

    /// Releases everything after [`READ_TIME`], when the engine that was just sent the handles has
    /// read the results.
    ///
    /// An engine reads its inputs before the prompt, but its answer begins only with the first
    /// token. If results were kept until then, those of a burst of long prompts would fill the
    /// stage targets and calls would shrink to half: the stage loses a third of its throughput. An
    /// engine that reads later than expected answers that its inputs are gone; then the stages are
    /// run again, and for [`KEEP_RESULTS_FOR`] results are kept until the answer begins.
    pub(crate) fn free_after_read(&self) {
        let core = &self.app.core;
        if core.clock.now() < core.keep_results_until() {
            return;
        }
        let held = std::mem::take(&mut *lock(&self.held));
        if held.is_empty() {
            return;
        }
        let app = self.app.clone();
        tokio::spawn(async move {
            tokio::time::sleep(READ_TIME.duration()).await;
            held.into_iter().for_each(|output| free(&app, output));
        });
    }

    /// Records that the first engine that got the handles found its inputs gone: engines read later
    /// than expected.
    pub(crate) fn inputs_read_late(&self) {
        let core = &self.app.core;
        core.set_keep_results(core.clock.now() + KEEP_RESULTS_FOR);
    }

    /// Whether the results have been released, so that the handles are of no use to another engine.
    pub(crate) fn released(&self) -> bool {
        !self.handles.is_empty() && lock(&self.held).is_empty()
    }

    /// Releases everything that is held.
    pub(crate) fn free(&self) {
        for output in std::mem::take(&mut *lock(&self.held)) {
            free(&self.app, output);
        }
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        self.free();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Releases one stage's results.
pub(crate) fn free(app: &Arc<App>, output: StageOutput) {
    let StageOutput { service, owner, results } = output;
    let free = StageFree { service: service.as_str().to_owned(), results, spare: false };
    match owner {
        Owner::Me => app.composer.free(free),
        Owner::Peer { addr, .. } => {
            let composer = app.composer.clone();
            tokio::spawn(async move { notify_owner(&composer, addr, free).await });
        }
    }
}

/// Tells the host that composed the calls that results are released or read. If it is gone, the
/// host that composes the calls after it frees released results, of which it has no record. If that
/// fails too, the targets drop them when their time to live ends.
pub(crate) async fn notify_owner(composer: &Arc<Composer>, addr: SocketAddr, free: StageFree) {
    if send_free(composer.core(), addr, &free).await.is_ok() || free.spare {
        return;
    }
    match successor(composer.core(), addr, &free) {
        Some(Owner::Me) => composer.free(free),
        Some(Owner::Peer { addr, .. }) => drop(send_free(composer.core(), addr, &free).await),
        None => {}
    }
}

async fn send_free(core: &Core, addr: SocketAddr, free: &StageFree) -> Result<(), PeerError> {
    let sent = core.members.peers().free(addr, free.clone()).await;
    sent.inspect_err(|err| {
        logs::note!(logs::Event::PeerFailed, host = %addr, call = "free", why = %err);
    })
}

/// The host that composes the calls for the targets of these results after the one at `gone`.
fn successor(core: &Core, gone: SocketAddr, free: &StageFree) -> Option<Owner> {
    let settings = core.settings();
    let made = free.results.iter().find(|r| !r.handle.is_empty())?;
    let target = core.links().named(&made.target.as_str().into())?.entry.domain.clone();
    let region = settings.region_of(&target).unwrap_or(settings.region());
    core.members.successor(&settings, &PoolId::from(free.service.as_str()), region, gone)
}

/// One stage's results as an order to release them, which goes with the work that reads them last.
pub(crate) fn release(core: &Core, output: StageOutput) -> StageRelease {
    let StageOutput { service, owner, results } = output;
    let addr = match owner {
        Owner::Me => core.settings().peer,
        Owner::Peer { addr, .. } => addr,
    };
    let free = StageFree { service: service.as_str().to_owned(), results, spare: false };
    StageRelease { owner: addr.to_string(), free: Some(free) }
}
