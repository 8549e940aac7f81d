//! The reducer with what it decides about, under one lock, and the effects carried out.

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

use crate::dial::Dial;
use crate::error::CallerError;
use crate::metrics::Metrics;
use crate::open::{Held, Open};
use crate::outbox::Outbox;
use crate::ticket::Ticket;

/// What a caller asked for, read and checked.
pub struct Asked {
    /// The body.
    pub ask: Ask,
    /// Whose it is; declared in `plan`.
    pub workspace: WorkspaceId,
    /// The configuration that it is served by to its end.
    pub plan: Arc<Plan>,
    /// Index of the pipeline in `plan`.
    pub pipeline: usize,
    /// The caller's priority, if it gave one.
    pub priority: Option<Priority>,
    /// When the answer is due.
    pub deadline: Ms,
    /// The key of work that may not be repeated.
    pub key: Option<Key>,
    /// Whether the caller says that it sent the key before.
    pub resent: bool,
    /// Whether the caller may come back for the rest after its connection broke.
    pub resumable: bool,
}

/// Decisions and their effects.
pub struct Core {
    pub(crate) me: Weak<Core>,
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) journal: Arc<dyn Journal>,
    dial: Arc<dyn Dial>,
    ids: Box<dyn Fn() -> RequestId + Send + Sync>,
    pub(crate) metrics: Metrics,
    pub(crate) tells: mpsc::UnboundedSender<Announcement>,
    pub(crate) wakes: mpsc::UnboundedSender<Ms>,
    /// Keyed requests that wait for the journal: to be registered, or for their end's record.
    pub(crate) finishing: AtomicUsize,
    /// Poison marks made here or heard from other hosts.
    pub(crate) poison: AtomicUsize,
    pub(crate) state: Mutex<State>,
}

/// One lock for the reducer and the requests, so that effects are carried out in the order in
/// which they were decided: a cancel that overtook its send would leave the target busy.
pub(crate) struct State {
    pub(crate) reducer: Box<dyn Reducer>,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) open: HashMap<RequestId, Open>,
    pub(crate) kept: HashMap<RequestId, Kept>,
    pub(crate) draining: bool,
    pub(crate) effects: Vec<Effect>,
}

/// Replies of a request that ended while its caller's connection was gone.
pub(crate) struct Kept {
    pub(crate) workspace: WorkspaceId,
    pub(crate) outbox: Outbox,
    pub(crate) until: Ms,
}

/// What a core reaches the world through.
pub struct Outlets {
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Records of work that may not be repeated.
    pub journal: Arc<dyn Journal>,
    /// Targets.
    pub dial: Arc<dyn Dial>,
    /// Identifiers of requests, each given once.
    pub ids: Box<dyn Fn() -> RequestId + Send + Sync>,
    /// What other hosts are to be told.
    pub tells: mpsc::UnboundedSender<Announcement>,
    /// When [`Core::tick`] is to be called next, at the latest.
    pub wakes: mpsc::UnboundedSender<Ms>,
}

impl Core {
    /// A core without any request.
    pub fn new(
        settings: &Settings,
        reducer: Box<dyn Reducer>,
        outlets: Outlets,
    ) -> Result<Arc<Self>, OTelSdkError> {
        let metrics = Metrics::new()?;
        Ok(Self::with_metrics(settings, reducer, metrics, outlets))
    }

    fn with_metrics(
        settings: &Settings,
        reducer: Box<dyn Reducer>,
        metrics: Metrics,
        outlets: Outlets,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            settings: settings.clone(),
            clock: outlets.clock,
            journal: outlets.journal,
            dial: outlets.dial,
            ids: outlets.ids,
            metrics,
            tells: outlets.tells,
            wakes: outlets.wakes,
            finishing: AtomicUsize::new(0),
            poison: AtomicUsize::new(0),
            state: Mutex::new(State {
                reducer,
                plan: None,
                open: HashMap::new(),
                kept: HashMap::new(),
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

    pub(crate) fn dial(&self) -> &dyn Dial {
        self.dial.as_ref()
    }

    /// The time of this host.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// The configuration in force here.
    pub fn plan(&self) -> Option<Arc<Plan>> {
        self.lock().plan.clone()
    }

    /// Whether new requests are taken.
    pub(crate) fn ready(&self) -> bool {
        let state = self.lock();
        state.plan.is_some() && !state.draining
    }

    /// Requests under way, and those that wait for the journal.
    pub fn open(&self) -> usize {
        self.lock().open.len() + self.finishing.load(Ordering::Relaxed)
    }

    /// Poison marks made here or heard from other hosts, so far.
    pub(crate) fn poison(&self) -> usize {
        self.poison.load(Ordering::Relaxed)
    }

    /// Takes a request in.
    pub fn arrive(&self, asked: Asked) -> Ticket {
        let core = self.me.upgrade().expect("the core is alive while it is called");
        let now = self.now();
        let request = (self.ids)();
        let (caller, replies) = mpsc::unbounded_channel();
        let pipeline = asked.plan.pipeline_name(asked.pipeline).clone();
        let arrival = Arrival {
            request,
            workspace: asked.workspace.clone(),
            pipeline: pipeline.clone(),
            priority: asked.priority,
            deadline: asked.deadline,
            tokens_in: asked.ask.input.len().div_ceil(4) as u32,
            max_tokens: asked.ask.max_tokens,
            prefix: prefix_hash(&asked.ask.prefix),
            fingerprint: base::hash_parts(&[
                asked.workspace.as_str().as_bytes(),
                pipeline.as_str().as_bytes(),
                asked.ask.input.as_bytes(),
            ]),
            keyed: asked.key.is_some(),
            resent: asked.resent,
        };
        let open = Open {
            plan: asked.plan,
            pipeline: asked.pipeline,
            workspace: asked.workspace,
            priority: asked.priority.unwrap_or_default() as u32,
            key: asked.key,
            ask: asked.ask,
            arrived: now,
            outbox: Outbox::new(caller, asked.resumable),
            region: self.settings.region.clone(),
            replay: None,
            costs: Vec::new(),
            stage: 0,
            output: String::new(),
            ready: now,
            held: Held::default(),
            attempts: HashMap::new(),
        };
        let mut state = self.lock();
        state.open.insert(request, open);
        self.reduce(&mut state, Event::Arrive(arrival));
        drop(state);
        Ticket::new(core, request, 0, replies)
    }

    /// Feeds an event that concerns no text.
    pub fn feed(&self, event: Event) {
        let mut state = self.lock();
        match &event {
            Event::Config(plan) => {
                note!(logs::Event::ConfigInForce, generation = plan.generation.0);
                state.plan = Some(plan.clone());
            }
            Event::Drain => state.draining = true,
            Event::Poisoned { .. } => _ = self.poison.fetch_add(1, Ordering::Relaxed),
            _ => {}
        }
        self.reduce(&mut state, event);
    }

    /// A caller's connection has gone.
    pub(crate) fn detach(&self, request: RequestId, epoch: u32) {
        let now = self.now();
        let mut state = self.lock();
        let open = state.open.get_mut(&request);
        if open.is_some_and(|o| o.outbox.detach(epoch, now)) {
            self.reduce(&mut state, Event::Gone { request });
        }
    }

    /// A caller came back for the rest of its stream, from token `offset` on.
    pub fn resume(
        &self,
        request: RequestId,
        workspace: &str,
        offset: u32,
    ) -> Result<Ticket, CallerError> {
        let core = self.me.upgrade().expect("the core is alive while it is called");
        let mut state = self.lock();
        let State { open, kept, .. } = &mut *state;
        let open = open.get_mut(&request).map(|o| (&o.workspace, &mut o.outbox));
        let kept = kept.get_mut(&request).map(|k| (&k.workspace, &mut k.outbox));
        let found = open.or(kept).filter(|(owner, _)| owner.as_str() == workspace);
        let (_, outbox) = found.ok_or(CallerError::UnknownRequest)?;
        let (caller, replies) = mpsc::unbounded_channel();
        let epoch = outbox.attach(offset, caller).ok_or(CallerError::Offset)?;
        Ok(Ticket::new(core, request, epoch, replies))
    }

    /// Time has passed: callers that didn't come back are given up on.
    pub fn tick(&self) {
        let now = self.now();
        let most = self.settings.limits.resume_ms;
        let mut state = self.lock();
        state.kept.retain(|_, kept| now < kept.until);
        let abandoned = state.open.iter().filter(|(_, o)| o.outbox.abandoned(now, most));
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
            self.carry_out(state, effect);
        }
        state.effects = effects;
    }
}

/// Hash of a caller's prefix key; zero for none.
fn prefix_hash(prefix: &str) -> u64 {
    match prefix {
        "" => 0,
        _ => base::hash_parts(&[prefix.as_bytes()]).max(1),
    }
}
