//! A configuration with its names interned, as one host sees it.

use base::{DomainId, ModelId, Ms, PoolId, TargetId, WorkspaceId};
use conf::{Placement, Plan, PlanStage, PlanTarget, PoolKind};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::sync::Arc;

use crate::HostContext;
use crate::route::{self, Crossing, SUBSET, Tiers};
use crate::target::Tier;

/// Placements, which wait in lines of their own: one that can't cross must not hold up others.
const PLACEMENTS: u32 = 3;

/// Numbers for names, the same over all configurations.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) targets: Numbers<TargetId>,
    pub(crate) domains: Numbers<DomainId>,
    pub(crate) zones: Numbers<(DomainId, PoolId)>,
    pub(crate) kinds: Numbers<(PoolId, Option<ModelId>)>,
    pub(crate) spaces: Numbers<WorkspaceId>,
}

/// Numbers for names of one sort.
#[derive(Debug)]
pub(crate) struct Numbers<T>(HashMap<T, u32>);

impl<T> Default for Numbers<T> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<T: Eq + Hash> Numbers<T> {
    pub(crate) fn number(&mut self, name: T) -> u32 {
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

/// A configuration as one host sees it.
pub(crate) struct View {
    pub(crate) plan: Arc<Plan>,
    /// Stages of each pipeline.
    pub(crate) stages: Vec<Vec<Stage>>,
    /// Numbers of the plan's targets, in its order.
    pub(crate) targets: Vec<u32>,
    /// Numbers of the plan's workspaces, in its order.
    pub(crate) spaces: Vec<u32>,
    /// Placements that any request may have.
    pub(crate) placements: BTreeSet<Placement>,
    /// Failure domains.
    pub(crate) domains: u32,
    /// Mean weight of a workspace.
    pub(crate) weight: f64,
    /// Time that a crossing between regions must gain, ms.
    pub(crate) crossing: Crossing,
}

/// A stage of a pipeline.
pub(crate) struct Stage {
    /// What it needs: a pool and a model.
    pub(crate) kind: u32,
    pub(crate) tiers: Arc<Tiers>,
    pub(crate) repeatable: bool,
    /// Whether engines run it, whose time goes with the tokens generated.
    pub(crate) engine: bool,
    pub(crate) max_tokens: u32,
    /// What it takes when nothing is learned yet, ms.
    pub(crate) typical: f64,
    /// What it takes at the very least, ms.
    pub(crate) least: f64,
}

/// Number of the line in which work of a kind waits.
pub(crate) fn line(kind: u32, placement: Placement) -> u32 {
    kind * PLACEMENTS + placement as u32
}

/// Lines that there can be of so many kinds.
pub(crate) fn lines(kinds: usize) -> usize {
    kinds * PLACEMENTS as usize
}

impl View {
    pub(crate) fn new(plan: Arc<Plan>, placed: &HostContext, names: &mut Names) -> Self {
        let targets: Vec<u32> =
            plan.targets.iter().map(|t| names.targets.number(t.name.clone())).collect();
        let spaces: Vec<u32> =
            plan.fleet.workspaces.iter().map(|w| names.spaces.number(w.name.clone())).collect();
        let mut tiers: HashMap<u32, Arc<Tiers>> = HashMap::new();
        let mut stage = |s: &PlanStage| {
            let kind = names.kinds.number((s.pool.clone(), s.model.clone()));
            let tiers =
                tiers.entry(kind).or_insert_with(|| Arc::new(split(&plan, &targets, placed, s)));
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
        let home = fleet.regions.iter().find(|r| r.name == placed.region);
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
            weight: weights / spaces.len().max(1) as f64,
            spaces,
            crossing: Crossing::new(far, cost, fleet.cost_weight),
            plan,
        }
    }
}

/// The tier of a target.
pub(crate) fn tier(target: &PlanTarget, placed: &HostContext) -> Tier {
    route::tier(target.domain == placed.domain, target.region == placed.region)
}

/// The targets of a stage by tier, and of each tier this host's subset: rendezvous hashing
/// spreads the hosts evenly, and few change when a target goes.
fn split(plan: &Plan, numbers: &[u32], placed: &HostContext, stage: &PlanStage) -> Tiers {
    let mut tiers = Tiers::default();
    for tier_now in [Tier::Domain, Tier::Region, Tier::Far] {
        let all = stage.targets.iter().copied();
        let mut here: Vec<usize> =
            all.filter(|&t| tier(&plan.targets[t], placed) == tier_now).collect();
        if here.len() > SUBSET {
            let host = placed.host.as_str().as_bytes();
            here.sort_by_cached_key(|&t| {
                base::hash_parts(&[host, plan.targets[t].name.as_str().as_bytes()])
            });
            here.truncate(SUBSET);
            here.sort_unstable();
        }
        tiers[tier_now as usize] = here.into_iter().map(|t| numbers[t]).collect();
    }
    tiers
}
