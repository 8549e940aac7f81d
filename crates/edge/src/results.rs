//! Results of a request's stages, given up when nobody reads them any more.
//!
//! A stage target holds a handful of large results. One that is left to its time to live takes the
//! place of a new one for seconds, and calls fail for want of room.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::{DomainId, Ms, PoolId};
use wire::{PieceResult, StageFree, StageRelease};

use crate::core::Core;
use crate::host::App;
use crate::members::Owner;

/// Time in which an engine reads its inputs, ms: the way there, and there and back to a target in
/// another region, and the bytes.
const READ_TIME: Ms = Ms(100);
/// See [`Results::free_soon`], ms.
const CAUTION: Ms = Ms::secs(10);

/// Results of one stage.
#[derive(Clone, Debug)]
pub(crate) struct StageOutput {
    /// The service that made them.
    pub(crate) service: PoolId,
    /// Who composed the calls.
    pub(crate) owner: Owner,
    /// In the order of the pieces.
    pub(crate) results: Vec<PieceResult>,
}

/// What a request holds at stage targets. Dropped, it is given up.
pub(crate) struct Results {
    app: Arc<App>,
    handles: Vec<String>,
    home: Option<DomainId>,
    held: Mutex<Vec<StageOutput>>,
}

impl Results {
    /// Nothing yet.
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

    /// Sets the failure domain in which most of what the engine reads lies.
    pub(crate) fn set_home(&mut self, home: Option<DomainId>) {
        self.home = home;
    }

    /// The failure domain in which most of what the engine reads lies; none where that is little.
    pub(crate) fn home(&self) -> Option<&DomainId> {
        self.home.as_ref()
    }

    /// Handles that the engine gets.
    pub(crate) fn handles(&self) -> &[String] {
        &self.handles
    }

    /// Gives everything up a little later, when the engine that was just sent the handles has read
    /// the results.
    ///
    /// An engine reads its inputs before the prompt, and answers only with its first token. Kept
    /// until then, results of a burst of long prompts fill the stage targets, and calls shrink to
    /// half: the stage loses a third of what it can do. Where an engine turns out to read later, it
    /// says that its inputs are gone; the stages are done again, and for [`CAUTION`] results are
    /// kept until the answer begins.
    pub(crate) fn free_soon(&self) {
        let core = &self.app.core;
        if core.clock.now() < core.cautious_until() {
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

    /// The first engine that got the handles says that its inputs are gone: engines read later
    /// than expected.
    pub(crate) fn read_late(&self) {
        let core = &self.app.core;
        core.be_cautious(core.clock.now() + CAUTION);
    }

    /// Whether the handles are of no use to another engine any more.
    pub(crate) fn given_up(&self) -> bool {
        !self.handles.is_empty() && lock(&self.held).is_empty()
    }

    /// Gives up everything that is held.
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

/// Gives up one stage's results.
pub(crate) fn free(app: &Arc<App>, output: StageOutput) {
    let StageOutput { service, owner, results } = output;
    let free = StageFree { service: service.as_str().to_owned(), results, spare: false };
    match owner {
        Owner::Me => app.composer.free(free),
        Owner::Peer { addr, .. } => {
            let core = app.core.clone();
            tokio::spawn(async move { tell(&core, addr, free).await });
        }
    }
}

/// Tells the host that composed the calls. Not heard, the results go when their time to live is
/// over.
pub(crate) async fn tell(core: &Core, addr: SocketAddr, free: StageFree) {
    if let Err(err) = core.members.peers().free(addr, free).await {
        logs::note!(logs::Event::PeerFailed, host = %addr, call = "free", why = %err);
    }
}

/// One stage's results, for whoever reads them last to give up.
pub(crate) fn release(core: &Core, output: StageOutput) -> StageRelease {
    let StageOutput { service, owner, results } = output;
    let addr = match owner {
        Owner::Me => core.settings().peer,
        Owner::Peer { addr, .. } => addr,
    };
    let free = StageFree { service: service.as_str().to_owned(), results, spare: false };
    StageRelease { owner: addr.to_string(), free: Some(free) }
}
