//! One attempt at an engine: selects it, sends the request and waits for the head of its answer.

use base::{BuildId, Ms};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::sync::Arc;
use tokio::sync::watch;

use super::Relay;
use crate::choose::{Selection, choose, copy_source};
use crate::gate::BlockReason;
use crate::host::App;
use crate::links::Link;
use crate::plain::headers;
use crate::refusal::Reason;
use crate::request::Call;
use crate::restart;
use crate::results::Results;
use crate::send::{Answered, IfClosed, SendFault, Sending, Via, Wait, send};
use crate::stages::{self, Turn};
use crate::unread::Retries;
use sched::placement::engines::Prompt;

/// Most engines that a request is sent to, including those that did not run it.
pub(super) const MAX_ENGINES: usize = 4;
/// Prompts that an engine reads for at least this long are reported to other hosts. A shorter one
/// ahead of another prompt is hardly noticed.
const REPORTED_READ_TIME: Ms = Ms(20);

/// An attempt whose answer has not begun. If it is dropped, its connection is closed and its engine
/// stops working on the request.
pub(super) struct Attempt {
    /// Whether the stages are run again for it.
    pub(super) rerun: bool,
    progress: watch::Receiver<Progress>,
    ended: BoxFuture<'static, Ended>,
}

/// How far an attempt is.
#[derive(Clone, Default)]
pub(super) struct Progress {
    /// The engine that was selected.
    pub(super) link: Option<Arc<Link>>,
    /// When the request was written to it.
    pub(super) written: Option<Ms>,
}

/// How an attempt ended.
pub(super) struct Ended {
    pub(super) progress: Progress,
    /// When the engine was selected.
    pub(super) sent_at: Ms,
    /// Whether the engine had no other prompt to read, as far as this host knows.
    pub(super) was_idle: bool,
    /// The results of the stages, if they were run again for this attempt.
    pub(super) results: Option<Arc<Results>>,
    pub(super) result: Result<Answered, AttemptFault>,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptFault {
    /// The stages could not be run again.
    Stages(Reason),
    /// No engine may get the request.
    Blocked(BlockReason),
    /// The engine is another incarnation than the registered one.
    OtherIncarnation,
    /// The send failed.
    Send(SendFault),
}

/// What an attempt needs of its stream.
struct Job {
    app: Arc<App>,
    call: Arc<Call>,
    results: Arc<Results>,
    readers: Arc<[String]>,
    build: Option<BuildId>,
    last_event: Option<u64>,
    tried: Vec<Arc<Link>>,
    retries: Arc<Retries>,
    /// Whether the request was sent before, so that this is a retry.
    retry: bool,
    /// Whether the stages are run again first.
    rerun: bool,
    progress: watch::Sender<Progress>,
}

impl AttemptFault {
    /// Its name in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Stages(_) => "stages",
            Self::Blocked(reason) => reason.name(),
            Self::OtherIncarnation => "other_incarnation",
            Self::Send(fault) => fault.name(),
        }
    }
}

impl Attempt {
    /// Begins an attempt at the best engine that was not tried yet. With `rerun` the stages are run
    /// again first, since their results are gone.
    pub(super) fn begin(relay: &Relay, rerun: bool) -> Self {
        let (progress, reader) = watch::channel(Progress::default());
        let job = Job {
            app: relay.app.clone(),
            call: relay.call.clone(),
            results: relay.results.clone(),
            readers: relay.readers.clone(),
            build: relay.build.clone(),
            last_event: relay.events.last(),
            tried: relay.selected(),
            retries: relay.retries.clone(),
            retry: relay.is_retry(),
            rerun,
            progress,
        };
        Self { rerun, progress: reader, ended: job.run().boxed() }
    }

    /// How far it is.
    pub(super) fn progress(&self) -> Progress {
        self.progress.borrow().clone()
    }

    /// Watches how far it is.
    pub(super) fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.clone()
    }

    /// Completes when the answer has begun, or the attempt has failed.
    pub(super) async fn ended(&mut self) -> Ended {
        (&mut self.ended).await
    }
}

impl Job {
    async fn run(mut self) -> Ended {
        let core = self.app.core.clone();
        let mut ended = Ended {
            progress: Progress::default(),
            sent_at: core.clock.now(),
            was_idle: false,
            results: None,
            result: Err(AttemptFault::Blocked(BlockReason::NoTarget)),
        };
        if self.rerun {
            match stages::run(&self.app, &self.call, Turn::Again).await {
                Ok(results) => self.results = Arc::new(results),
                Err(reason) => {
                    ended.result = Err(AttemptFault::Stages(reason));
                    return ended;
                }
            }
            ended.results = Some(self.results.clone());
        }
        core.verdict(&self.call.suspects).await;
        ended.result = match self.select() {
            Ok(link) => self.send_to(&link, &mut ended).await,
            Err(reason) => Err(AttemptFault::Blocked(reason)),
        };
        ended.progress = self.progress.borrow().clone();
        ended
    }

    /// Selects an engine, and takes a retry from the budget if this is one.
    fn select(&self) -> Result<Arc<Link>, BlockReason> {
        let core = &self.app.core;
        if let Some(blocked) = core.poison(&self.call.suspects) {
            return Err(blocked);
        }
        if self.tried.len() >= MAX_ENGINES {
            return Err(BlockReason::NoTarget);
        }
        let prompt = self.prompt();
        let home = self.results.home().unwrap_or(&core.settings().domain).clone();
        let (readers, build) = (&*self.readers, self.build.as_ref());
        let selection = Selection::Engine { prompt: &prompt, readers, home: &home, build };
        let link = choose(core, &self.call, selection, &self.tried)?;
        if self.retry && !self.retries.take() {
            return Err(BlockReason::RetryBudget);
        }
        self.progress.send_modify(|p| p.link = Some(link.clone()));
        Ok(link)
    }

    async fn send_to(&self, link: &Arc<Link>, ended: &mut Ended) -> Result<Answered, AttemptFault> {
        let (core, call) = (&self.app.core, &self.call);
        ended.sent_at = core.clock.now();
        // Also for a stream that can't be resumed: its connection may carry one that can.
        if !restart::is_same(core, link, &call.residency).await {
            return Err(AttemptFault::OtherIncarnation);
        }
        ended.was_idle = self.record_prompt(link, ended.sent_at);
        let (results, progress) = (&self.results, &self.progress);
        let subject = call.head.subject();
        let source = copy_source(core, call, subject, &self.readers, link);
        let fetch = source.map(|l| l.entry.addr);
        let build = || {
            progress.send_modify(|p| p.written = Some(core.clock.now()));
            results.free_after_read();
            let inputs = results.handles();
            call.target_request(headers(core, call, link, inputs, self.last_event, fetch))
        };
        // How long its silence is borne depends on whether another engine may go on, see `Relay`.
        let wait = Wait::Fixed(call.left(core.clock.now()));
        let via = Via::Pool(IfClosed::Fail);
        let exposed = [call.suspects.exposed()];
        let request =
            Sending { id: &call.head.id, exposed: &exposed, retries: Some(&self.retries) };
        send(core, link, &call.residency, request, wait, via, build)
            .await
            .map_err(AttemptFault::Send)
    }

    /// Records that the engine gets a prompt to read. Returns whether it had no other one.
    fn record_prompt(&self, link: &Link, now: Ms) -> bool {
        let (core, call) = (&self.app.core, &self.call);
        let time = core.estimate().prefill(&call.service, call.head.own_tokens());
        let was_idle = link.backlog().wait(now) == Ms::ZERO;
        link.backlog().sent(now, time);
        if time >= REPORTED_READ_TIME {
            core.members.queue_prompt(&link.entry.domain, &link.incarnation(), time);
        }
        was_idle
    }

    /// What an engine has to read.
    fn prompt(&self) -> Prompt {
        let call = &self.call;
        let engine = call.catalog.service(&call.service).and_then(|s| s.engine.as_ref());
        let tokens = call.head.shared_tokens();
        let copy = engine.map_or(0.0, |e| e.copy_ms * tokens as f64 / 1e3);
        Prompt {
            subject: call.head.subject(),
            copy: Ms(copy as u64),
            result_bytes: self.result_bytes(),
        }
    }

    /// Size of the stage results that the engine reads; zero if they are too small for a home.
    fn result_bytes(&self) -> u64 {
        if self.results.home().is_none() {
            return 0;
        }
        let route = &self.call.route;
        let pieces = |i: usize| self.call.head.pieces.get(i).copied().unwrap_or(1);
        let size = |i: usize| route.stages[i].bytes.saturating_mul(u64::from(pieces(i)));
        route.last_stages().map(size).fold(0, u64::saturating_add)
    }
}
