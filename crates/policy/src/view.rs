//! A configuration with interned names, as seen by one host.

use base::{DomainId, ModelId, Ms, PoolId, TargetId, WorkspaceId};
use conf::{Placement, Plan, PlanStage, PlanTarget, PoolKind};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use crate::HostContext;
use crate::route::{self, Crossing, SUBSET_SIZE, Tiers};
use crate::target::Tier;

/// Number of placements. Each placement has its own queue, so that a request that must stay in its
/// region does not hold up others.
const PLACEMENTS: u32 = 3;

/// Interned names. The numbers stay the same across configurations.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) targets: Interner<TargetId>,
    pub(crate) domains: Interner<DomainId>,
    pub(crate) domain_pools: Interner<(DomainId, PoolId)>,
    pub(crate) kinds: Interner<(PoolId, Option<ModelId>)>,
    pub(crate) workspaces: Interner<WorkspaceId>,
}

/// Assigns consecutive numbers to names of one type.
#[derive(Debug)]
pub(crate) struct Interner<T>(HashMap<T, u32>);

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T: Eq + Hash> Interner<T> {
    pub(crate) fn intern(&mut self, name: T) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name).or_insert(next)
    }

    pub(crate) fn find(&self, name: &T) -> Option<u32> {
        self.0.get(name).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

/// A configuration as seen by one host.
pub(crate) struct View {
    pub(crate) plan: Arc<Plan>,
    /// Stages of each pipeline.
    pub(crate) stages: Vec<Vec<Stage>>,
    /// Numbers of the plan's targets, in the plan's order.
    pub(crate) targets: Vec<u32>,
    /// Numbers of the plan's workspaces, in the plan's order.
    pub(crate) workspaces: Vec<u32>,
    /// Placements that a request may have.
    pub(crate) placements: BTreeSet<Placement>,
    /// Number of failure domains.
    pub(crate) domains: u32,
    /// Mean weight of the workspaces.
    pub(crate) weight: f64,
    /// Time and cost of a call to another region.
    pub(crate) crossing: Crossing,
}

/// A stage of a pipeline.
pub(crate) struct Stage {
    /// Number of its kind, which is a pool and a model.
    pub(crate) kind: u32,
    pub(crate) tiers: Arc<Tiers>,
    pub(crate) repeatable: bool,
    /// Whether engines run it. Its duration then depends on the number of generated tokens.
    pub(crate) engine: bool,
    pub(crate) max_tokens: u32,
    /// Duration to assume until one has been learned, ms.
    pub(crate) typical: f64,
    /// Minimum duration, ms.
    pub(crate) least: f64,
}

/// Number of the queue for work of a given kind and placement.
pub(crate) fn queue_id(kind: u32, placement: Placement) -> u32 {
    kind * PLACEMENTS + placement as u32
}

/// Number of queues for a given number of kinds.
pub(crate) fn queue_count(kinds: usize) -> usize {
    kinds * PLACEMENTS as usize
}

impl View {
    pub(crate) fn new(plan: Arc<Plan>, host_context: &HostContext, names: &mut Names) -> Self {
        let targets: Vec<u32> =
            plan.targets.iter().map(|t| names.targets.intern(t.name.clone())).collect();
        let workspaces: Vec<u32> =
            plan.fleet.workspaces.iter().map(|w| names.workspaces.intern(w.name.clone())).collect();
        let mut tiers: HashMap<u32, Arc<Tiers>> = HashMap::new();
        let mut stage = |s: &PlanStage| {
            let kind = names.kinds.intern((s.pool.clone(), s.model.clone()));
            let tiers = tiers
                .entry(kind)
                .or_insert_with(|| Arc::new(split(&plan, &targets, host_context, s)));
            Stage {
                kind,
                tiers: tiers.clone(),
                repeatable: s.repeatable,
                engine: s.targets.iter().any(|&t| plan.targets[t].kind == PoolKind::Engine),
                max_tokens: s.max_tokens,
                typical: s.typical_ms.0 as f64,
                least: s.least_ms.0 as f64,
            }
        };
        let stages = plan.stages.iter().map(|p| p.iter().map(&mut stage).collect()).collect();
        let fleet = &plan.fleet;
        let home = fleet.regions.iter().find(|r| r.name == host_context.region);
        let (far, cost) = home.map_or((Ms(30), 1.0), |r| (r.far_ms, r.cost_per_gb));
        let weights: f64 = fleet.workspaces.iter().map(|w| w.weight).sum();
        let own = fleet.pipelines.iter().filter_map(|p| p.placement);
        let other = fleet.exceptions.iter().filter_map(|e| e.placement);
        let placements = own.chain(other).chain([fleet.defaults.placement]).collect();
        Self {
            stages,
            placements,
            targets,
            domains: fleet.regions.iter().map(|r| r.domains.len() as u32).sum(),
            weight: weights / workspaces.len().max(1) as f64,
            workspaces,
            crossing: Crossing::new(far, cost, fleet.cost_weight),
            plan,
        }
    }
}

/// Tier of a target.
pub(crate) fn tier(target: &PlanTarget, host_context: &HostContext) -> Tier {
    route::tier(target.domain == host_context.domain, target.region == host_context.region)
}

/// The targets of a stage by tier. In each tier the host uses a subset of at most [`SUBSET_SIZE`]
/// targets. Rendezvous hashing spreads the hosts evenly over the targets and changes few subsets
/// when a target is removed.
fn split(plan: &Plan, ids: &[u32], host_context: &HostContext, stage: &PlanStage) -> Tiers {
    let mut tiers = Tiers::default();
    for tier_now in [Tier::Domain, Tier::Region, Tier::Far] {
        let all = stage.targets.iter().copied();
        let mut here: Vec<usize> =
            all.filter(|&t| tier(&plan.targets[t], host_context) == tier_now).collect();
        if here.len() > SUBSET_SIZE {
            let host = host_context.host.as_str().as_bytes();
            here.sort_by_cached_key(|&t| {
                base::hash_parts(&[host, plan.targets[t].name.as_str().as_bytes()])
            });
            here.truncate(SUBSET_SIZE);
            here.sort_unstable();
        }
        tiers[tier_now as usize] = here.into_iter().map(|t| ids[t]).collect();
    }
    tiers
}
