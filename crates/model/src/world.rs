//! State and event loop of a run: virtual time, entry hosts with their reducers, targets, callers
//! and the journal.

use base::{Attempt, Ms, RequestId};
use policy::{Effect, Event, HostContext, Reducer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{HashMap, HashSet};

use crate::callers::KeyState;
use crate::job::Job;
use crate::load::{Call, calls};
use crate::outcome::{BrokenPromise, Tally, WARMUP};
use crate::queue::{EventQueue, SimEvent};
use crate::server::Server;
use crate::{Line, Model, Outcome, Policy, Script};

/// Virtual time at which a run starts; above zero, so that times long before the start can be
/// expressed.
pub(crate) const START: Ms = Ms::secs(1_000);
/// Interval of a host's periodic timer.
const TICK_INTERVAL: Ms = Ms(100);
/// How long a run goes on after the last arrival; requests still open then count as unanswered.
const MAX_DRAIN: Ms = Ms::secs(30);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The deployment.
    pub model: &'a Model,
    /// Load and faults.
    pub script: &'a Script,
    /// Policy of the hosts.
    pub policy: Policy,
    /// Seed of arrivals, service times and reducers.
    pub seed: u64,
}

/// Simulates a run to its end.
pub fn run(run: Run<'_>) -> Outcome {
    World::new(run).run_to_end()
}

impl Run<'_> {
    /// Simulates the run and returns the events that the first host got, for [`crate::replay`].
    pub fn record(self) -> Vec<Line> {
        let mut world = World::new(self);
        world.log = Some(vec![Line::Placed { placed: world.hosts[0].context.clone() }]);
        world.drive();
        world.log.unwrap_or_default()
    }
}

/// An entry host.
pub(crate) struct Host {
    pub context: HostContext,
    pub reducer: Box<dyn Reducer>,
    /// Index of its failure domain.
    pub domain: usize,
    /// Targets that it knows to be leaving.
    pub leaving: HashSet<usize>,
    /// When it began to drain.
    pub drained: Option<Ms>,
    /// Whether the load balancer sends to it.
    pub listed: bool,
    /// When the last timer that it asked for fires.
    wake: Ms,
}

/// State of one request at one host.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub call: usize,
    pub host: usize,
    pub arrived: Ms,
    pub answered: bool,
    /// Number of stages whose result the host has.
    pub done: usize,
    /// Whether the first piece of a stream has arrived.
    pub piece: bool,
    /// Tokens of the current stage that the host holds.
    pub held: u32,
    /// Attempts of non-repeatable stages that may have run.
    pub exposed: u32,
}

/// State of a run.
pub(crate) struct World<'a> {
    pub model: &'a Model,
    pub script: &'a Script,
    pub now: Ms,
    pub events: EventQueue,
    pub rng: ChaCha8Rng,
    pub hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub jobs: Vec<Job>,
    pub attempts: HashMap<(RequestId, Attempt), usize>,
    pub requests: Vec<OpenRequest>,
    pub calls: Vec<Call>,
    pub tally: Tally,
    /// Failure domains that are cut off.
    pub lost: Vec<bool>,
    /// Failure domains whose hosts the load balancer avoids.
    pub avoided: Vec<bool>,
    pub seed: u64,
    /// How often each call was sent.
    pub tries: Vec<u32>,
    pub keys: HashMap<usize, KeyState>,
    /// Number of arrivals still to come and of open requests.
    pub pending: usize,
    log: Option<Vec<Line>>,
}

impl<'a> World<'a> {
    fn new(run: Run<'a>) -> Self {
        let Run { model, script, policy, seed } = run;
        let mut calls = calls(model, script, seed);
        for call in &mut calls {
            (call.at, call.deadline) = (call.at + START, call.deadline + START);
        }
        let plan = &model.plan;
        let host = |(id, domain): (base::HostId, usize)| {
            let name = model.domains[domain].clone();
            let region = plan.region(&name).expect("every domain has a region").clone();
            let context = HostContext { host: id, domain: name, region, seed };
            let reducer = policy.reducer(context.clone());
            Host {
                context,
                reducer,
                domain,
                leaving: HashSet::new(),
                drained: None,
                listed: true,
                wake: Ms::ZERO,
            }
        };
        let server = |t: &conf::PlanTarget| Server::new(t.kind, t.slots, &model.times);
        let mut world = Self {
            model,
            script,
            now: START,
            events: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(!seed),
            hosts: model.hosts().into_iter().map(host).collect(),
            servers: plan.targets.iter().map(server).collect(),
            jobs: Vec::new(),
            attempts: HashMap::new(),
            requests: Vec::new(),
            tally: Tally::new(model, &calls),
            tries: vec![0; calls.len()],
            pending: calls.len(),
            calls,
            lost: vec![false; model.domains.len()],
            avoided: vec![false; model.domains.len()],
            seed,
            keys: HashMap::new(),
            log: None,
        };
        world.schedule_inputs();
        world
    }

    fn schedule_inputs(&mut self) {
        for host in 0..self.hosts.len() {
            let config = Event::Config(self.model.plan.clone());
            self.events.schedule(START, SimEvent::Feed { host, event: config });
            let event = Event::Hosts { live: self.model.times.hosts };
            self.events.schedule(START, SimEvent::Feed { host, event });
            self.events.schedule(START + Ms(host as u64), SimEvent::Tick { host });
        }
        for (call, sent) in self.calls.iter().enumerate() {
            let at = sent.at + self.model.times.client_ms;
            self.events.schedule(at, SimEvent::Arrive { call });
        }
        for &(at, change) in &self.script.changes {
            self.events.schedule(START + at, SimEvent::Change(change));
        }
        self.events.schedule(START, SimEvent::Report);
    }

    fn run_to_end(mut self) -> Outcome {
        self.drive();
        let open = (0..self.requests.len()).filter(|&i| !self.requests[i].answered);
        self.tally.broken.extend(open.map(|i| BrokenPromise::Unanswered(request_id(i))));
        self.tally.close(self.model, self.script.length - WARMUP)
    }

    fn drive(&mut self) {
        let end = START + self.script.length + MAX_DRAIN;
        while let Some((at, what)) = self.events.pop() {
            if self.pending == 0 || at > end {
                break;
            }
            self.now = at;
            self.handle(what);
        }
    }

    fn handle(&mut self, what: SimEvent) {
        match what {
            SimEvent::Arrive { call } => self.arrive(call),
            SimEvent::Feed { host, event } => self.feed(host, event),
            SimEvent::Deliver { job, update } => self.deliver(job, update),
            SimEvent::Reach { job } => self.reach(job),
            SimEvent::Step { job } => self.step(job),
            SimEvent::Stop { job } => self.stop(job),
            SimEvent::Restart { target } => self.restart(target),
            SimEvent::Tick { host } => {
                self.feed(host, Event::Tick);
                self.events.schedule(self.now + TICK_INTERVAL, SimEvent::Tick { host });
            }
            SimEvent::Report => self.report(),
            SimEvent::Change(change) => self.change(change),
        }
    }

    /// Feeds an event to a host's reducer and carries out the effects.
    pub fn feed(&mut self, host: usize, event: Event) {
        if let Event::Leaving { target, leaving } = &event {
            let target = self.model.target(target);
            let known = &mut self.hosts[host].leaving;
            if *leaving {
                known.insert(target)
            } else {
                known.remove(&target)
            };
        }
        if let (0, Some(log)) = (host, &mut self.log) {
            log.push(Line::Event { at: self.now, event: event.clone() });
        }
        let mut effects = Vec::new();
        self.hosts[host].reducer.reduce(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Register { request } => {
                let event = Event::Registered { request, grant: self.register(request) };
                let at = self.now + self.model.times.journal_ms;
                self.events.schedule(at, SimEvent::Feed { host, event });
            }
            Effect::Send { request, stage, attempt, target, offset, .. } => {
                let target = self.model.target(&target);
                self.send(Job::new(request, stage, attempt, host, target, offset));
            }
            Effect::Cancel { request, attempt, .. } => self.cancel(request, attempt),
            Effect::Finish { request, ending } => self.finish(request, ending),
            Effect::Answer { request, verdict } => self.answer(request, verdict),
            Effect::Poison { fingerprint, until } => {
                let at = self.now + self.model.times.gossip_ms;
                for other in (0..self.hosts.len()).filter(|&h| h != host) {
                    let event = Event::Poisoned { fingerprint, until };
                    self.events.schedule(at, SimEvent::Feed { host: other, event });
                }
            }
            Effect::Wake { at } => {
                let at = at.max(self.now + Ms(1));
                if self.hosts[host].wake != at && at < Ms::MAX {
                    self.hosts[host].wake = at;
                    self.events.schedule(at, SimEvent::Feed { host, event: Event::Tick });
                }
            }
        }
    }
}

/// Identifier of the request with this number.
pub(crate) fn request_id(number: usize) -> RequestId {
    RequestId::from_u128(number as u128)
}

/// Number of the request with this identifier.
pub(crate) fn index(request: RequestId) -> usize {
    request.0.as_u128() as usize
}
