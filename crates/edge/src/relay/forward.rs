//! Forwards an engine's events to the caller, and resumes the stream at another engine if one
//! fails.

use base::Ms;
use bytes::Bytes;
use logs::note;
use sched::health::Outcome;
use sched::suspects::PROBATION;

use super::silence::Silence;
use super::{OpenStream, Relay, Step};
use crate::body::Truncated;
use crate::core::Core;
use crate::diagnose::Going;
use crate::events::{Parsed, are_comments};
use crate::send::SendFault;
use crate::{diagnose, origin, subjects};

/// Time for which an engine has lived under an answer after which others are told that it goes on.
const GOING_TIME: Ms = Ms::secs(1);

/// A wait for what an engine writes.
struct Waited {
    begun: Ms,
    /// Time for which this host has not run before.
    lost: Ms,
}

impl Waited {
    fn begin(core: &Core) -> Self {
        Self { begun: core.clock.now(), lost: core.pauses.lost() }
    }

    /// How long it took, but for the time for which this host did not run.
    fn time(self, core: &Core) -> Ms {
        core.clock.now() - self.begun - (core.pauses.lost() - self.lost)
    }
}

impl Relay {
    /// The next events; none at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        // Time for which the caller did not read isn't the engine's silence.
        if !std::mem::take(&mut self.passed_comments) {
            self.silence = Silence::begin(&self.core);
        }
        loop {
            let waited = Waited::begin(&self.core);
            let fault = match self.step().await {
                Step::Frame(Some(Ok(frame))) => {
                    self.record_life(waited);
                    let Ok(data) = frame.into_data() else { continue };
                    match self.events.push(data) {
                        // Comments, or the beginning of an event, without end would keep the caller
                        // until its deadline.
                        Parsed::Events(events) if events.is_empty() => continue,
                        Parsed::Events(events) if are_comments(&events) => {
                            self.passed_comments = true;
                            return Some(Ok(events));
                        }
                        Parsed::Events(events) => {
                            self.record_sign_of_life();
                            self.record_first_event();
                            self.record_progress();
                            return Some(Ok(events));
                        }
                        Parsed::Broken => SendFault::Mismatch,
                    }
                }
                Step::Frame(None) if self.is_whole() => {
                    self.withdraw_successor();
                    self.finish();
                    return None;
                }
                Step::Frame(None | Some(Err(_))) => SendFault::Broken,
                Step::Began(_) => {
                    self.note_resumed();
                    continue;
                }
                Step::Answer(_) | Step::GivenUp(_) => return Some(Err(self.cut())),
            };
            self.give_up_open(fault);
            if !self.promote() && !self.may_resume() {
                return Some(Err(self.cut()));
            }
        }
    }

    /// Whether the end of the open stream is that of a whole one. A stream without an event has not
    /// been written, whatever its end looks like.
    fn is_whole(&self) -> bool {
        let ended = self.open.as_ref().is_some_and(|open| open.framed || !open.awaits_first);
        ended && !self.events.is_partial()
    }

    /// Records that the engine that streams has sent something. Its successor is not needed.
    fn record_sign_of_life(&mut self) {
        self.withdraw_successor();
        self.obstacle = None;
        if let Some(open) = self.open.as_ref().filter(|_| self.silence.is_noticed()) {
            note!(
                logs::Event::EngineResponds,
                request = %self.call.head.id,
                target = open.link.name(),
                silent_ms = self.silence.length(self.core.clock.now()).0,
                runs = self.runs
            );
        }
        self.silence = Silence::begin(&self.core);
    }

    /// Records that another engine goes on with the stream.
    fn note_resumed(&self) {
        note!(
            logs::Event::StreamResumed,
            request = %self.call.head.id,
            after = self.events.last(),
            target = self.open.as_ref().map(|open| open.link.name()),
            build = self.open.as_ref().map(|open| open.link.build()),
            began_at = self.build.as_ref().map(base::BuildId::as_str)
        );
        self.core.metrics.stream_went_on("host");
    }

    /// Records that the stream ends before its end.
    fn cut(&mut self) -> Truncated {
        let left = self.call.left(self.core.clock.now());
        let obstacle = match (left, self.obstacle) {
            (Ms::ZERO, _) => "deadline",
            (_, Some(fault)) => fault.name(),
            (_, None) => "attempts",
        };
        note!(
            logs::Event::StreamCut,
            request = %self.call.head.id,
            route = %self.call.route.name,
            obstacle,
            runs = self.runs,
            tried = self.tried.len(),
            last_event = self.events.last(),
            version = self.call.catalog.version,
            in_force = self.core.version(),
            left_ms = left.0
        );
        Truncated
    }

    fn record_first_event(&mut self) {
        let capacity = self.engine_capacity();
        let Some(open) = self.open.as_mut().filter(|o| o.awaits_first) else { return };
        open.awaits_first = false;
        let now = self.core.clock.now();
        let took = now - open.sent_at;
        open.link.record(now, Outcome::Good(took));
        let head = &self.call.head;
        open.link.subjects().record(head.subject(), head.shared_tokens(), capacity);
        subjects::report_reader(&self.core, &self.call, &open.link);
        if open.was_idle {
            let tokens = self.call.head.own_tokens();
            let expected = self.core.estimate().first_event(&self.call.service, tokens);
            open.link.reports.speed().slowness.record(now, took, expected);
            self.core.estimate().record_first(&self.call.service, tokens, took);
        }
        if self.first_event.is_some() {
            // A resumed stream: the caller already has its first event.
            return;
        }
        self.first_event = Some(now);
        let build = open.link.entry.build.clone();
        origin::record(&self.core, &self.call, &build);
        self.build = Some(build);
        self.note_taken_up();
        let route = &self.call.route;
        self.core.metrics.answered(&route.name, now - self.call.arrived, route.latency_goal);
    }

    /// Records that the engine has written something that this host has waited for: it lived that long.
    /// Time for which bytes lay unread, because the caller or this host paused, proves nothing.
    fn record_life(&mut self, waited: Waited) {
        let Some(open) = self.open.as_mut() else { return };
        open.lived += waited.time(&self.core);
        open.lease.lived(open.lived);
    }

    /// Records that the engine lives on under this request, once that is certain.
    fn record_progress(&mut self) {
        let Some(open) = self.open.as_mut().filter(|o| !o.sound) else { return };
        if open.lived >= GOING_TIME && open.going.is_none() {
            open.going = Some(Going::begin(&self.core, &self.call, open.begun));
        }
        if open.lived >= PROBATION {
            open.sound = true;
            diagnose::answer_is_sound(&self.core, &self.call, open.begun);
        }
    }

    /// Records the end of a stream. One with neither a length nor chunks may have been broken off by
    /// the end of its engine, so it proves nothing by itself.
    fn record_end(&self, open: OpenStream) {
        if !open.sound && !open.framed {
            open.lease.close_unframed();
            return;
        }
        if !open.sound {
            diagnose::answer_is_sound(&self.core, &self.call, open.begun);
        }
        diagnose::request_is_sound(&self.core, self.call.suspects.key(), open.sent_at);
        open.lease.close();
    }

    /// Logs and counts that a stream which the caller takes up goes on.
    fn note_taken_up(&self) {
        let head = &self.call.head;
        let Some(open) = self.open.as_ref().filter(|_| head.takes_up()) else { return };
        self.core.metrics.stream_went_on("caller");
        note!(
            logs::Event::StreamTakenUp,
            request = %head.id,
            resumes = head.resumes.as_deref(),
            after = head.last_event,
            target = open.link.name(),
            build = open.link.build()
        );
    }

    /// Records the end of a complete stream.
    fn finish(&mut self) {
        let Some(open) = self.open.take() else { return };
        self.core.metrics.sent(&self.call.route.name, "good");
        let now = self.core.clock.now();
        let late =
            self.first_event.unwrap_or(now) - self.call.arrived - self.call.route.latency_goal;
        if let Some(stands_for) = self.core.sample(late > Ms::ZERO) {
            note!(
                logs::Event::RequestServed,
                request = %self.call.head.id,
                route = %self.call.route.name,
                version = self.call.catalog.version,
                target = open.link.name(),
                build = open.link.build(),
                runs = self.runs,
                first_ms = self.first_event.map(|at| (at - self.call.arrived).0),
                stages_ms = (self.stages_done - self.call.arrived).0,
                took_ms = (now - self.call.arrived).0,
                late_ms = late.0,
                stands_for
            );
        }
        self.record_end(open);
    }
}
