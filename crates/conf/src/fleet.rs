//! The fleet's configuration as operators declare it, in YAML files under version control.

use base::{DomainId, ModelId, Ms, PipelineId, PoolId, RegionId, StageId, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::{Defaults, ParseError, Placement, Priority};

/// The configuration that applies to all hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the deployment, shown in logs and audit records.
    pub deployment: String,
    /// Weight of cost against attainment, from 0 (only attainment counts) to 1 (only cost counts). It
    /// sets how much time a transfer between regions must save.
    pub cost_weight: f64,
    /// Defaults that apply unless a pipeline or exception overrides them.
    #[serde(default)]
    pub defaults: Defaults,
    /// Regions and their failure domains.
    pub regions: Vec<Region>,
    /// Models that engines may load.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Pools of interchangeable targets.
    pub pools: Vec<Pool>,
    /// Workspaces whose requests are served.
    pub workspaces: Vec<Workspace>,
    /// Pipelines that callers may request.
    pub pipelines: Vec<Pipeline>,
    /// Deviations from the defaults, each with a written reason.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

impl Fleet {
    /// Parses YAML and refuses unknown fields. [`crate::Plan::new`] checks the content.
    pub fn parse(yaml: &str) -> Result<Self, ParseError> {
        serde_saphyr::from_str(yaml).map_err(|err| ParseError::from_parser(err, yaml))
    }

    /// Serializes the configuration as YAML.
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("a configuration can be serialized")
    }
}

/// A region: failure domains with short links between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its name.
    pub name: RegionId,
    /// One-way latency to the other regions, ms. Default 30.
    #[serde(default = "far_ms")]
    pub far_ms: Ms,
    /// Cost per gigabyte sent to another region, in the configuration's unit of cost. Default 1.
    #[serde(default = "one")]
    pub cost_per_gb: f64,
    /// Its failure domains.
    pub domains: Vec<Domain>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Its name.
    pub name: DomainId,
    /// One-way latency to the region's other failure domains, ms. Default 1.
    #[serde(default = "near_ms")]
    pub near_ms: Ms,
}

/// A model that engines load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name.
    pub name: ModelId,
    /// Cost per thousand input tokens, in the configuration's unit of cost. Default 0.
    #[serde(default)]
    pub cost_in: f64,
    /// Cost per thousand generated tokens. Default 0.
    #[serde(default)]
    pub cost_out: f64,
}

/// Kind of a pool's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines: they batch, cache prefixes and stream.
    Engine,
    /// Encoders, retrievers or rerankers.
    Stage,
    /// Other services; some of their calls may not be repeated.
    Service,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Its name.
    pub name: PoolId,
    /// Kind of its targets.
    pub kind: PoolKind,
    /// Cost per call, in the configuration's unit of cost. Default 0.
    #[serde(default)]
    pub cost_call: f64,
    /// Whether its targets refuse an order with an outdated fencing token. Default false.
    #[serde(default)]
    pub checks_fence: bool,
    /// Its targets.
    pub targets: Vec<Target>,
}

/// One target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name, unique in the fleet.
    pub name: TargetId,
    /// Its failure domain.
    pub domain: DomainId,
    /// IP address and port.
    pub address: String,
    /// Requests that it runs concurrently. Default 8.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Models that it can run; empty in pools without models.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelId>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its share of scarce capacity, relative to the weights of the other workspaces. Default 1.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A pipeline: a sequence of stages with one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Its name, as used by callers.
    pub name: PipelineId,
    /// Deadline of a request, counted from its arrival, ms. Default: the fleet's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Ms>,
    /// Priority of a request that gives none. Default: the fleet's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Where its stages may run. Default: the fleet's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Its stages, in order.
    pub stages: Vec<Stage>,
}

/// One stage of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Its name, unique in the pipeline.
    pub name: StageId,
    /// The pool that runs it.
    pub pool: PoolId,
    /// The model that the target must be able to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// False for work that must run at most once, such as a sign-off or an order. Default true.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// True when the answer is streamed token by token. Default false.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens that it generates. Default 256.
    #[serde(default = "max_tokens")]
    pub max_tokens: u32,
    /// Expected run time until measurements are available, ms. Default 50.
    #[serde(default = "typical_ms")]
    pub typical_ms: Ms,
    /// Minimum run time, ms. Default 1.
    #[serde(default = "least_ms")]
    pub least_ms: Ms,
}

/// A deviation from the defaults, with its reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Its name, shown by `explain`.
    pub name: String,
    /// Why it is needed. Must not be empty.
    #[serde(default)]
    pub reason: String,
    /// Applies to this workspace only; to all when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// Applies to this pipeline only; to all when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pipeline: Option<PipelineId>,
    /// When it expires, ms since the Unix epoch; never when missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<Ms>,
    /// Deadline that replaces the default, ms.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<Ms>,
    /// Priority that replaces the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Placement that replaces the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// Weight that replaces the workspace's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

fn far_ms() -> Ms {
    Ms(30)
}
fn near_ms() -> Ms {
    Ms(1)
}
fn typical_ms() -> Ms {
    Ms(50)
}
fn least_ms() -> Ms {
    Ms(1)
}
fn one() -> f64 {
    1.0
}
fn slots() -> u32 {
    8
}
fn yes() -> bool {
    true
}
fn max_tokens() -> u32 {
    256
}
