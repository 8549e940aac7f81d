//! How long the engine that runs a stream has been silent.

use base::Ms;
use tokio::sync::watch;

use super::Relay;
use super::attempt::Progress;
use crate::core::Core;

/// Silence within a stream after which another engine is asked to go on. Pauses of healthy engines
/// stay under the 400 to 500 ms for which a stream counts as on time; three times that is no pause.
/// A sound engine may be silent for longer, so it is kept until another one has taken over.
const STREAM_TIMEOUT: Ms = Ms(1_500);
/// The same before the answer begins, in addition to the time to read the prompt: the engine may
/// have to read long prompts of other requests first.
const FIRST_EVENT_TIMEOUT: Ms = Ms(2_500);
/// Time for which a request has been written to an engine that has not rejected it, after which it
/// is taken to be queued there. An engine that is full rejects at once; a round trip between regions
/// takes some tens of ms. Engines must not work on the same stream for longer than that.
const ACCEPT_TIME: Ms = Ms(300);

/// The silence of an engine. Time for which this host did not run extends its first limit, at most
/// to twice the limit.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    since: Ms,
    lost: Ms,
    /// When it was last found too long; none before.
    noticed: Option<Ms>,
}

impl Silence {
    /// Begins at a sign of life.
    pub(super) fn begin(core: &Core) -> Self {
        Self { since: core.clock.now(), lost: core.pauses.lost(), noticed: None }
    }

    /// How long it has lasted, with the time for which this host did not run.
    pub(super) fn length(&self, now: Ms) -> Ms {
        now - self.since
    }

    /// Whether it was found too long.
    pub(super) fn is_noticed(&self) -> bool {
        self.noticed.is_some()
    }

    /// Records that it was found too long.
    pub(super) fn notice(&mut self, now: Ms) {
        self.noticed = Some(now);
    }

    /// When it is too long, or has lasted as long again since that was found.
    fn end(&self, core: &Core, limit: Ms) -> Ms {
        match self.noticed {
            Some(at) => at + limit,
            None => self.since + limit + (core.pauses.lost() - self.lost).min(limit),
        }
    }
}

impl Relay {
    /// When the engine that runs the stream has been silent for too long; none if no other engine
    /// may run it.
    pub(super) fn silence_end(&self) -> Option<Ms> {
        if self.successor.is_some() || !self.may_take_over() {
            return None;
        }
        let limit = match &self.open {
            Some(_) => STREAM_TIMEOUT,
            None => {
                let tokens = self.call.head.own_tokens();
                FIRST_EVENT_TIMEOUT + self.core.estimate().first_event(&self.call.service, tokens)
            }
        };
        Some(self.silence.end(&self.core, limit))
    }
}

/// Completes when the engine of an attempt is taken to have accepted the request.
pub(super) async fn accepted(core: &Core, progress: Option<watch::Receiver<Progress>>) {
    let Some(mut progress) = progress else { return std::future::pending().await };
    let written = progress.wait_for(|p| p.written.is_some()).await.ok().and_then(|p| p.written);
    // Without it the attempt has ended, which is an event of its own.
    let Some(written) = written else { return std::future::pending().await };
    let lost = core.pauses.lost();
    let left = written + ACCEPT_TIME - core.clock.now();
    tokio::time::sleep(left.duration()).await;
    // A rejection may have arrived while this host did not run.
    let paused = (core.pauses.lost() - lost).min(ACCEPT_TIME);
    tokio::time::sleep(paused.duration()).await;
}
