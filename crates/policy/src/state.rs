//! The reducer of an entry host: its state, and the dispatch of events to their handlers.

use base::{DomainId, Ms, PoolId, RequestId, TargetId};
use conf::Plan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::cache::PrefixCache;
use crate::decision::DisabledDecisions;
use crate::health::{self, HealthSignal};
use crate::learn::LearnedTimes;
use crate::limit::Limit;
use crate::poison::Poison;
use crate::request::{OpenRequest, Rules};
use crate::retry::TokenBucket;
use crate::target::{Context, Report, Target};
use crate::view::{self, Names, View};
use crate::wait_queue::WaitQueue;
use crate::{Decision, Effect, Event, HostContext, Reducer, hedge};

/// The state of an entry host's decisions.
pub struct State {
    pub(crate) host_context: HostContext,
    pub(crate) disabled: DisabledDecisions,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) names: Names,
    /// Indexed by target number.
    pub(crate) targets: Vec<Target>,
    /// Indexed by stage kind.
    pub(crate) learned: Vec<LearnedTimes>,
    /// Indexed by queue number.
    pub(crate) queues: Vec<WaitQueue>,
    /// Queues with waiting requests.
    pub(crate) busy: BTreeSet<u32>,
    pub(crate) open: HashMap<RequestId, OpenRequest>,
    /// When each request is to be checked next.
    pub(crate) timers: BTreeSet<(Ms, RequestId)>,
    pub(crate) rules: HashMap<(usize, usize), Rules>,
    pub(crate) cache: PrefixCache,
    pub(crate) poison: Poison,
    pub(crate) retries: TokenBucket,
    pub(crate) hedges: TokenBucket,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) turn: usize,
    pub(crate) seq: u64,
    hosts: u32,
    /// Targets that are leaving service, including those that no configuration has named yet.
    leaving: HashSet<TargetId>,
    pub(crate) draining: bool,
    /// The earliest tick requested so far.
    next_wake: Ms,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("host_context", &self.host_context)
            .field("open", &self.open.len())
            .field("targets", &self.targets.len())
            .finish_non_exhaustive()
    }
}

impl State {
    /// Creates an empty state. It serves requests after the first configuration. Each decision in
    /// `disabled` is replaced by the simplest alternative.
    pub fn new(host_context: HostContext, disabled: &[Decision]) -> Self {
        Self {
            disabled: DisabledDecisions::new(disabled),
            view: None,
            names: Names::default(),
            targets: Vec::new(),
            learned: Vec::new(),
            queues: Vec::new(),
            busy: BTreeSet::new(),
            open: HashMap::new(),
            timers: BTreeSet::new(),
            rules: HashMap::new(),
            cache: PrefixCache::default(),
            poison: Poison::default(),
            retries: TokenBucket::retries(),
            hedges: TokenBucket::earned(hedge::HEDGE_BURST),
            rng: ChaCha8Rng::seed_from_u64(host_context.seed),
            turn: 0,
            seq: 0,
            hosts: 1,
            leaving: HashSet::new(),
            draining: false,
            next_wake: Ms::MAX,
            host_context,
        }
    }

    /// Input for the decisions about targets at `now`.
    pub(crate) fn context(&self, now: Ms) -> Context {
        let view = self.view.as_ref();
        Context {
            now,
            hosts: self.hosts,
            domains: view.map_or(1, |v| v.domains),
            ramp_time: view.map_or(Ms::ZERO, |v| v.plan.fleet.defaults.ramp_ms),
            disabled: self.disabled,
        }
    }

    fn config(&mut self, now: Ms, plan: Arc<Plan>) {
        let first = self.view.is_none();
        let view = View::new(plan, &self.host_context, &mut self.names);
        self.targets.iter_mut().for_each(|t| t.declared = false);
        for (at, planned) in view.targets.iter().zip(&view.plan.targets) {
            let tier = view::tier(planned, &self.host_context);
            let domain = self.names.domains.intern(planned.domain.clone());
            let domain_pool =
                self.names.domain_pools.intern((planned.domain.clone(), planned.pool.clone()));
            if *at as usize == self.targets.len() {
                self.targets.push(Target {
                    name: planned.name.clone(),
                    slots: planned.slots,
                    tier,
                    domain,
                    domain_pool,
                    queues: Vec::new(),
                    hash: base::hash_parts(&[planned.name.as_str().as_bytes()]),
                    declared: true,
                    running: 0,
                    marked: 0,
                    marked_overlap: false,
                    report: Report::default(),
                    pool_report: Report::default(),
                    limit: Limit::new(),
                    next_probe: Ms::ZERO,
                    lifecycle: health::start(),
                });
                // The targets of the first configuration are already in service. A later
                // configuration brings new ones, which have to ramp up.
                if !first {
                    self.signal(now, *at, HealthSignal::Added);
                }
                if self.leaving.contains(&planned.name) {
                    self.signal(now, *at, HealthSignal::Leaving);
                }
            }
            let target = &mut self.targets[*at as usize];
            target.slots = planned.slots;
            target.tier = tier;
            target.domain = domain;
            target.domain_pool = domain_pool;
            target.declared = true;
            target.queues.clear();
        }
        self.learned.resize_with(self.names.kinds.len(), LearnedTimes::default);
        self.queues.resize_with(view::queue_count(self.names.kinds.len()), WaitQueue::default);
        self.queues.iter_mut().for_each(|l| l.invalidate());
        for stage in view.stages.iter().flatten() {
            for &placement in &view.placements {
                let queue = view::queue_id(stage.kind, placement);
                self.queues[queue as usize].tiers = stage.tiers.clone();
                for &t in stage.tiers.iter().flatten() {
                    let queues = &mut self.targets[t as usize].queues;
                    if !queues.contains(&queue) {
                        queues.push(queue);
                    }
                }
            }
        }
        self.rules.clear();
        self.view = Some(Arc::new(view));
    }

    pub(crate) fn signal(&mut self, now: Ms, target: u32, signal: HealthSignal) {
        let context = self.context(now);
        self.targets[target as usize].signal(signal, &context);
    }

    fn leaving(&mut self, now: Ms, target: TargetId, leaving: bool) {
        if let Some(at) = self.names.targets.find(&target) {
            self.signal(
                now,
                at,
                if leaving { HealthSignal::Leaving } else { HealthSignal::Returned },
            );
            for &queue in &self.targets[at as usize].queues {
                self.queues[queue as usize].invalidate();
            }
        }
        match leaving {
            true => self.leaving.insert(target),
            false => self.leaving.remove(&target),
        };
    }

    fn load(&mut self, target: &TargetId, running: u32, queued: u32, at: Ms) {
        if let Some(known) = self.names.targets.find(target) {
            self.targets[known as usize].load(running, queued, at);
        }
    }

    fn domain_load(&mut self, domain_pool: &(DomainId, PoolId), free: f64, at: Ms) {
        let Some(domain_pool) = self.names.domain_pools.find(domain_pool) else { return };
        let there = self.targets.iter_mut().filter(|t| t.domain_pool == domain_pool);
        for target in there.filter(|t| t.pool_report.at <= at) {
            let own = f64::from(target.running);
            target.pool_report = Report { others: 0.0, own, free, at };
        }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Effect>) {
        if now >= self.next_wake {
            self.next_wake = Ms::MAX;
        }
        while let Some(&(due, request)) = self.timers.first()
            && due <= now
        {
            self.timers.pop_first();
            self.on_timer(now, request, out);
        }
        let busy: Vec<u32> = self.busy.iter().copied().collect();
        for queue in busy {
            self.dispatch(now, queue, out);
        }
    }

    /// Requests a tick for the next timer, unless an earlier one is already requested.
    fn request_wake(&mut self, out: &mut Vec<Effect>) {
        if let Some(&(at, _)) = self.timers.first()
            && at < self.next_wake
        {
            self.next_wake = at;
            out.push(Effect::Wake { at });
        }
    }
}

impl Reducer for State {
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Config(plan) => self.config(now, plan),
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Registered { request, grant } => self.registered(now, request, grant, out),
            Event::Sent { request, stage, attempt } => self.sent(request, stage, attempt),
            Event::Piece { request, stage, attempt, offset } => {
                self.piece(now, request, stage, attempt, offset, out);
            }
            Event::Done { request, stage, attempt, usage: _ } => {
                self.done(now, request, stage, attempt, out);
            }
            Event::Failed { request, stage, attempt, fault } => {
                self.failed(now, request, stage, attempt, fault, out);
            }
            Event::Gone { request } => self.caller_gone(now, request, out),
            Event::Load { target, running, queued, at } => self.load(&target, running, queued, at),
            Event::DomainLoad { domain, pool, running, queued, slots, at } => {
                let used = f64::from(running) + f64::from(queued);
                let free = (1.0 - used / f64::from(slots.max(1))).max(0.0);
                self.domain_load(&(domain, pool), free, at);
            }
            Event::Cache { target, seq, prefix, stored } => {
                if let Some(target) = self.names.targets.find(&target) {
                    self.cache.on_event(target, seq, prefix, stored);
                }
            }
            Event::Leaving { target, leaving } => self.leaving(now, target, leaving),
            Event::Poisoned { fingerprint, until } => self.poison.block(fingerprint, until),
            Event::Hosts { live } => self.hosts = live.max(1),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, out),
        }
        self.request_wake(out);
    }
}
