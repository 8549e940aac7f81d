//! The reducer of an entry host: its state, and which part takes which event.

use base::{DomainId, Ms, PoolId, RequestId, TargetId};
use conf::Plan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::cache::Cache;
use crate::decision::Without;
use crate::health::{self, HealthSignal};
use crate::learn::Learned;
use crate::limit::Limit;
use crate::open::{Open, Rules};
use crate::poison::Poison;
use crate::retry::Tokens;
use crate::target::{Context, Report, Target};
use crate::view::{self, Names, View};
use crate::wait_queue::WaitQueue;
use crate::{Decision, Effect, Event, HostContext, Reducer, hedge};

/// All that an entry host decides by.
pub struct State {
    pub(crate) placed: HostContext,
    pub(crate) without: Without,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) names: Names,
    /// By number.
    pub(crate) targets: Vec<Target>,
    /// By number of the kind of stage.
    pub(crate) learned: Vec<Learned>,
    /// By number.
    pub(crate) lines: Vec<WaitQueue>,
    /// Lines in which somebody waits.
    pub(crate) busy: BTreeSet<u32>,
    pub(crate) open: HashMap<RequestId, Open>,
    /// When each request is to be looked at.
    pub(crate) timers: BTreeSet<(Ms, RequestId)>,
    pub(crate) rules: HashMap<(usize, usize), Rules>,
    pub(crate) cache: Cache,
    pub(crate) poison: Poison,
    pub(crate) retries: Tokens,
    pub(crate) hedges: Tokens,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) turn: usize,
    pub(crate) seq: u64,
    hosts: u32,
    /// Also those that no configuration has named yet.
    leaving: HashSet<TargetId>,
    pub(crate) draining: bool,
    /// The earliest tick asked for.
    wake: Ms,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("placed", &self.placed)
            .field("open", &self.open.len())
            .field("targets", &self.targets.len())
            .finish_non_exhaustive()
    }
}

impl State {
    /// An empty state: it serves once a configuration came. Decisions in `without` are replaced
    /// by the plainest choice.
    pub fn new(placed: HostContext, without: &[Decision]) -> Self {
        Self {
            without: Without::new(without),
            view: None,
            names: Names::default(),
            targets: Vec::new(),
            learned: Vec::new(),
            lines: Vec::new(),
            busy: BTreeSet::new(),
            open: HashMap::new(),
            timers: BTreeSet::new(),
            rules: HashMap::new(),
            cache: Cache::default(),
            poison: Poison::default(),
            retries: Tokens::retries(),
            hedges: Tokens::earned(hedge::BURST),
            rng: ChaCha8Rng::seed_from_u64(placed.seed),
            turn: 0,
            seq: 0,
            hosts: 1,
            leaving: HashSet::new(),
            draining: false,
            wake: Ms::MAX,
            placed,
        }
    }

    /// What targets are judged by at `now`.
    pub(crate) fn context(&self, now: Ms) -> Context {
        let view = self.view.as_ref();
        Context {
            now,
            hosts: self.hosts,
            domains: view.map_or(1, |v| v.domains),
            span: view.map_or(Ms::ZERO, |v| v.plan.fleet.defaults.ramp_ms),
            without: self.without,
        }
    }

    fn config(&mut self, now: Ms, plan: Arc<Plan>) {
        let first = self.view.is_none();
        let view = View::new(plan, &self.placed, &mut self.names);
        self.targets.iter_mut().for_each(|t| t.declared = false);
        for (at, planned) in view.targets.iter().zip(&view.plan.targets) {
            let tier = view::tier(planned, &self.placed);
            let domain = self.names.domains.number(planned.domain.clone());
            let zone = self.names.zones.number((planned.domain.clone(), planned.pool.clone()));
            if *at as usize == self.targets.len() {
                self.targets.push(Target {
                    name: planned.name.clone(),
                    slots: planned.slots,
                    tier,
                    domain,
                    zone,
                    lines: Vec::new(),
                    hash: base::hash_parts(&[planned.name.as_str().as_bytes()]),
                    declared: true,
                    running: 0,
                    marked: 0,
                    mixed: false,
                    report: Report::default(),
                    zone_report: Report::default(),
                    limit: Limit::new(),
                    retry: Ms::ZERO,
                    life: health::life(),
                });
                // The first configuration finds targets that serve already; a later one brings
                // new ones.
                if !first {
                    self.signal(now, *at, HealthSignal::Fresh);
                }
                if self.leaving.contains(&planned.name) {
                    self.signal(now, *at, HealthSignal::Leaving);
                }
            }
            let target = &mut self.targets[*at as usize];
            target.slots = planned.slots;
            target.tier = tier;
            target.domain = domain;
            target.zone = zone;
            target.declared = true;
            target.lines.clear();
        }
        self.learned.resize_with(self.names.kinds.len(), Learned::default);
        self.lines.resize_with(view::lines(self.names.kinds.len()), WaitQueue::default);
        self.lines.iter_mut().for_each(|l| l.invalidate());
        for stage in view.stages.iter().flatten() {
            for &placement in &view.placements {
                let line = view::line(stage.kind, placement);
                self.lines[line as usize].tiers = stage.tiers.clone();
                for &t in stage.tiers.iter().flatten() {
                    let lines = &mut self.targets[t as usize].lines;
                    if !lines.contains(&line) {
                        lines.push(line);
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
            self.signal(now, at, if leaving { HealthSignal::Leaving } else { HealthSignal::Back });
            for &line in &self.targets[at as usize].lines {
                self.lines[line as usize].invalidate();
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

    fn domain_load(&mut self, zone: &(DomainId, PoolId), free: f64, at: Ms) {
        let Some(zone) = self.names.zones.find(zone) else { return };
        let there = self.targets.iter_mut().filter(|t| t.zone == zone);
        for target in there.filter(|t| t.zone_report.at <= at) {
            let own = f64::from(target.running);
            target.zone_report = Report { others: 0.0, own, free, at };
        }
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Effect>) {
        if now >= self.wake {
            self.wake = Ms::MAX;
        }
        while let Some(&(due, request)) = self.timers.first()
            && due <= now
        {
            self.timers.pop_first();
            self.timer(now, request, out);
        }
        let busy: Vec<u32> = self.busy.iter().copied().collect();
        for line in busy {
            self.pump(now, line, out);
        }
    }

    /// Asks for a tick at the next timer, if none is asked for by then.
    fn ask_wake(&mut self, out: &mut Vec<Effect>) {
        if let Some(&(at, _)) = self.timers.first()
            && at < self.wake
        {
            self.wake = at;
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
            Event::Gone { request } => self.gone(now, request, out),
            Event::Load { target, running, queued, at } => self.load(&target, running, queued, at),
            Event::DomainLoad { domain, pool, running, queued, slots, at } => {
                let used = f64::from(running) + f64::from(queued);
                let free = (1.0 - used / f64::from(slots.max(1))).max(0.0);
                self.domain_load(&(domain, pool), free, at);
            }
            Event::Cache { target, seq, prefix, stored } => {
                if let Some(target) = self.names.targets.find(&target) {
                    self.cache.event(target, seq, prefix, stored);
                }
            }
            Event::Leaving { target, leaving } => self.leaving(now, target, leaving),
            Event::Poisoned { fingerprint, until } => self.poison.convict(fingerprint, until),
            Event::Hosts { live } => self.hosts = live.max(1),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, out),
        }
        self.ask_wake(out);
    }
}
