//! What a relay waits for.

use base::Ms;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Frame};

use super::attempt::{Attempt, Ended};
use super::silence::accepted;
use super::{OpenStream, Relay};
use crate::gate::BlockReason;

/// What a relay waits for.
pub(super) enum Event {
    /// Bytes of the stream, or its end.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The attempt has ended.
    Ended(Ended),
    /// The successor's attempt has ended.
    SuccessorEnded(Ended),
    /// The request, or a part of its prompt, is known to end engines.
    Poisoned(BlockReason),
    /// The successor's engine has accepted the request.
    Accepted,
    /// The deadline or the end of a silence.
    Timer,
}

async fn next_frame(open: &mut Option<OpenStream>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match open {
        Some(open) => open.body.frame().await,
        None => std::future::pending().await,
    }
}

async fn next_end(attempt: &mut Option<Attempt>) -> Ended {
    match attempt {
        Some(attempt) => attempt.ended().await,
        None => std::future::pending().await,
    }
}

impl Relay {
    /// Waits for the next event, for the deadline at most.
    pub(super) async fn event(&mut self, now: Ms) -> Event {
        let next = self.silence_end().unwrap_or(Ms::MAX).min(self.call.deadline);
        // Where bytes keep coming, what is ready is always taken before a timer.
        if next <= self.core.clock.now() {
            return Event::Timer;
        }
        let writes = self.pending.is_some() || self.successor.is_some();
        let progress = self.successor.as_ref().map(Attempt::watch);
        let (open, pending, successor) = (&mut self.open, &mut self.pending, &mut self.successor);
        tokio::select! {
            // First: nothing may be written once that is known.
            biased;
            blocked = self.core.poisoned(&self.call.suspects), if writes => Event::Poisoned(blocked),
            frame = next_frame(open) => Event::Frame(frame),
            ended = next_end(pending) => Event::Ended(ended),
            ended = next_end(successor) => Event::SuccessorEnded(ended),
            () = accepted(&self.core, progress) => Event::Accepted,
            () = tokio::time::sleep((next - now).duration()) => Event::Timer,
        }
    }
}
