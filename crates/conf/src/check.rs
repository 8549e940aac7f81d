//! The checks that a configuration must pass before it is accepted.

use base::{DomainId, ModelId, Ms, PipelineId, PoolId, WorkspaceId};
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::fleet::{Exception, Fleet, Pipeline, Stage};
use crate::{Fault, FaultKind, names};

/// Longest time span that is accepted: one day. Sums of spans then can't come near the type's
/// maximum.
const MAX_SPAN: Ms = Ms::secs(86_400);
/// Largest value that is accepted for a count, such as slots or queue length.
const MAX_COUNT: u32 = 1_000_000;

/// Returns every fault of `fleet`; empty when it is valid.
pub(crate) fn faults(fleet: &Fleet) -> Vec<Fault> {
    let mut out = FaultList::default();
    let declared = Declared::new(fleet);
    check_scalars(fleet, &mut out);
    names::check(fleet, &mut out);
    for pool in &fleet.pools {
        for t in &pool.targets {
            let path = format!("pools.{}.targets.{}", pool.name, t.name);
            out.declared(&format!("{path}.domain"), "failure domain", &t.domain, &declared.domains);
            for model in &t.models {
                out.declared(&format!("{path}.models"), "model", model, &declared.models);
            }
            out.range(&format!("{path}.slots"), (1..=MAX_COUNT).contains(&t.slots), "1 to 1000000");
            let valid = t.address.parse::<SocketAddr>().is_ok_and(|a| a.port() != 0);
            out.range(&format!("{path}.address"), valid, "an IP number and a port above 0");
        }
    }
    for pipeline in &fleet.pipelines {
        check_pipeline(fleet, pipeline, &declared, &mut out);
    }
    for exception in &fleet.exceptions {
        check_exception(fleet, exception, &declared, &mut out);
    }
    out.faults
}

struct Declared<'a> {
    domains: HashSet<&'a DomainId>,
    models: HashSet<&'a ModelId>,
    pools: HashSet<&'a PoolId>,
    workspaces: HashSet<&'a WorkspaceId>,
    pipelines: HashSet<&'a PipelineId>,
}

impl<'a> Declared<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        Self {
            domains: fleet.regions.iter().flat_map(|r| &r.domains).map(|d| &d.name).collect(),
            models: fleet.models.iter().map(|m| &m.name).collect(),
            pools: fleet.pools.iter().map(|p| &p.name).collect(),
            workspaces: fleet.workspaces.iter().map(|w| &w.name).collect(),
            pipelines: fleet.pipelines.iter().map(|p| &p.name).collect(),
        }
    }
}

/// Collects the faults that the checks find.
#[derive(Default)]
pub(crate) struct FaultList {
    faults: Vec<Fault>,
}

impl FaultList {
    pub(crate) fn add(&mut self, field: &str, kind: FaultKind) {
        self.faults.push(Fault { field: field.to_owned(), line: None, kind });
    }

    fn range(&mut self, field: &str, valid: bool, range: &'static str) {
        if !valid {
            self.add(field, FaultKind::Range(range));
        }
    }

    /// Checks the time span of a request or stage.
    fn span(&mut self, field: &str, span: Ms) {
        self.range(field, (Ms(1)..=MAX_SPAN).contains(&span), "1 to 86400000, one day");
    }

    fn cost(&mut self, field: &str, cost: f64) {
        self.range(field, (0.0..=1e9).contains(&cost), "0 to 1000000000");
    }

    /// Checks a weight. Weights are summed; the upper limit keeps the sum finite.
    fn weight(&mut self, field: &str, weight: f64) {
        self.range(field, weight > 0.0 && weight <= 1e6, "above 0, at most 1000000");
    }

    fn not_empty(&mut self, field: &str, empty: bool) {
        if empty {
            self.add(field, FaultKind::Empty);
        }
    }

    fn declared<T>(&mut self, field: &str, kind: &'static str, name: &T, declared: &HashSet<&T>)
    where
        T: std::hash::Hash + Eq + std::fmt::Display,
    {
        if !declared.contains(name) {
            self.add(field, FaultKind::Unknown { kind, name: name.to_string() });
        }
    }
}

fn check_scalars(fleet: &Fleet, out: &mut FaultList) {
    let defaults = &fleet.defaults;
    let share = |x: f64| (0.0..=1.0).contains(&x);
    out.range("cost_weight", share(fleet.cost_weight), "0 to 1");
    out.range("defaults.retry_share", share(defaults.retry_share), "0 to 1");
    out.range("defaults.hedge_share", share(defaults.hedge_share), "0 to 1");
    // Their sum is the extra load that the system itself may cause when targets fail.
    let extra = defaults.retry_share + defaults.hedge_share;
    let valid_sum = extra <= 1.0 || !share(defaults.retry_share) || !share(defaults.hedge_share);
    out.range("defaults.hedge_share", valid_sum, "at most 1 together with retry_share");
    out.span("defaults.deadline_ms", defaults.deadline_ms);
    let queue_len = (1..=MAX_COUNT).contains(&defaults.queue_len);
    out.range("defaults.queue_len", queue_len, "1 to 1000000");
    out.range("defaults.ramp_ms", defaults.ramp_ms <= MAX_SPAN, "at most 86400000, one day");
    out.range("defaults.poison_ms", defaults.poison_ms <= MAX_SPAN, "at most 86400000, one day");
    out.not_empty("regions", fleet.regions.is_empty());
    out.not_empty("pools", fleet.pools.is_empty());
    out.not_empty("workspaces", fleet.workspaces.is_empty());
    out.not_empty("pipelines", fleet.pipelines.is_empty());
    for r in &fleet.regions {
        let path = format!("regions.{}", r.name);
        out.cost(&format!("{path}.cost_per_gb"), r.cost_per_gb);
        out.range(&format!("{path}.far_ms"), r.far_ms <= MAX_SPAN, "at most 86400000, one day");
        out.not_empty(&format!("{path}.domains"), r.domains.is_empty());
    }
    for m in &fleet.models {
        let path = format!("models.{}", m.name);
        out.cost(&format!("{path}.cost_in"), m.cost_in);
        out.cost(&format!("{path}.cost_out"), m.cost_out);
    }
    for p in &fleet.pools {
        out.cost(&format!("pools.{}.cost_call", p.name), p.cost_call);
    }
    for w in &fleet.workspaces {
        out.weight(&format!("workspaces.{}.weight", w.name), w.weight);
    }
}

fn check_pipeline(fleet: &Fleet, p: &Pipeline, declared: &Declared<'_>, out: &mut FaultList) {
    let path = format!("pipelines.{}", p.name);
    out.not_empty(&format!("{path}.stages"), p.stages.is_empty());
    if let Some(deadline) = p.deadline_ms {
        out.span(&format!("{path}.deadline_ms"), deadline);
    }
    for (j, stage) in p.stages.iter().enumerate() {
        let path = format!("{path}.stages[{j}]");
        out.declared(&format!("{path}.pool"), "pool", &stage.pool, &declared.pools);
        if let Some(model) = &stage.model {
            out.declared(&format!("{path}.model"), "model", model, &declared.models);
        }
        if declared.pools.contains(&stage.pool) && !has_target(fleet, stage) {
            out.add(&path, FaultKind::NoTargets(stage.pool.to_string()));
        }
        let ordered = stage.least_ms <= stage.typical_ms;
        out.range(&format!("{path}.least_ms"), ordered, "at most typical_ms");
        out.span(&format!("{path}.typical_ms"), stage.typical_ms);
        out.range(&format!("{path}.max_tokens"), stage.max_tokens >= 1, "at least 1");
    }
    let deadline = p.deadline_ms.unwrap_or(fleet.defaults.deadline_ms);
    let least_ms = min_time(p);
    if deadline.0 < least_ms {
        out.add(&format!("{path}.deadline_ms"), FaultKind::DeadlineShort { least_ms });
    }
}

/// Sum of the stages' minimum times, ms.
fn min_time(pipeline: &Pipeline) -> u64 {
    pipeline.stages.iter().fold(Ms::ZERO, |sum, s| sum + s.least_ms).0
}

/// Whether any target of the stage's pool has its model.
fn has_target(fleet: &Fleet, stage: &Stage) -> bool {
    let fits = |models: &[ModelId]| stage.model.as_ref().is_none_or(|m| models.contains(m));
    let mut pools = fleet.pools.iter().filter(|p| p.name == stage.pool);
    pools.any(|p| p.targets.iter().any(|t| fits(&t.models)))
}

fn check_exception(fleet: &Fleet, e: &Exception, declared: &Declared<'_>, out: &mut FaultList) {
    let path = format!("exceptions.{}", e.name);
    if e.reason.trim().is_empty() {
        out.add(&format!("{path}.reason"), FaultKind::NoReason);
    }
    let overrides = [e.deadline_ms.is_some(), e.priority.is_some(), e.placement.is_some()];
    if !overrides.contains(&true) && e.weight.is_none() {
        out.add(&path, FaultKind::NoChange);
    }
    if let Some(workspace) = &e.workspace {
        out.declared(&format!("{path}.workspace"), "workspace", workspace, &declared.workspaces);
    }
    if let Some(pipeline) = &e.pipeline {
        out.declared(&format!("{path}.pipeline"), "pipeline", pipeline, &declared.pipelines);
    }
    if let Some(weight) = e.weight {
        out.weight(&format!("{path}.weight"), weight);
    }
    let Some(deadline) = e.deadline_ms else { return };
    out.span(&format!("{path}.deadline_ms"), deadline);
    for p in &fleet.pipelines {
        if e.pipeline.as_ref().is_none_or(|name| *name == p.name) && deadline.0 < min_time(p) {
            let kind = FaultKind::DeadlineShort { least_ms: min_time(p) };
            out.add(&format!("{path}.deadline_ms"), kind);
        }
    }
}
