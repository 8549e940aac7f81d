//! Relays a stream to its caller, across all engines that run the request in turn.

mod forward;

use base::{BuildId, Ms};
use hyper::Response;
use hyper::body::Incoming;
use logs::note;
use sched::health::Outcome;
use std::sync::Arc;

use crate::body::{ResponseBody, full_body, is_framed};
use crate::choose::{Selection, choose, copy_source};
use crate::core::Core;
use crate::events::EventStream;
use crate::gate::BlockReason;
use crate::host::App;
use crate::links::Link;
use crate::plain::{headers, report_crash};
use crate::refusal::{Reason, give_up};
use crate::request::Call;
use crate::results::Results;
use crate::send::{Answered, IfClosed, Lease, SendFault, Wait, send};
use crate::{judge, restart, stages};

/// Most engines that a request is sent to, including those that did not run it.
const MAX_ENGINES: usize = 4;
/// Silence after which a stream that may be resumed moves to another engine. Pauses of healthy
/// engines stay under the 400 to 500 ms for which a stream counts as on time; three times that is
/// no pause.
const STREAM_TIMEOUT: Ms = Ms(1_500);
/// The same before the first event, in addition to the time to read the prompt: the engine may have
/// to read long prompts of other requests first.
const FIRST_EVENT_TIMEOUT: Ms = Ms(2_500);
/// Prompts that an engine reads for at least this long are reported to other hosts. A shorter one
/// ahead of another prompt is hardly noticed.
const REPORTED_READ_TIME: Ms = Ms(20);
/// Largest refusal or error of a target that is read, bytes.
const ERROR_BYTES: usize = 1 << 20;

/// Result of starting a stream.
pub(crate) enum Started {
    /// An engine streams.
    Streams(hyper::http::response::Parts),
    /// An engine answered without a stream.
    Answer(Box<Response<ResponseBody>>),
    /// There is no answer of an engine.
    Refused(Reason),
}

/// A stream that an engine is sending.
struct OpenStream {
    link: Arc<Link>,
    lease: Lease,
    body: Incoming,
    sent_at: Ms,
    /// When the engine began to answer.
    begun: Ms,
    /// Whether its first event is still to come.
    awaits_first: bool,
    /// Whether its end shows that it is whole: it has a length or chunks.
    framed: bool,
    /// Whether it is known that the request does not end the engine.
    sound: bool,
    /// Whether the engine had no other prompt to read, as far as this host knows.
    was_idle: bool,
}

/// A caller's stream, across all engines that run it in turn.
pub(crate) struct Relay {
    app: Arc<App>,
    core: Arc<Core>,
    call: Call,
    results: Results,
    /// Incarnations of engines that have read the prompt's subject, the newest first.
    readers: Vec<String>,
    /// Whether the stages were run a second time.
    stages_rerun: bool,
    /// When the stages were done.
    stages_done: Ms,
    /// The software version of its engines; none before the caller has the first event.
    build: Option<BuildId>,
    /// When the caller got its first event.
    first_event: Option<Ms>,
    /// Engines that were selected so far.
    tried: Vec<Arc<Link>>,
    /// Number of sends, whatever their outcome.
    sends: u32,
    /// Number of sends that an engine may have run.
    runs: u32,
    events: EventStream,
    open: Option<OpenStream>,
}

impl Relay {
    /// A relay that has sent nothing yet.
    ///
    /// `build` is the software version at which the stream must go on; none if it begins.
    pub(crate) fn new(
        app: Arc<App>,
        call: Call,
        results: Results,
        readers: Vec<String>,
        build: Option<BuildId>,
    ) -> Self {
        let core = app.core.clone();
        Self {
            stages_done: core.clock.now(),
            build,
            first_event: None,
            stages_rerun: false,
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

    /// Sends the request to engines until one streams or answers.
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
                Sent::InputsGone if self.stages_rerun => {
                    return Started::Refused(Reason::Stages(stages::longest_call(&self.call)));
                }
                Sent::InputsGone => {
                    if let Err(reason) = self.rerun_stages().await {
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
                Sent::Blocked(block_reason) => {
                    let reason = match block_reason {
                        BlockReason::PoisonPart => Reason::PoisonPart,
                        _ if self.runs > 0 => Reason::Failed,
                        _ => block_reason.into(),
                    };
                    return Started::Refused(reason);
                }
            }
        }
    }

    /// Runs the stages again, at most once, because their results are gone.
    async fn rerun_stages(&mut self) -> Result<(), Reason> {
        self.stages_rerun = true;
        self.results = stages::run(&self.app, &self.call).await?;
        Ok(())
    }

    fn may_resume(&self) -> bool {
        self.call.route.retry_safety.is_idempotent() && self.runs < self.call.route.attempts
    }

    /// Number of tokens that an engine keeps of the prompts it has read.
    fn engine_capacity(&self) -> u64 {
        let service = self.call.catalog.service(&self.call.service);
        service.and_then(|s| s.engine.as_ref()).map_or(0, |e| e.tokens)
    }

    /// Time to copy the part that the prompt shares with others from another engine.
    fn copy_time(&self) -> Ms {
        let service = self.call.catalog.service(&self.call.service);
        let engine = service.and_then(|s| s.engine.as_ref());
        let copy = engine.map_or(0.0, |e| e.copy_ms * self.call.head.shared_tokens() as f64 / 1e3);
        Ms(copy as u64)
    }

    /// Sends the request once, to the best engine that was not tried yet.
    async fn send(&mut self, left: Ms) -> Sent {
        if self.core.poison_part(&self.call.head).is_some() {
            return Sent::Blocked(BlockReason::PoisonPart);
        }
        let now = self.core.clock.now();
        let first = self.sends == 0;
        if self.tried.len() >= MAX_ENGINES || (!first && !self.core.take_retry(&self.call.service))
        {
            return Sent::Blocked(BlockReason::NoTarget);
        }
        let subject = self.call.head.subject();
        let home = self.results.home().unwrap_or(&self.core.settings().domain).clone();
        let (copy, readers) = (self.copy_time(), self.readers.as_slice());
        let build = self.build.as_ref();
        let selection = Selection::Engine { subject, copy, readers, home: &home, build };
        let link = match choose(&self.core, &self.call, selection, &self.tried) {
            Ok(link) => link,
            Err(block_reason) => return Sent::Blocked(block_reason),
        };
        self.tried.push(link.clone());
        // Also for a stream that can't be resumed: its connection may carry one that can.
        if !restart::is_same(&self.core, &link, &self.call.residency).await {
            judge::target_gone(&self.core, &link);
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
        let fetch = copy_source(core, call, subject, &self.readers, &link).map(|l| l.entry.addr);
        let build = || {
            self.results.free_after_read();
            call.target_request(headers(core, call, &link, inputs, last, fetch))
        };
        let wait = Wait::Running { within: wait, most: left };
        let sent = send(core, &link, &call.residency, &call.head.id, wait, IfClosed::Fail, build);
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
    fn record_failure(&self, link: &Link, fault: SendFault, sent: Ms, answering: Option<Ms>) {
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
                judge::engine_ended(&self.core, &self.call, link, sent, answering);
            }
            SendFault::NoConnection => judge::target_gone(&self.core, link),
            SendFault::Blocked(_) | SendFault::Silent | SendFault::Mismatch => {}
        }
    }
}

/// Result of one send.
enum Sent {
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

impl Drop for Relay {
    /// Logs that the caller left in the middle of its stream, which drops the relay.
    fn drop(&mut self) {
        let Some(open) = self.open.as_ref().filter(|_| self.first_event.is_some()) else { return };
        let now = self.core.clock.now();
        note!(
            logs::Event::StreamLeft,
            request = %self.call.head.id,
            route = %self.call.route.name,
            target = open.link.name(),
            build = open.link.build(),
            first_ms = self.first_event.map(|at| (at - self.call.arrived).0),
            took_ms = (now - self.call.arrived).0,
            left_ms = self.call.left(now).0
        );
    }
}
