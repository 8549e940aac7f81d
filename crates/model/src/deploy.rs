//! The two deployments, and how long their targets and links take in the model.

use base::{DomainId, Generation, HostId, Ms, TargetId};
use conf::{Fleet, ParseError, Plan, PoolKind};
use std::sync::Arc;

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.yaml");
const PUBLISHER: &str = include_str!("../../../examples/casing-and-quill.yaml");

/// One of the deployments in `examples/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// `cooperative.yaml`: attainment weighs more.
    Cooperative,
    /// `casing-and-quill.yaml`: cost weighs more.
    Publisher,
}

impl Deployment {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Cooperative, Self::Publisher];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cooperative => "cooperative",
            Self::Publisher => "casing-and-quill",
        }
    }

    /// The deployment of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|d| d.as_str() == name)
    }

    /// Its configuration, as the model serves it.
    pub fn model(self) -> Result<Model, ParseError> {
        self.with_times(Times::default())
    }

    /// The same with other times.
    pub fn with_times(self, times: Times) -> Result<Model, ParseError> {
        let yaml = match self {
            Self::Cooperative => COOPERATIVE,
            Self::Publisher => PUBLISHER,
        };
        Model::new(Fleet::parse(yaml)?, times)
    }
}

/// How long things take. Nothing in it is known to the policy.
#[derive(Clone, Debug)]
pub struct Times {
    /// Requests that an engine batches at once.
    pub engine_slots: u32,
    /// Calls that a target of another kind runs at once.
    pub other_slots: u32,
    /// Requests that wait at a target before it answers that it is full.
    pub queue_room: usize,
    /// Time of one token in an engine that runs nothing else, ms.
    pub token_ms: f64,
    /// Time to read one prompt token, ms.
    pub prefill_ms: f64,
    /// How many times slower all of it is when every slot is taken.
    pub crowded: f64,
    /// Time of a call to a target that is no engine, ms, half to one and a half times this.
    pub call_ms: f64,
    /// Tokens between two pieces of a stream.
    pub piece_tokens: u32,
    /// Prefixes that an engine holds.
    pub cache_room: usize,
    /// Share of the prompt that a prefix key covers.
    pub prefix_share: f64,
    /// Share of executions that straggle, and how many times longer they take.
    pub straggle: (f64, f64),
    /// One way between a caller and a host.
    pub client_ms: Ms,
    /// One way inside a failure domain.
    pub local_ms: Ms,
    /// From the last sign of a silent target to the host's giving up on it.
    pub silence_ms: Ms,
    /// From a crash to the restarted target.
    pub restart_ms: Ms,
    /// From a request that crashes its target to the crash.
    pub crash_ms: Ms,
    /// Answer of the journal.
    pub journal_ms: Ms,
    /// A host's word to all others.
    pub gossip_ms: Ms,
    /// Until the balancer sends nothing more to the hosts of a lost failure domain.
    pub balancer_ms: Ms,
    /// Entry hosts in each failure domain.
    pub hosts: u32,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            engine_slots: 8,
            other_slots: 8,
            queue_room: 256,
            token_ms: 8.0,
            prefill_ms: 0.2,
            crowded: 2.0,
            call_ms: 12.0,
            piece_tokens: 16,
            cache_room: 40,
            prefix_share: 0.7,
            straggle: (0.005, 6.0),
            client_ms: Ms(2),
            local_ms: Ms(1),
            silence_ms: Ms(2_000),
            restart_ms: Ms::secs(5),
            crash_ms: Ms(100),
            journal_ms: Ms(6),
            gossip_ms: Ms(1_000),
            balancer_ms: Ms(1_000),
            hosts: 2,
        }
    }
}

/// A deployment ready to run.
#[derive(Clone, Debug)]
pub struct Model {
    /// The checked configuration, with the model's slots.
    pub plan: Arc<Plan>,
    /// How long things take.
    pub times: Times,
    /// Failure domains, in order of declaration.
    pub domains: Vec<DomainId>,
    /// Indexes of the engines in the plan's targets.
    pub engines: Vec<usize>,
    /// Failure domain of each of the plan's targets, as an index.
    pub homes: Vec<usize>,
    /// One way between failure domains.
    links: Vec<Vec<Ms>>,
    /// Cost of a gigabyte from one failure domain to another; zero inside a region.
    prices: Vec<Vec<f64>>,
}

impl Model {
    /// A configuration with the model's slots in place of its own.
    pub fn new(mut fleet: Fleet, times: Times) -> Result<Self, ParseError> {
        for pool in &mut fleet.pools {
            let slots = match pool.kind {
                PoolKind::Engine => times.engine_slots,
                PoolKind::Stage | PoolKind::Service => times.other_slots,
            };
            pool.targets.iter_mut().for_each(|t| t.slots = slots);
        }
        let plan = Arc::new(Plan::new(Generation(1), fleet)?);
        let places: Vec<_> =
            plan.fleet.regions.iter().flat_map(|r| r.domains.iter().map(move |d| (r, d))).collect();
        let table = |f: &dyn Fn(usize, usize) -> f64| -> Vec<Vec<f64>> {
            let n = places.len();
            (0..n).map(|a| (0..n).map(|b| f(a, b)).collect()).collect()
        };
        let apart = |a: usize, b: usize| places[a].0.name != places[b].0.name;
        let links = table(&|a, b| match () {
            () if a == b => times.local_ms.0 as f64,
            () if apart(a, b) => places[a].0.far_ms.max(places[b].0.far_ms).0 as f64,
            () => places[a].1.near_ms.max(places[b].1.near_ms).0 as f64,
        });
        let prices = table(&|a, b| if apart(a, b) { places[a].0.cost_per_gb } else { 0.0 });
        let links = links.iter().map(|l| l.iter().map(|&ms| Ms(ms as u64)).collect()).collect();
        let domains: Vec<DomainId> = places.iter().map(|(_, d)| d.name.clone()).collect();
        let home = |d: &DomainId| domains.iter().position(|x| x == d).unwrap_or(0);
        let homes = plan.targets.iter().map(|t| home(&t.domain)).collect();
        let engine = |i: &usize| plan.targets[*i].kind == PoolKind::Engine;
        let engines = (0..plan.targets.len()).filter(engine).collect();
        Ok(Self { plan: Arc::clone(&plan), times, domains, engines, homes, links, prices })
    }

    /// Entry hosts, with the failure domain of each.
    pub(crate) fn hosts(&self) -> Vec<(HostId, usize)> {
        let of = |d: usize| (1..=self.times.hosts).map(move |i| (d, i));
        let all = (0..self.domains.len()).flat_map(of);
        all.map(|(d, i)| (HostId::from(format!("{}-{i}", self.domains[d])), d)).collect()
    }

    /// One way from a failure domain to another.
    pub(crate) fn link(&self, from: usize, to: usize) -> Ms {
        self.links[from][to]
    }

    /// Whether two failure domains lie in different regions.
    pub(crate) fn crosses(&self, from: usize, to: usize) -> bool {
        self.plan.region(&self.domains[from]) != self.plan.region(&self.domains[to])
    }

    /// Cost of a gigabyte from one failure domain to another.
    pub(crate) fn price(&self, from: usize, to: usize) -> f64 {
        self.prices[from][to]
    }

    /// Index of a target that the policy names.
    pub(crate) fn target(&self, name: &TargetId) -> usize {
        self.plan.target(name).expect("a policy names only targets of the plan")
    }

    /// Work of the engines in a second with every slot taken, ms of a lone request.
    pub fn capacity(&self) -> f64 {
        let slots = self.engines.len() as f64 * f64::from(self.times.engine_slots);
        slots * 1000.0 / self.times.crowded
    }

    /// Work of one request in an engine, ms, without any cached prefix.
    pub(crate) fn work(&self, tokens_in: u32, tokens_out: u32) -> f64 {
        f64::from(tokens_in) * self.times.prefill_ms + f64::from(tokens_out) * self.times.token_ms
    }
}
