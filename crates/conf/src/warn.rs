//! Warnings about a valid configuration that is probably not what the operator intended.

use base::{DomainId, Ms};
use std::collections::HashSet;

use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::source_map::SourceMap;
use crate::{Fault, FaultKind, Placement};

/// Warnings about a configuration at `now`. They never make it invalid: some depend on the time, and
/// a host must not refuse tomorrow what was accepted today.
pub fn warnings(plan: &Plan, yaml: &str, now: Ms) -> Vec<Fault> {
    let mut out = Vec::new();
    expired_exceptions(&plan.fleet, now, &mut out);
    tight_deadlines(&plan.fleet, &mut out);
    unreachable_stages(plan, &mut out);
    let source_map = SourceMap::read(yaml);
    for warning in &mut out {
        warning.line = source_map.as_ref().and_then(|l| l.line(&warning.field));
    }
    out
}

fn warn(field: String, kind: FaultKind) -> Fault {
    Fault { field, line: None, kind }
}

fn expired_exceptions(fleet: &Fleet, now: Ms, out: &mut Vec<Fault>) {
    for e in fleet.exceptions.iter().filter(|e| e.until_ms.is_some_and(|until| until <= now)) {
        out.push(warn(format!("exceptions.{}.until_ms", e.name), FaultKind::Expired));
    }
}

fn tight_deadlines(fleet: &Fleet, out: &mut Vec<Fault>) {
    for p in &fleet.pipelines {
        let deadline = p.deadline_ms.unwrap_or(fleet.defaults.deadline_ms);
        let typical = p.stages.iter().fold(Ms::ZERO, |sum, s| sum + s.typical_ms);
        if typical > deadline {
            let kind = FaultKind::DeadlineTight { typical_ms: typical.0 };
            out.push(warn(format!("pipelines.{}.deadline_ms", p.name), kind));
        }
    }
}

/// Finds stages for which the hosts of some failure domain have no target within the placement.
fn unreachable_stages(plan: &Plan, out: &mut Vec<Fault>) {
    let domains: Vec<_> = plan.fleet.regions.iter().flat_map(|r| &r.domains).collect();
    for (pipeline, stages) in plan.fleet.pipelines.iter().zip(&plan.stages) {
        let placement = pipeline.placement.unwrap_or(plan.fleet.defaults.placement);
        for (i, stage) in stages.iter().enumerate() {
            let has_target: HashSet<&DomainId> =
                stage.targets.iter().map(|t| &plan.targets[*t].domain).collect();
            let reachable = |domain: &DomainId| match placement {
                Placement::Anywhere => true,
                Placement::Domain => has_target.contains(domain),
                Placement::Region => {
                    has_target.iter().any(|d| plan.region(d) == plan.region(domain))
                }
            };
            let without: Vec<_> = domains
                .iter()
                .filter(|d| !reachable(&d.name))
                .map(|d| d.name.to_string())
                .collect();
            if !without.is_empty() {
                let kind = FaultKind::OutOfReach { domains: without.join(", ") };
                out.push(warn(format!("pipelines.{}.stages[{i}]", pipeline.name), kind));
            }
        }
    }
}
