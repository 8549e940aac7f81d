//! Relays a stream to its caller, across all engines that run the request in turn.
//!
//! A sound engine may be silent for a second or so and go on. So a silent engine is kept until
//! another one, its successor, has begun to answer, or has had the request for
//! `silence::ACCEPT_TIME` without rejecting it. If no other engine may go on, or all reject the
//! request, the stream stays at its engine until the deadline.

mod attempt;
mod forward;
mod outcome;
mod silence;
mod successor;
mod wait;

use base::{BuildId, Ms};
use hyper::Response;
use hyper::body::Incoming;
use logs::note;
use sched::budget::Spender;
use std::sync::Arc;

use self::attempt::{Attempt, AttemptFault, MAX_ENGINES};
use self::silence::Silence;
use self::wait::Event;
use crate::body::ResponseBody;
use crate::core::Core;
use crate::diagnose::Going;
use crate::events::EventStream;
use crate::gate::BlockReason;
use crate::host::App;
use crate::links::Link;
use crate::refusal::{Reason, give_up};
use crate::request::Call;
use crate::results::Results;
use crate::send::Lease;
use crate::unread::Retries;

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
    /// For how long the engine is known to have lived since, by what it has written.
    lived: Ms,
    /// Tells others that it goes on, once it has done so for some time.
    going: Option<Going>,
    /// Whether it is known that the request does not end the engine.
    sound: bool,
    /// Whether the engine had no other prompt to read, as far as this host knows.
    was_idle: bool,
}

/// A caller's stream, across all engines that run it in turn.
pub(crate) struct Relay {
    app: Arc<App>,
    core: Arc<Core>,
    call: Arc<Call>,
    results: Arc<Results>,
    /// Incarnations of engines that have read the prompt's subject, the newest first.
    readers: Arc<[String]>,
    /// Whether the stages were run a second time.
    stages_rerun: bool,
    /// Whether an engine has found that the results of the stages are gone.
    inputs_gone: bool,
    /// When the stages were done.
    stages_done: Ms,
    /// The software version of its engines; none before the caller has the first event.
    build: Option<BuildId>,
    /// When the caller got its first event.
    first_event: Option<Ms>,
    /// Whether an engine has begun to answer.
    begun: bool,
    /// Engines that were selected so far.
    tried: Vec<Arc<Link>>,
    retries: Arc<Retries>,
    /// Number of sends that have ended, whatever their outcome.
    sends: u32,
    /// Number of sends that an engine may have run: those that have ended, and that of `open`.
    runs: u32,
    events: EventStream,
    /// The engine that streams; none if `pending` runs the stream, or nobody.
    open: Option<OpenStream>,
    /// An attempt whose answer has not begun.
    pending: Option<Attempt>,
    /// An attempt at the engine that may go on while `open` or `pending` is silent.
    successor: Option<Attempt>,
    silence: Silence,
    /// Whether the caller was sent comments last, which are no sign of life.
    passed_comments: bool,
    /// What kept another engine from going on last.
    obstacle: Option<AttemptFault>,
}

/// What happened next to a stream.
enum Step {
    /// An engine has begun to stream.
    Began(Box<hyper::http::response::Parts>),
    /// Bytes of the stream, or its end.
    Frame(Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>),
    /// An engine answered without a stream.
    Answer(Box<Response<ResponseBody>>),
    /// No engine runs it, and none may.
    GivenUp(Reason),
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
            begun: false,
            stages_rerun: false,
            inputs_gone: false,
            tried: Vec::new(),
            retries: Retries::new(&core, &call.service, Spender::Requests),
            sends: 0,
            runs: 0,
            events: EventStream::new(call.head.last_event),
            open: None,
            pending: None,
            successor: None,
            silence: Silence::default(),
            passed_comments: false,
            obstacle: None,
            app,
            core,
            call: Arc::new(call),
            results: Arc::new(results),
            readers: readers.into(),
        }
    }

    /// The caller's answer when no engine streams.
    pub(crate) fn refuse(&self, reason: Reason) -> Response<ResponseBody> {
        give_up(&self.core, &self.call, reason, self.tried.len(), self.runs)
    }

    /// Sends the request to engines until one streams or answers.
    pub(crate) async fn start(&mut self) -> Started {
        loop {
            match self.step().await {
                Step::Began(parts) => return Started::Streams(*parts),
                Step::Answer(response) => return Started::Answer(response),
                Step::GivenUp(reason) => return Started::Refused(reason),
                // Only an engine that has begun sends frames.
                Step::Frame(_) => {}
            }
        }
    }

    /// Waits until something happens that matters to the caller.
    async fn step(&mut self) -> Step {
        loop {
            let now = self.core.clock.now();
            if self.open.is_none()
                && self.pending.is_none()
                && let Err(reason) = self.begin(now)
            {
                return Step::GivenUp(reason);
            }
            match self.event(now).await {
                Event::Frame(frame) => return Step::Frame(frame),
                Event::Ended(ended) => {
                    if let Some(step) = self.attempt_ended(ended).await {
                        return step;
                    }
                }
                Event::SuccessorEnded(ended) => {
                    if let Some(step) = self.successor_ended(ended).await {
                        return step;
                    }
                }
                Event::Poisoned(blocked) => {
                    if let Some(step) = self.poisoned(blocked) {
                        return step;
                    }
                }
                Event::Accepted => self.hand_over(),
                Event::Timer if self.call.left(self.core.clock.now()) == Ms::ZERO => {
                    return Step::GivenUp(self.time_out());
                }
                Event::Timer => self.seek_successor(),
            }
        }
    }

    /// Begins an attempt while nobody runs the stream.
    fn begin(&mut self, now: Ms) -> Result<(), Reason> {
        if self.call.left(now) == Ms::ZERO {
            return Err(self.time_out());
        }
        let rerun = self.inputs_gone || (self.begun && self.results.released());
        if rerun && self.stages_rerun {
            let reason = self.stages_failed();
            self.obstacle = Some(AttemptFault::Stages(reason));
            return Err(reason);
        }
        self.pending = Some(self.attempt(rerun));
        self.silence = Silence::begin(&self.core);
        Ok(())
    }

    fn attempt(&mut self, rerun: bool) -> Attempt {
        self.stages_rerun |= rerun;
        self.inputs_gone = false;
        Attempt::begin(self, rerun)
    }

    /// Number of tokens that an engine keeps of the prompts it has read.
    fn engine_capacity(&self) -> u64 {
        let service = self.call.catalog.service(&self.call.service);
        service.and_then(|s| s.engine.as_ref()).map_or(0, |e| e.tokens)
    }

    /// Whether this is a retry: the request was, or is being, sent to an engine.
    fn is_retry(&self) -> bool {
        self.sends > 0 || self.open.is_some() || self.pending.is_some()
    }

    /// The engines that were selected so far, and the one that is being waited for.
    fn selected(&self) -> Vec<Arc<Link>> {
        let waiting = self.pending.as_ref().and_then(|attempt| attempt.progress().link);
        self.tried.iter().cloned().chain(waiting).collect()
    }

    /// Whether the request may be run once more, beside the attempts that are on their way.
    fn may_resume(&self) -> bool {
        self.call.route.retry_safety.is_idempotent() && self.runs < self.call.route.attempts
    }

    /// Whether another engine may take over from the one that is silent.
    fn may_take_over(&self) -> bool {
        let runs = self.runs + u32::from(self.pending.is_some());
        let idempotent = self.call.route.retry_safety.is_idempotent();
        let stages = !self.results.released() || !self.stages_rerun;
        idempotent
            && runs < self.call.route.attempts
            && self.selected().len() < MAX_ENGINES
            && stages
    }
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

/// The reason of a refusal for an obstacle to sending a request.
fn refusal(fault: AttemptFault, runs: u32) -> Reason {
    match fault {
        AttemptFault::Blocked(reason @ (BlockReason::Poison | BlockReason::PoisonPart)) => {
            reason.into()
        }
        // Not a refusal that says that it has not run.
        AttemptFault::Stages(_) | AttemptFault::Blocked(_) if runs > 0 => Reason::Failed,
        AttemptFault::Stages(reason) => reason,
        AttemptFault::Blocked(reason) => reason.into(),
        AttemptFault::OtherIncarnation | AttemptFault::Send(_) => Reason::Failed,
    }
}
