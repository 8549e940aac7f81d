//! Results of a request's stages, given up when nobody reads them any more.
//!
//! A stage target holds a handful of large results. One that is left to its time to live takes the
//! place of a new one for seconds, and calls fail for want of room.

use std::sync::Arc;

use base::PoolId;
use wire::{PieceResult, StageFree};

use crate::host::App;
use crate::members::Owner;

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
    held: Vec<StageOutput>,
}

impl Results {
    /// Nothing yet.
    pub(crate) fn new(app: Arc<App>) -> Self {
        Self { app, handles: Vec::new(), held: Vec::new() }
    }

    /// Holds the results of a stage.
    pub(crate) fn hold(&mut self, output: StageOutput) {
        self.held.push(output);
    }

    /// Sets the handles that the engine gets.
    pub(crate) fn set_handles(&mut self, handles: Vec<String>) {
        self.handles = handles;
    }

    /// Handles that the engine gets.
    pub(crate) fn handles(&self) -> &[String] {
        &self.handles
    }

    /// Gives up everything that is held.
    pub(crate) fn free(&mut self) {
        for output in self.held.drain(..) {
            free(&self.app, output);
        }
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        self.free();
    }
}

/// Gives up one stage's results.
pub(crate) fn free(app: &Arc<App>, output: StageOutput) {
    let StageOutput { service, owner, results } = output;
    let free = StageFree { service: service.as_str().to_owned(), results };
    match owner {
        Owner::Me => app.composer.free(free),
        Owner::Peer { host, addr } => {
            let app = app.clone();
            tokio::spawn(async move {
                // Not heard, the results go when their time to live is over.
                let freed = app.core.members.peers().free(addr, free).await;
                if let Err(err) = freed {
                    logs::note!(logs::Event::PeerFailed, host = %host, call = "free", why = %err);
                }
            });
        }
    }
}
