//! The two example deployments, and the service times and latencies of the simulation.

use base::{DomainId, Generation, HostId, Ms, TargetId};
use conf::{Fleet, ParseError, Plan, PoolKind};
use std::sync::Arc;

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.yaml");
const PUBLISHER: &str = include_str!("../../../examples/casing-and-quill.yaml");

/// One of the deployments in `examples/`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// `cooperative.yaml`: weighs attainment more than cost.
    Cooperative,
    /// `casing-and-quill.yaml`: weighs cost more than attainment.
    Publisher,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Cooperative, Self::Publisher];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cooperative => "cooperative",
            Self::Publisher => "casing-and-quill",
        }
    }

    /// Looks a deployment up by its name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|d| d.as_str() == name)
    }

    /// The deployment's configuration with the default times.
    pub fn model(self) -> Result<Model, ParseError> {
        self.with_times(Times::default())
    }

    /// The deployment's configuration with the given times.
    pub fn with_times(self, times: Times) -> Result<Model, ParseError> {
        let yaml = match self {
            Self::Cooperative => COOPERATIVE,
            Self::Publisher => PUBLISHER,
        };
        Model::new(Fleet::parse(yaml)?, times)
    }
}

/// Service times, latencies and capacities of the simulated system. The policy knows none of them.
#[derive(Clone, Debug)]
pub struct Times {
    /// Requests that an engine runs concurrently in one batch.
    pub engine_slots: u32,
    /// Calls that a target of another kind runs concurrently.
    pub other_slots: u32,
    /// Capacity of a target's queue; further requests are answered that the target is full.
    pub queue_capacity: usize,
    /// Time to generate one token in an otherwise idle engine, ms.
    pub token_ms: f64,
    /// Time to process one prompt token, ms.
    pub prefill_ms: f64,
    /// Factor by which all work slows down when every slot is in use.
    pub full_slowdown: f64,
    /// Mean time of a call to a target that isn't an engine, ms; drawn from 0.5 to 1.5 times this.
    pub call_ms: f64,
    /// Tokens in each piece of a stream after the first.
    pub piece_tokens: u32,
    /// Prefixes that an engine's cache can hold.
    pub cache_capacity: usize,
    /// Share of the prompt that a cached prefix covers.
    pub prefix_share: f64,
    /// Share of executions that are stragglers, and the factor by which these take longer.
    pub straggle: (f64, f64),
    /// One-way latency between a caller and a host.
    pub client_ms: Ms,
    /// One-way latency inside a failure domain.
    pub local_ms: Ms,
    /// Time from the last data of a silent target until the host gives up on it.
    pub silence_ms: Ms,
    /// Time from a target's crash until it has restarted.
    pub restart_ms: Ms,
    /// Time from the start of a poison request until its target crashes.
    pub crash_ms: Ms,
    /// Time until the journal answers.
    pub journal_ms: Ms,
    /// Time until an update that a host sends has reached all others.
    pub gossip_ms: Ms,
    /// Time until the load balancer stops sending to the hosts of a lost failure domain.
    pub balancer_ms: Ms,
    /// Entry hosts in each failure domain.
    pub hosts: u32,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            engine_slots: 8,
            other_slots: 8,
            queue_capacity: 256,
            token_ms: 8.0,
            prefill_ms: 0.2,
            full_slowdown: 2.0,
            call_ms: 12.0,
            piece_tokens: 16,
            cache_capacity: 40,
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

/// A deployment ready for simulation.
#[derive(Clone, Debug)]
pub struct Model {
    /// The validated configuration, with the simulation's slots.
    pub plan: Arc<Plan>,
    /// Service times, latencies and capacities.
    pub times: Times,
    /// Failure domains in order of declaration.
    pub domains: Vec<DomainId>,
    /// Indexes of the engines among the plan's targets.
    pub engines: Vec<usize>,
    /// Index of each target's failure domain.
    pub target_domains: Vec<usize>,
    /// One-way latency between failure domains.
    links: Vec<Vec<Ms>>,
    /// Cost of transferring a gigabyte between failure domains; zero inside a region.
    prices: Vec<Vec<f64>>,
}

impl Model {
    /// Validates a configuration after replacing its slots by those of `times`.
    pub fn new(mut fleet: Fleet, times: Times) -> Result<Self, ParseError> {
        for pool in &mut fleet.pools {
            let slots = match pool.kind {
                PoolKind::Engine => times.engine_slots,
                PoolKind::Stage | PoolKind::Service => times.other_slots,
            };
            pool.targets.iter_mut().for_each(|t| t.slots = slots);
        }
        let plan = Arc::new(Plan::new(Generation(1), fleet)?);
        let region_domains: Vec<_> =
            plan.fleet.regions.iter().flat_map(|r| r.domains.iter().map(move |d| (r, d))).collect();
        let table = |f: &dyn Fn(usize, usize) -> f64| -> Vec<Vec<f64>> {
            let n = region_domains.len();
            (0..n).map(|a| (0..n).map(|b| f(a, b)).collect()).collect()
        };
        let crosses_region =
            |a: usize, b: usize| region_domains[a].0.name != region_domains[b].0.name;
        let links = table(&|a, b| match () {
            () if a == b => times.local_ms.0 as f64,
            () if crosses_region(a, b) => {
                region_domains[a].0.far_ms.max(region_domains[b].0.far_ms).0 as f64
            }
            () => region_domains[a].1.near_ms.max(region_domains[b].1.near_ms).0 as f64,
        });
        let prices =
            table(&|a, b| if crosses_region(a, b) { region_domains[a].0.cost_per_gb } else { 0.0 });
        let links = links.iter().map(|l| l.iter().map(|&ms| Ms(ms as u64)).collect()).collect();
        let domains: Vec<DomainId> = region_domains.iter().map(|(_, d)| d.name.clone()).collect();
        let home = |d: &DomainId| domains.iter().position(|x| x == d).unwrap_or(0);
        let target_domains = plan.targets.iter().map(|t| home(&t.domain)).collect();
        let engine = |i: &usize| plan.targets[*i].kind == PoolKind::Engine;
        let engines = (0..plan.targets.len()).filter(engine).collect();
        Ok(Self { plan: Arc::clone(&plan), times, domains, engines, target_domains, links, prices })
    }

    /// Entry hosts, each with the index of its failure domain.
    pub(crate) fn hosts(&self) -> Vec<(HostId, usize)> {
        let of = |d: usize| (1..=self.times.hosts).map(move |i| (d, i));
        let all = (0..self.domains.len()).flat_map(of);
        all.map(|(d, i)| (HostId::from(format!("{}-{i}", self.domains[d])), d)).collect()
    }

    /// One-way latency from one failure domain to another.
    pub(crate) fn link(&self, from: usize, to: usize) -> Ms {
        self.links[from][to]
    }

    /// Whether two failure domains lie in different regions.
    pub(crate) fn crosses(&self, from: usize, to: usize) -> bool {
        self.plan.region(&self.domains[from]) != self.plan.region(&self.domains[to])
    }

    /// Cost of transferring a gigabyte from one failure domain to another.
    pub(crate) fn price(&self, from: usize, to: usize) -> f64 {
        self.prices[from][to]
    }

    /// Index of a target that the policy names.
    pub(crate) fn target(&self, name: &TargetId) -> usize {
        self.plan.target(name).expect("a policy names only targets of the plan")
    }

    /// Work that all engines do per second with every slot in use, measured in ms of a request that
    /// runs alone.
    pub fn capacity(&self) -> f64 {
        let slots = self.engines.len() as f64 * f64::from(self.times.engine_slots);
        slots * 1000.0 / self.times.full_slowdown
    }

    /// Time of one request that runs alone in an engine without a cached prefix, ms.
    pub(crate) fn work(&self, tokens_in: u32, tokens_out: u32) -> f64 {
        f64::from(tokens_in) * self.times.prefill_ms + f64::from(tokens_out) * self.times.token_ms
    }
}
