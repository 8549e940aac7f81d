//! One caller's stream over all engines that run it.

mod forward;

use base::Ms;
use hyper::Response;
use hyper::body::Incoming;
use logs::note;
use sched::health::Outcome;
use std::sync::Arc;

use crate::body::{ResponseBody, full_body};
use crate::choose::{Want, choose, source};
use crate::core::Core;
use crate::events::EventStream;
use crate::gate::BlockReason;
use crate::host::App;
use crate::links::Link;
use crate::plain::{headers, report_crash};
use crate::refusal::{Reason, give_up};
use crate::request::Call;
use crate::results::Results;
use crate::send::{Answered, Lease, SendFault, send};
use crate::stages;

/// Engines that are asked at most for one caller's attempt, those that did not run it included.
const SENDS: usize = 4;
/// Silence after which a stream that may be resumed goes on at another engine, ms. Pauses of sound
/// engines stay under the 400 to 500 ms for which a stream is on time; three of these are none.
const SILENCE: Ms = Ms(1_500);
/// The same before its first event, beside the time to read the prompt: the engine may have to
/// read long prompts of others first.
const FIRST_SILENCE: Ms = Ms(2_500);
/// Prompts that an engine reads for at least this long are told to other hosts, ms: a shorter one
/// in the way is hardly noticed.
const TOLD: Ms = Ms(20);
/// Largest refusal or error of a target that is read, bytes.
const ERROR_BYTES: usize = 1 << 20;

/// What came of the first send.
pub(crate) enum Started {
    /// An engine streams.
    Streams(hyper::http::response::Parts),
    /// An engine answered otherwise.
    Answer(Box<Response<ResponseBody>>),
    /// No engine's answer.
    Refused(Reason),
}

/// An engine's stream.
struct Open {
    link: Arc<Link>,
    lease: Lease,
    body: Incoming,
    since: Ms,
    first: bool,
    /// Whether the engine had nothing else to read, as far as this host knows.
    alone: bool,
}

/// One caller's stream over all engines that run it.
pub(crate) struct Relay {
    app: Arc<App>,
    core: Arc<Core>,
    call: Call,
    results: Results,
    /// Lives of engines that have read the prompt's subject, the newest first.
    readers: Vec<String>,
    redone: bool,
    /// When the stages were done.
    staged: Ms,
    /// When the caller got its first event.
    first: Option<Ms>,
    tried: Vec<Arc<Link>>,
    /// Engines that it was sent to, whatever came of it.
    sends: u32,
    runs: u32,
    events: EventStream,
    open: Option<Open>,
}

impl Relay {
    /// Nothing sent yet.
    pub(crate) fn new(app: Arc<App>, call: Call, results: Results, readers: Vec<String>) -> Self {
        let core = app.core.clone();
        Self {
            staged: core.clock.now(),
            first: None,
            redone: false,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            events: EventStream::new(call.head.last_event),
            open: None,
            app,
            core,
            call,
            results,
            readers,
        }
    }

    /// The caller's answer when no engine streams.
    pub(crate) fn refuse(&self, reason: Reason) -> Response<ResponseBody> {
        give_up(&self.core, &self.call, reason, self.tried.len(), self.runs)
    }

    /// Finds an engine that runs it.
    pub(crate) async fn start(&mut self) -> Started {
        loop {
            let now = self.core.clock.now();
            let left = self.call.left(now);
            if left == Ms::ZERO {
                let reason = if self.runs > 0 { Reason::Timeout } else { Reason::NoTime };
                return Started::Refused(reason);
            }
            match self.send(left).await {
                Sent::Streams(parts) => {
                    self.results.free();
                    return Started::Streams(*parts);
                }
                Sent::Answer(response) => return Started::Answer(response),
                Sent::NotRun => {}
                Sent::Gone if self.redone => {
                    return Started::Refused(Reason::Stages(stages::longest_call(&self.call)));
                }
                Sent::Gone => {
                    if let Err(reason) = self.redo_stages().await {
                        return Started::Refused(reason);
                    }
                }
                Sent::Lost if self.may_resume() => {}
                Sent::Lost => {
                    let left = self.call.left(self.core.clock.now());
                    let timeout = left == Ms::ZERO;
                    let reason = if timeout { Reason::Timeout } else { Reason::Failed };
                    return Started::Refused(reason);
                }
                Sent::Barred(barrier) => {
                    let reason = if self.runs > 0 { Reason::Failed } else { barrier.into() };
                    return Started::Refused(reason);
                }
            }
        }
    }

    /// Does the stages again, once: what they made is gone.
    async fn redo_stages(&mut self) -> Result<(), Reason> {
        self.redone = true;
        self.results = stages::run(&self.app, &self.call).await?;
        Ok(())
    }

    fn may_resume(&self) -> bool {
        self.call.route.repeat.is_idempotent() && self.runs < self.call.route.attempts
    }

    /// Tokens of an engine's memory.
    fn memory(&self) -> u64 {
        let service = self.call.catalog.service(&self.call.service);
        service.and_then(|s| s.engine.as_ref()).map_or(0, |e| e.tokens)
    }

    /// Time to copy what the prompt shares with others from another engine, ms.
    fn copy_time(&self) -> Ms {
        let service = self.call.catalog.service(&self.call.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let copy = engine.map_or(0.0, |e| e.copy_ms * self.call.head.shared_tokens() as f64 / 1e3);
        Ms(copy as u64)
    }

    /// One send to the best engine that wasn't tried.
    async fn send(&mut self, left: Ms) -> Sent {
        let now = self.core.clock.now();
        let first = self.sends == 0;
        if self.tried.len() >= SENDS
            || (!first && !self.core.budget().take(now, &self.call.service))
        {
            return Sent::Barred(BlockReason::NoTarget);
        }
        let subject = self.call.head.subject();
        let home = self.results.home().unwrap_or(&self.core.settings().domain).clone();
        let (copy, readers) = (self.copy_time(), self.readers.as_slice());
        let want = Want::Engine { subject, copy, readers, home: &home };
        let link = match choose(&self.core, &self.call, want, &self.tried) {
            Ok(link) => link,
            Err(barrier) => return Sent::Barred(barrier),
        };
        self.tried.push(link.clone());
        let tokens = self.call.head.own_tokens();
        let reading = self.core.estimate().first_event(&self.call.service, tokens);
        let time = self.core.estimate().reading(&self.call.service, tokens);
        let alone = link.backlog().wait(now) == Ms::ZERO;
        link.backlog().sent(now, time);
        if time >= TOLD {
            self.core.members.queue_prompt(&link.entry.domain, &link.life(), time);
        }
        let wait = match self.call.route.repeat.is_idempotent() {
            true if self.runs + 1 < self.call.route.attempts => left.min(FIRST_SILENCE + reading),
            _ => left,
        };
        let (core, call) = (&self.core, &self.call);
        let (inputs, last) = (self.results.handles(), self.events.last());
        let fetch = source(core, call, subject, &self.readers, &link).map(|l| l.entry.addr);
        let build = || {
            self.results.free_soon();
            call.target_request(headers(core, call, &link, inputs, last, fetch))
        };
        let result = send(core, &link, &call.head.id, wait, build).await;
        self.sends += u32::from(!matches!(result, Err(SendFault::Barred(_))));
        match result {
            Ok(answered) => self.answered(link, now, alone, answered).await,
            Err(fault) => {
                self.lost(&link, fault);
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

    async fn answered(
        &mut self,
        link: Arc<Link>,
        since: Ms,
        alone: bool,
        answered: Answered,
    ) -> Sent {
        let Answered { head, parts, body, lease } = answered;
        let now = self.core.clock.now();
        if head.inputs_gone {
            note!(logs::Event::InputsGone, request = %self.call.head.id, target = link.name());
            if self.tried.len() == 1 {
                self.results.read_late();
            }
            self.results.free();
            // The engine is sound: it may be asked again.
            self.tried.pop();
            lease.close();
            return Sent::Gone;
        }
        if head.not_run {
            let outcome = if head.moved { Outcome::NoConnection } else { Outcome::Full };
            link.record(now, outcome);
            self.core.metrics.sent(&self.call.route.name, "not_run");
            return Sent::NotRun;
        }
        self.runs += 1;
        if parts.status.is_success() && head.signed && !head.encoded {
            self.open = Some(Open { link, lease, body, since, first: true, alone });
            return Sent::Streams(Box::new(parts));
        }
        if parts.status.is_success() {
            self.lost(&link, SendFault::Mismatch);
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

    fn lost(&self, link: &Link, fault: SendFault) {
        note!(
            logs::Event::AttemptFailed,
            request = %self.call.head.id,
            target = link.name(),
            fault = fault.name(),
            last_event = self.events.last(),
            left_ms = self.call.left(self.core.clock.now()).0
        );
        self.core.metrics.sent(&self.call.route.name, fault.name());
        if fault == SendFault::Broken {
            report_crash(&self.core, &self.call, link);
        }
    }
}

/// What came of one send.
enum Sent {
    Streams(Box<hyper::http::response::Parts>),
    Answer(Box<Response<ResponseBody>>),
    NotRun,
    /// Not run: its inputs are gone.
    Gone,
    Lost,
    /// No engine may get it.
    Barred(BlockReason),
}

impl Drop for Relay {
    /// A caller that leaves in the middle of its stream takes the relay with it.
    fn drop(&mut self) {
        let Some(open) = self.open.as_ref().filter(|_| self.first.is_some()) else { return };
        let now = self.core.clock.now();
        note!(
            logs::Event::StreamLeft,
            request = %self.call.head.id,
            route = %self.call.route.name,
            target = open.link.name(),
            first_ms = self.first.map(|at| (at - self.call.arrived).0),
            took_ms = (now - self.call.arrived).0,
            left_ms = self.call.left(now).0
        );
    }
}
