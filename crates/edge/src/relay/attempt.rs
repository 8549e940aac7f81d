//! Sends a stream's request to one engine, and learns from how it answers.

use base::Ms;
use hyper::Response;
use logs::note;
use sched::health::Outcome;
use std::sync::Arc;

use super::{OpenStream, Relay};
use crate::body::{ResponseBody, full_body, is_framed};
use crate::choose::{Selection, choose, copy_source};
use crate::gate::BlockReason;
use crate::links::Link;
use crate::plain::{headers, report_crash};
use crate::send::{Answered, IfClosed, SendFault, Via, Wait, send};
use crate::{diagnose, restart};

/// Most engines that a request is sent to, including those that did not run it.
const MAX_ENGINES: usize = 4;
/// Silence before the first event after which a stream that may be resumed moves to another engine,
/// in addition to the time to read the prompt: the engine may have to read long prompts of other
/// requests first.
const FIRST_EVENT_TIMEOUT: Ms = Ms(2_500);
/// Prompts that an engine reads for at least this long are reported to other hosts. A shorter one
/// ahead of another prompt is hardly noticed.
const REPORTED_READ_TIME: Ms = Ms(20);
/// Largest refusal or error of a target that is read, bytes.
const ERROR_BYTES: usize = 1 << 20;

/// Result of one send.
pub(super) enum Sent {
    /// The engine streams.
    Streams(Box<hyper::http::response::Parts>),
    /// The engine answered without a stream.
    Answer(Box<Response<ResponseBody>>),
    /// The engine did not run it.
    NotRun,
    /// The engine did not run it because its inputs are gone.
    InputsGone,
    /// It failed, and the engine may have run it.
    Lost,
    /// No engine may get it.
    Blocked(BlockReason),
}

impl Relay {
    /// Sends the request once, to the best engine that was not tried yet.
    pub(super) async fn send(&mut self, left: Ms) -> Sent {
        if self.core.poison_part(&self.call.head).is_some() {
            return Sent::Blocked(BlockReason::PoisonPart);
        }
        let now = self.core.clock.now();
        let first = self.sends == 0;
        if self.tried.len() >= MAX_ENGINES {
            return Sent::Blocked(BlockReason::NoTarget);
        }
        if !first && !self.core.take_retry(&self.call.service) {
            return Sent::Blocked(BlockReason::RetryBudget);
        }
        let prompt = self.prompt();
        let home = self.results.home().unwrap_or(&self.core.settings().domain).clone();
        let (readers, build) = (self.readers.as_slice(), self.build.as_ref());
        let selection = Selection::Engine { prompt: &prompt, readers, home: &home, build };
        let link = match choose(&self.core, &self.call, selection, &self.tried) {
            Ok(link) => link,
            Err(block_reason) => return Sent::Blocked(block_reason),
        };
        self.tried.push(link.clone());
        // Also for a stream that can't be resumed: its connection may carry one that can.
        if !restart::is_same(&self.core, &link, &self.call.residency).await {
            diagnose::target_gone(&self.core, &link);
            return Sent::NotRun;
        }
        let tokens = self.call.head.own_tokens();
        let reading = self.core.estimate().first_event(&self.call.service, tokens);
        let time = self.core.estimate().prefill(&self.call.service, tokens);
        let was_idle = link.backlog().wait(now) == Ms::ZERO;
        link.backlog().sent(now, time);
        if time >= REPORTED_READ_TIME {
            self.core.members.queue_prompt(&link.entry.domain, &link.incarnation(), time);
        }
        let wait = match self.call.route.retry_safety.is_idempotent() {
            true if self.runs + 1 < self.call.route.attempts => {
                left.min(FIRST_EVENT_TIMEOUT + reading)
            }
            _ => left,
        };
        let (core, call) = (&self.core, &self.call);
        let (inputs, last) = (self.results.handles(), self.events.last());
        let source = copy_source(core, call, prompt.subject, &self.readers, &link);
        let fetch = source.map(|l| l.entry.addr);
        let build = || {
            self.results.free_after_read();
            call.target_request(headers(core, call, &link, inputs, last, fetch))
        };
        let wait = Wait::Running { within: wait, most: left };
        let sent = send(
            core,
            &link,
            &call.residency,
            &call.head.id,
            wait,
            Via::Pool(IfClosed::Fail),
            build,
        );
        let result = tokio::select! {
            // First: nothing may be written once the part is known.
            biased;
            () = core.poisoned(&call.head) => None,
            result = sent => Some(result),
        };
        let Some(result) = result else {
            // The engine may have begun to read it.
            self.runs += 1;
            return Sent::Blocked(BlockReason::PoisonPart);
        };
        self.sends += u32::from(!matches!(result, Err(SendFault::Blocked(_))));
        match result {
            Ok(answered) => self.handle_answer(link, now, was_idle, answered).await,
            Err(fault) => {
                self.record_failure(&link, fault, now, None);
                match fault.unsent() {
                    true => Sent::NotRun,
                    false => {
                        self.runs += 1;
                        Sent::Lost
                    }
                }
            }
        }
    }

    async fn handle_answer(
        &mut self,
        link: Arc<Link>,
        sent_at: Ms,
        was_idle: bool,
        answered: Answered,
    ) -> Sent {
        let Answered { head, parts, body, lease } = answered;
        let now = self.core.clock.now();
        if head.inputs_gone {
            note!(logs::Event::InputsGone, request = %self.call.head.id, target = link.name());
            if self.tried.len() == 1 {
                self.results.inputs_read_late();
            }
            self.results.free();
            // The engine itself is healthy: it may be tried again.
            self.tried.pop();
            lease.close();
            return Sent::InputsGone;
        }
        if head.not_run {
            let outcome = if head.moved { Outcome::NoConnection } else { Outcome::Full };
            link.record(now, outcome);
            self.core.metrics.sent(&self.call.route.name, "not_run");
            return Sent::NotRun;
        }
        self.runs += 1;
        link.answered(now);
        if parts.status.is_success() && head.signed && !head.encoded {
            self.open = Some(OpenStream {
                link,
                lease,
                body,
                sent_at,
                begun: now,
                awaits_first: true,
                framed: is_framed(&parts.headers),
                sound: false,
                was_idle,
            });
            return Sent::Streams(Box::new(parts));
        }
        if parts.status.is_success() {
            self.record_failure(&link, SendFault::Mismatch, sent_at, None);
            return Sent::Lost;
        }
        link.record(now, Outcome::Failed);
        self.core.metrics.sent(&self.call.route.name, "failed");
        if self.may_resume() {
            return Sent::Lost;
        }
        let left = self.call.left(now);
        let read = tokio::time::timeout(left.duration(), link::read(body, ERROR_BYTES));
        let Ok(Ok(body)) = read.await else { return Sent::Lost };
        lease.close();
        let mut response = Response::new(full_body(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.core.dialect.response_headers(&parts.headers);
        Sent::Answer(Box::new(response))
    }

    /// Logs and counts a failed send, or a stream that broke, sent at `sent`. `answering` is the time since the
    /// engine began to answer; none if it had not.
    pub(super) fn record_failure(
        &self,
        link: &Link,
        fault: SendFault,
        sent: Ms,
        answering: Option<Ms>,
    ) {
        note!(
            logs::Event::AttemptFailed,
            request = %self.call.head.id,
            target = link.name(),
            fault = fault.name(),
            last_event = self.events.last(),
            parts = self.call.head.shared_ids(),
            answering_ms = answering.map(|time| time.0),
            left_ms = self.call.left(self.core.clock.now()).0
        );
        self.core.metrics.sent(&self.call.route.name, fault.name());
        match fault {
            SendFault::Broken => {
                report_crash(&self.core, &self.call, link);
                diagnose::engine_ended(&self.core, &self.call, link, sent, answering);
            }
            SendFault::NoConnection => diagnose::target_gone(&self.core, link),
            SendFault::Blocked(_)
            | SendFault::Unproved
            | SendFault::Silent
            | SendFault::Mismatch => {}
        }
    }
}
