//! The core of an entry host: feeds events to the policy's reducer and executes the effects that it
//! returns. The reducer and the requests share one lock.

use base::{Clock, Key, Ms, RequestId, WorkspaceId};
use conf::{Plan, Priority, Settings};
use gossip::Announcement;
use journal::Journal;
use logs::note;
use opentelemetry_sdk::error::OTelSdkError;
use policy::{Arrival, Effect, Event, Reducer};
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::sync::mpsc;
use wire::Ask;

use crate::active::{ActiveRequest, StreamBuffer};
use crate::connector::Connector;
use crate::error::CallerError;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::reply::ReplyReceiver;

/// A caller's request after parsing and validation.
pub struct CheckedRequest {
    /// The body of the request.
    pub ask: Ask,
    /// The workspace of the request, declared in `plan`.
    pub workspace: WorkspaceId,
    /// The configuration that applies to the request until it ends.
    pub plan: Arc<Plan>,
    /// Index of the pipeline in `plan`.
    pub pipeline: usize,
    /// The priority, if the caller set one.
    pub priority: Option<Priority>,
    /// When the answer is due.
    pub deadline: Ms,
    /// The idempotency key, required for non-repeatable work.
    pub key: Option<Key>,
    /// Whether the caller says that it has sent the key before.
    pub resent: bool,
    /// Whether the caller may reconnect for the rest after its connection broke.
    pub resumable: bool,
}

/// Applies events to the reducer and executes its effects.
pub struct Core {
    pub(crate) weak_self: Weak<Core>,
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) journal: Arc<dyn Journal>,
    connector: Arc<dyn Connector>,
    ids: Box<dyn Fn() -> RequestId + Send + Sync>,
    pub(crate) metrics: Metrics,
    pub(crate) announcements: mpsc::UnboundedSender<Announcement>,
    pub(crate) wakeups: mpsc::UnboundedSender<Ms>,
    /// Journal operations under way for requests with a key: registering the key, or recording the
    /// outcome.
    pub(crate) journal_pending: AtomicUsize,
    /// Poison marks made on this host or received from others, so far.
    pub(crate) poison_marks: AtomicUsize,
    pub(crate) state: Mutex<State>,
}

/// The reducer and the requests. They share one lock so that effects are executed in the order in
/// which they were decided: a cancel that overtook its send would leave the target busy.
pub(crate) struct State {
    pub(crate) reducer: Box<dyn Reducer>,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) active: HashMap<RequestId, ActiveRequest>,
    pub(crate) ended: HashMap<RequestId, EndedRequest>,
    pub(crate) draining: bool,
    pub(crate) effects: Vec<Effect>,
}

/// Replies of a request that ended while its caller was disconnected, held until `until`.
pub(crate) struct EndedRequest {
    pub(crate) workspace: WorkspaceId,
    pub(crate) outbox: Outbox,
    pub(crate) until: Ms,
}

/// Dependencies of a core: everything through which it acts outside its own state.
pub struct CoreDeps {
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// Records of non-repeatable work.
    pub journal: Arc<dyn Journal>,
    /// Connections to targets.
    pub connector: Arc<dyn Connector>,
    /// Generates request identifiers, each unique.
    pub ids: Box<dyn Fn() -> RequestId + Send + Sync>,
    /// Messages to be announced to the other hosts.
    pub announcements: mpsc::UnboundedSender<Announcement>,
    /// Times at which [`Core::tick`] has to be called at the latest.
    pub wakeups: mpsc::UnboundedSender<Ms>,
}

impl Core {
    /// Creates a core without requests.
    pub fn new(
        settings: &Settings,
        reducer: Box<dyn Reducer>,
        deps: CoreDeps,
    ) -> Result<Arc<Self>, OTelSdkError> {
        let metrics = Metrics::new()?;
        Ok(Self::with_metrics(settings, reducer, metrics, deps))
    }

    fn with_metrics(
        settings: &Settings,
        reducer: Box<dyn Reducer>,
        metrics: Metrics,
        deps: CoreDeps,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            settings: settings.clone(),
            clock: deps.clock,
            journal: deps.journal,
            connector: deps.connector,
            ids: deps.ids,
            metrics,
            announcements: deps.announcements,
            wakeups: deps.wakeups,
            journal_pending: AtomicUsize::new(0),
            poison_marks: AtomicUsize::new(0),
            state: Mutex::new(State {
                reducer,
                plan: None,
                active: HashMap::new(),
                ended: HashMap::new(),
                draining: false,
                effects: Vec::new(),
            }),
        })
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    pub(crate) fn connector(&self) -> &dyn Connector {
        self.connector.as_ref()
    }

    /// The current time on this host.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// The configuration in force on this host.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.lock().plan.clone()
    }

    /// Whether new requests are accepted: a configuration is in force and the host is not draining.
    pub(crate) fn ready(&self) -> bool {
        let state = self.lock();
        state.plan.is_some() && !state.draining
    }

    /// Number of requests under way plus journal operations under way.
    pub fn active_count(&self) -> usize {
        self.lock().active.len() + self.journal_pending.load(Ordering::Relaxed)
    }

    /// Poison marks made on this host or received from others, so far.
    pub(crate) fn poison_marks(&self) -> usize {
        self.poison_marks.load(Ordering::Relaxed)
    }

    /// Submits a request to the reducer and returns the receiver of its replies.
    pub fn submit(&self, checked: CheckedRequest) -> ReplyReceiver {
        let core = self.weak_self.upgrade().expect("the core is alive while it is called");
        let now = self.now();
        let request = (self.ids)();
        let (caller, replies) = mpsc::unbounded_channel();
        let pipeline = checked.plan.pipeline_name(checked.pipeline).clone();
        let arrival = Arrival {
            request,
            workspace: checked.workspace.clone(),
            pipeline: pipeline.clone(),
            priority: checked.priority,
            deadline: checked.deadline,
            tokens_in: checked.ask.input.len().div_ceil(4) as u32,
            max_tokens: checked.ask.max_tokens,
            prefix: prefix_hash(&checked.ask.prefix),
            fingerprint: base::hash_parts(&[
                checked.workspace.as_str().as_bytes(),
                pipeline.as_str().as_bytes(),
                checked.ask.input.as_bytes(),
            ]),
            keyed: checked.key.is_some(),
            resent: checked.resent,
        };
        let active = ActiveRequest {
            plan: checked.plan,
            pipeline: checked.pipeline,
            workspace: checked.workspace,
            priority: checked.priority.unwrap_or_default() as u32,
            key: checked.key,
            ask: checked.ask,
            arrived: now,
            outbox: Outbox::new(caller, checked.resumable),
            region: self.settings.region.clone(),
            replay: None,
            costs: Vec::new(),
            stage: 0,
            output: String::new(),
            ready: now,
            buffer: StreamBuffer::default(),
            attempts: HashMap::new(),
        };
        let mut state = self.lock();
        state.active.insert(request, active);
        self.reduce(&mut state, Event::Arrive(arrival));
        drop(state);
        ReplyReceiver::new(core, request, 0, replies)
    }

    /// Applies an event that carries no request or response text.
    pub fn handle_event(&self, event: Event) {
        let mut state = self.lock();
        match &event {
            Event::Config(plan) => {
                note!(logs::Event::ConfigInForce, generation = plan.generation.0);
                state.plan = Some(plan.clone());
            }
            Event::Drain => state.draining = true,
            Event::Poisoned { .. } => _ = self.poison_marks.fetch_add(1, Ordering::Relaxed),
            _ => {}
        }
        self.reduce(&mut state, event);
    }

    /// Handles the end of a caller's connection. `epoch` tells which connection of the request
    /// ended.
    pub(crate) fn detach(&self, request: RequestId, epoch: u32) {
        let now = self.now();
        let mut state = self.lock();
        let active = state.active.get_mut(&request);
        if active.is_some_and(|r| r.outbox.detach(epoch, now)) {
            self.reduce(&mut state, Event::Gone { request });
        }
    }

    /// Reattaches a caller to its stream, from token `offset` on. Fails if the request is unknown
    /// or belongs to another workspace, or if no piece ends at the offset.
    pub fn resume(
        &self,
        request: RequestId,
        workspace: &str,
        offset: u32,
    ) -> Result<ReplyReceiver, CallerError> {
        let core = self.weak_self.upgrade().expect("the core is alive while it is called");
        let mut state = self.lock();
        let State { active, ended, .. } = &mut *state;
        let active = active.get_mut(&request).map(|r| (&r.workspace, &mut r.outbox));
        let ended = ended.get_mut(&request).map(|e| (&e.workspace, &mut e.outbox));
        let found = active.or(ended).filter(|(owner, _)| owner.as_str() == workspace);
        let (_, outbox) = found.ok_or(CallerError::UnknownRequest)?;
        let (caller, replies) = mpsc::unbounded_channel();
        let epoch = outbox.attach(offset, caller).ok_or(CallerError::Offset)?;
        Ok(ReplyReceiver::new(core, request, epoch, replies))
    }

    /// Gives up on requests whose caller did not reconnect in time, drops expired replies and lets
    /// the reducer handle its timers.
    pub fn tick(&self) {
        let now = self.now();
        let max_detached = self.settings.limits.resume_ms;
        let mut state = self.lock();
        state.ended.retain(|_, ended| now < ended.until);
        let abandoned = state.active.iter().filter(|(_, r)| r.outbox.abandoned(now, max_detached));
        let abandoned: Vec<RequestId> = abandoned.map(|(&request, _)| request).collect();
        for request in abandoned {
            self.reduce(&mut state, Event::Gone { request });
        }
        self.reduce(&mut state, Event::Tick);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reduce(&self, state: &mut State, event: Event) {
        let mut effects = std::mem::take(&mut state.effects);
        state.reducer.reduce(self.now(), event, &mut effects);
        for effect in effects.drain(..) {
            self.execute(state, effect);
        }
        state.effects = effects;
    }
}

/// Hash of a caller's prefix key. Zero means that there is none.
fn prefix_hash(prefix: &str) -> u64 {
    match prefix {
        "" => 0,
        _ => base::hash_parts(&[prefix.as_bytes()]).max(1),
    }
}
