//! A checked configuration, indexed for lookups at run time.

use base::{DomainId, Generation, ModelId, Ms, PipelineId, PoolId, RegionId, StageId, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

use crate::fleet::{Exception, Fleet, PoolKind};
use crate::{ParseError, Placement, Priority, check};

/// A configuration that passed all checks, with its references resolved to indexes.
///
/// Indexes are positions in this plan's vectors and are not valid for another plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "PlanFile", into = "PlanFile")]
pub struct Plan {
    /// Number of the accepted configuration.
    pub generation: Generation,
    /// The configuration that the plan was built from.
    pub fleet: Fleet,
    /// All targets of all pools.
    pub targets: Vec<PlanTarget>,
    /// Stages of each pipeline, in the order of [`Fleet::pipelines`].
    pub stages: Vec<Vec<PlanStage>>,
    targets_at: HashMap<TargetId, usize>,
    pipelines_at: HashMap<String, usize>,
    workspaces_at: HashMap<String, usize>,
    regions_of: HashMap<DomainId, RegionId>,
}

/// Serialized form of a plan: only what it was built from. Deserializing runs the checks again.
#[derive(Serialize, Deserialize)]
struct PlanFile {
    generation: Generation,
    fleet: Fleet,
}

impl From<Plan> for PlanFile {
    fn from(plan: Plan) -> Self {
        Self { generation: plan.generation, fleet: plan.fleet }
    }
}

impl TryFrom<PlanFile> for Plan {
    type Error = ParseError;
    fn try_from(file: PlanFile) -> Result<Self, ParseError> {
        Self::new(file.generation, file.fleet)
    }
}

/// A target together with the properties of its pool.
#[derive(Clone, Debug)]
pub struct PlanTarget {
    /// Its name.
    pub name: TargetId,
    /// Its pool.
    pub pool: PoolId,
    /// Kind of its pool.
    pub kind: PoolKind,
    /// Its failure domain.
    pub domain: DomainId,
    /// The region of that failure domain.
    pub region: RegionId,
    /// IP address and port.
    pub address: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Models that it can run.
    pub models: Vec<ModelId>,
}

/// A stage with the targets that can run it.
#[derive(Clone, Debug)]
pub struct PlanStage {
    /// Its name.
    pub name: StageId,
    /// The pool that runs it.
    pub pool: PoolId,
    /// The model that the target must be able to run.
    pub model: Option<ModelId>,
    /// False for work that must run at most once.
    pub repeatable: bool,
    /// True when the answer is streamed token by token.
    pub stream: bool,
    /// Maximum number of tokens that it generates.
    pub max_tokens: u32,
    /// Expected run time until measurements are available, ms.
    pub typical_ms: Ms,
    /// Minimum run time, ms.
    pub least_ms: Ms,
    /// Cost per call.
    pub cost_call: f64,
    /// Cost per thousand input tokens.
    pub cost_in: f64,
    /// Cost per thousand generated tokens.
    pub cost_out: f64,
    /// Targets that can run it, as indexes into [`Plan::targets`].
    pub targets: Vec<usize>,
}

/// The effective values for one workspace and pipeline, each with its source.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    /// Deadline, counted from a request's arrival, ms.
    pub deadline_ms: (Ms, Source),
    /// Priority of a request that gives none.
    pub priority: (Priority, Source),
    /// Where its stages may run.
    pub placement: (Placement, Source),
    /// Weight of the workspace.
    pub weight: (f64, Source),
}

/// The declaration that a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The fleet's default.
    Default,
    /// The pipeline's own value.
    Pipeline,
    /// The workspace's own value.
    Workspace,
    /// The named exception.
    Exception(String),
}

impl Plan {
    /// Parses and checks YAML; faults are reported with their lines.
    pub fn parse(generation: Generation, yaml: &str) -> Result<Self, ParseError> {
        let fleet = Fleet::parse(yaml)?;
        Self::new(generation, fleet).map_err(|err| err.locate(yaml))
    }

    /// Checks `fleet` and resolves its references. Every fault is reported, not only the first.
    pub fn new(generation: Generation, fleet: Fleet) -> Result<Self, ParseError> {
        let faults = check::faults(&fleet);
        if !faults.is_empty() {
            return Err(ParseError::Faults(faults));
        }
        let regions_of: HashMap<_, _> = fleet
            .regions
            .iter()
            .flat_map(|r| r.domains.iter().map(|d| (d.name.clone(), r.name.clone())))
            .collect();
        let targets: Vec<_> = fleet
            .pools
            .iter()
            .flat_map(|pool| pool.targets.iter().map(move |target| (pool, target)))
            .map(|(pool, target)| PlanTarget {
                name: target.name.clone(),
                pool: pool.name.clone(),
                kind: pool.kind,
                domain: target.domain.clone(),
                region: regions_of[&target.domain].clone(),
                address: target.address.clone(),
                slots: target.slots,
                models: target.models.clone(),
            })
            .collect();
        let stages = fleet
            .pipelines
            .iter()
            .map(|p| p.stages.iter().map(|s| plan_stage(&fleet, &targets, s)).collect())
            .collect();
        let targets_at = targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
        let pipelines_at =
            fleet.pipelines.iter().enumerate().map(|(i, p)| (p.name.to_string(), i)).collect();
        let workspaces_at =
            fleet.workspaces.iter().enumerate().map(|(i, w)| (w.name.to_string(), i)).collect();
        Ok(Self {
            generation,
            fleet,
            targets,
            stages,
            targets_at,
            pipelines_at,
            workspaces_at,
            regions_of,
        })
    }

    /// Index of a target.
    pub fn target(&self, name: &TargetId) -> Option<usize> {
        self.targets_at.get(name).copied()
    }

    /// Index of a pipeline.
    pub fn pipeline(&self, name: &str) -> Option<usize> {
        self.pipelines_at.get(name).copied()
    }

    /// Index of a workspace.
    pub fn workspace(&self, name: &str) -> Option<usize> {
        self.workspaces_at.get(name).copied()
    }

    /// The region of a failure domain.
    pub fn region(&self, domain: &DomainId) -> Option<&RegionId> {
        self.regions_of.get(domain)
    }

    /// Name of the pipeline at an index.
    pub fn pipeline_name(&self, pipeline: usize) -> &PipelineId {
        &self.fleet.pipelines[pipeline].name
    }

    /// Whether the pipeline has a stage that may not be repeated.
    pub fn has_unrepeatable(&self, pipeline: usize) -> bool {
        self.stages[pipeline].iter().any(|s| !s.repeatable)
    }

    /// The effective values at `now`, and the declaration that each comes from.
    ///
    /// If several exceptions match, one that names both workspace and pipeline takes precedence over
    /// one that names fewer; among equals, the later in the list does.
    pub fn effective(&self, workspace: usize, pipeline: usize, now: Ms) -> Effective {
        let defaults = &self.fleet.defaults;
        let space = &self.fleet.workspaces[workspace];
        let pipe = &self.fleet.pipelines[pipeline];
        let base_source = |set: bool| if set { Source::Pipeline } else { Source::Default };
        let mut out = Effective {
            deadline_ms: (
                pipe.deadline_ms.unwrap_or(defaults.deadline_ms),
                base_source(pipe.deadline_ms.is_some()),
            ),
            priority: (
                pipe.priority.unwrap_or(defaults.priority),
                base_source(pipe.priority.is_some()),
            ),
            placement: (
                pipe.placement.unwrap_or(defaults.placement),
                base_source(pipe.placement.is_some()),
            ),
            weight: (space.weight, Source::Workspace),
        };
        let mut matching: Vec<&Exception> = self
            .fleet
            .exceptions
            .iter()
            .filter(|e| e.workspace.as_ref().is_none_or(|w| *w == space.name))
            .filter(|e| e.pipeline.as_ref().is_none_or(|p| *p == pipe.name))
            .filter(|e| e.until_ms.is_none_or(|until| now < until))
            .collect();
        matching.sort_by_key(|e| u8::from(e.workspace.is_some()) + u8::from(e.pipeline.is_some()));
        for e in matching {
            let source = || Source::Exception(e.name.clone());
            if let Some(v) = e.deadline_ms {
                out.deadline_ms = (v, source());
            }
            if let Some(v) = e.priority {
                out.priority = (v, source());
            }
            if let Some(v) = e.placement {
                out.placement = (v, source());
            }
            if let Some(v) = e.weight {
                out.weight = (v, source());
            }
        }
        out
    }
}

fn plan_stage(fleet: &Fleet, targets: &[PlanTarget], stage: &crate::Stage) -> PlanStage {
    let pool = fleet.pools.iter().find(|p| p.name == stage.pool);
    let model = fleet.models.iter().find(|m| Some(&m.name) == stage.model.as_ref());
    PlanStage {
        name: stage.name.clone(),
        pool: stage.pool.clone(),
        model: stage.model.clone(),
        repeatable: stage.repeatable,
        stream: stage.stream,
        max_tokens: stage.max_tokens,
        typical_ms: stage.typical_ms,
        least_ms: stage.least_ms,
        cost_call: pool.map_or(0.0, |p| p.cost_call),
        cost_in: model.map_or(0.0, |m| m.cost_in),
        cost_out: model.map_or(0.0, |m| m.cost_out),
        targets: targets
            .iter()
            .enumerate()
            .filter(|(_, t)| t.pool == stage.pool)
            .filter(|(_, t)| stage.model.as_ref().is_none_or(|m| t.models.contains(m)))
            .map(|(i, _)| i)
            .collect(),
    }
}
