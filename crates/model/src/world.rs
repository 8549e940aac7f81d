//! The run itself: virtual time, entry hosts with their reducers, callers and the journal.

use base::{Attempt, Ms, RequestId};
use policy::{Effect, Event, HostContext, Reducer};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{HashMap, HashSet};

use crate::callers::Record;
use crate::job::Job;
use crate::load::{Call, calls};
use crate::outcome::{Broken, Tally, WARM};
use crate::queue::{Agenda, Happening};
use crate::server::Server;
use crate::{Line, Model, Outcome, Policy, Script};

/// Virtual time at which a run starts, so that "long ago" exists.
pub(crate) const START: Ms = Ms::secs(1_000);
/// Time between a host's ticks.
const TICK: Ms = Ms(100);
/// What is open this long after the last arrival is never answered.
const TAIL: Ms = Ms::secs(30);

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// What is served.
    pub model: &'a Model,
    /// What is sent and what fails.
    pub script: &'a Script,
    /// What the hosts decide by.
    pub policy: Policy,
    /// Seed of arrivals, times and reducers.
    pub seed: u64,
}

/// Plays a run to its end.
pub fn run(run: Run<'_>) -> Outcome {
    World::new(run).play()
}

impl Run<'_> {
    /// Plays the run and keeps what the first host was told, for [`crate::replay`].
    pub fn record(self) -> Vec<Line> {
        let mut world = World::new(self);
        world.log = Some(vec![Line::Placed { placed: world.hosts[0].placed.clone() }]);
        world.drive();
        world.log.unwrap_or_default()
    }
}

/// An entry host.
pub(crate) struct Host {
    pub placed: HostContext,
    pub reducer: Box<dyn Reducer>,
    /// Index of its failure domain.
    pub domain: usize,
    /// Targets that it was told are leaving.
    pub leaving: HashSet<usize>,
    /// When it was told to stop.
    pub drained: Option<Ms>,
    /// Whether the balancer knows it.
    pub listed: bool,
    /// The last timer that it asked for.
    wake: Ms,
}

/// One request at one host.
#[derive(Debug)]
pub(crate) struct Open {
    pub call: usize,
    pub host: usize,
    pub arrived: Ms,
    pub answered: bool,
    /// Stages whose result the host has.
    pub done: usize,
    /// Whether a piece of a stream came.
    pub piece: bool,
    /// Tokens of the current stage that the host holds.
    pub held: u32,
    /// Attempts of a stage that may not be repeated which may have run.
    pub exposed: u32,
}

/// Everything that a run holds.
pub(crate) struct World<'a> {
    pub model: &'a Model,
    pub script: &'a Script,
    pub now: Ms,
    pub agenda: Agenda,
    pub rng: ChaCha8Rng,
    pub hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub jobs: Vec<Job>,
    pub attempts: HashMap<(RequestId, Attempt), usize>,
    pub requests: Vec<Open>,
    pub calls: Vec<Call>,
    pub tally: Tally,
    /// Failure domains that are cut off.
    pub lost: Vec<bool>,
    /// Failure domains whose hosts the balancer leaves out.
    pub avoided: Vec<bool>,
    pub seed: u64,
    /// Times that each call was sent.
    pub tries: Vec<u32>,
    pub keys: HashMap<usize, Record>,
    /// Arrivals that are still to come, and requests that are open.
    pub pending: usize,
    log: Option<Vec<Line>>,
}

impl<'a> World<'a> {
    fn new(run: Run<'a>) -> Self {
        let Run { model, script, policy, seed } = run;
        let mut calls = calls(model, script, seed);
        for call in &mut calls {
            (call.at, call.due) = (call.at + START, call.due + START);
        }
        let plan = &model.plan;
        let host = |(id, domain): (base::HostId, usize)| {
            let name = model.domains[domain].clone();
            let region = plan.region(&name).expect("every domain has a region").clone();
            let placed = HostContext { host: id, domain: name, region, seed };
            let reducer = policy.reducer(placed.clone());
            Host {
                placed,
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
            agenda: Agenda::default(),
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
        world.plan_ahead();
        world
    }

    fn plan_ahead(&mut self) {
        for host in 0..self.hosts.len() {
            let config = Event::Config(self.model.plan.clone());
            self.agenda.at(START, Happening::Feed { host, event: config });
            let event = Event::Hosts { live: self.model.times.hosts };
            self.agenda.at(START, Happening::Feed { host, event });
            self.agenda.at(START + Ms(host as u64), Happening::Tick { host });
        }
        for (call, sent) in self.calls.iter().enumerate() {
            let at = sent.at + self.model.times.client_ms;
            self.agenda.at(at, Happening::Arrive { call });
        }
        for &(at, change) in &self.script.changes {
            self.agenda.at(START + at, Happening::Change(change));
        }
        self.agenda.at(START, Happening::Report);
    }

    fn play(mut self) -> Outcome {
        self.drive();
        let open = (0..self.requests.len()).filter(|&i| !self.requests[i].answered);
        self.tally.broken.extend(open.map(|i| Broken::Unanswered(request_id(i))));
        self.tally.close(self.model, self.script.length - WARM)
    }

    fn drive(&mut self) {
        let end = START + self.script.length + TAIL;
        while let Some((at, what)) = self.agenda.pop() {
            if self.pending == 0 || at > end {
                break;
            }
            self.now = at;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive { call } => self.arrive(call),
            Happening::Feed { host, event } => self.feed(host, event),
            Happening::Tell { job, news } => self.tell(job, news),
            Happening::Reach { job } => self.reach(job),
            Happening::Step { job } => self.step(job),
            Happening::Stop { job } => self.stop(job),
            Happening::Restart { target } => self.restart(target),
            Happening::Tick { host } => {
                self.feed(host, Event::Tick);
                self.agenda.at(self.now + TICK, Happening::Tick { host });
            }
            Happening::Report => self.report(),
            Happening::Change(change) => self.change(change),
        }
    }

    /// Tells a host something, and carries out what it asks for.
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
                self.agenda.at(at, Happening::Feed { host, event });
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
                    self.agenda.at(at, Happening::Feed { host: other, event });
                }
            }
            Effect::Wake { at } => {
                let at = at.max(self.now + Ms(1));
                if self.hosts[host].wake != at && at < Ms::MAX {
                    self.hosts[host].wake = at;
                    self.agenda.at(at, Happening::Feed { host, event: Event::Tick });
                }
            }
        }
    }
}

/// The request with this number.
pub(crate) fn request_id(number: usize) -> RequestId {
    RequestId::from_u128(number as u128)
}

/// The number of a request.
pub(crate) fn index(request: RequestId) -> usize {
    request.0.as_u128() as usize
}
