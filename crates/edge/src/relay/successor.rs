//! The engine that may take a stream over from a silent one.

use base::Ms;
use logs::note;

use super::Relay;
use super::silence::Silence;
use crate::links::Link;
use crate::send::SendFault;

impl Relay {
    /// Lets the successor run the stream, if there is one.
    pub(super) fn promote(&mut self) -> bool {
        self.pending = self.successor.take();
        self.silence = Silence::begin(&self.core);
        self.pending.is_some()
    }

    /// Gives up the silent engine for its successor, which has accepted the request.
    pub(super) fn hand_over(&mut self) {
        self.give_up_open(SendFault::Silent);
        self.give_up_pending();
        self.promote();
    }

    /// Looks for an engine that may take over, if the one that runs the stream is silent for too long.
    pub(super) fn seek_successor(&mut self) {
        let now = self.core.clock.now();
        if self.silence_end().is_none_or(|end| now < end) {
            return;
        }
        if !self.silence.is_noticed() {
            self.note_silence(now);
        }
        self.silence.notice(now);
        self.begin_successor();
    }

    pub(super) fn begin_successor(&mut self) {
        let rerun = self.inputs_gone || self.results.released();
        self.successor = Some(self.attempt(rerun));
    }

    /// Drops the successor: the engine before it goes on.
    pub(super) fn withdraw_successor(&mut self) {
        let Some(attempt) = self.successor.take() else { return };
        let progress = attempt.progress();
        self.count(&progress);
        match (progress.written, progress.link) {
            (Some(written), Some(link)) => self.note_dropped(&link, written),
            // The stages have not been run again for anybody.
            _ if attempt.rerun => self.stages_rerun = false,
            _ => {}
        }
    }

    fn note_dropped(&self, link: &Link, written: Ms) {
        note!(
            logs::Event::AttemptDropped,
            request = %self.call.head.id,
            route = %self.call.route.name,
            target = link.name(),
            open_ms = (self.core.clock.now() - written).0
        );
        self.core.metrics.sent(&self.call.route.name, "dropped");
    }

    fn note_silence(&self, now: Ms) {
        let link = self.open.as_ref().map(|open| open.link.clone());
        let link = link.or_else(|| self.pending.as_ref()?.progress().link);
        note!(
            logs::Event::EngineSilent,
            request = %self.call.head.id,
            target = link.as_ref().map(|link| link.name()),
            begun = self.open.is_some(),
            last_event = self.events.last(),
            silent_ms = self.silence.length(now).0,
            left_ms = self.call.left(now).0
        );
    }
}
