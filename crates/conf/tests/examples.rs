//! Checks that the example files are valid and have the sizes of the two deployments.

use base::{Generation, Ms};
use conf::{FileKind, Plan, PoolKind, Settings};
use std::collections::{BTreeMap, BTreeSet};

const COOPERATIVE: &str = include_str!("../../../examples/cooperative.yaml");
const CASING_AND_QUILL: &str = include_str!("../../../examples/casing-and-quill.yaml");
const HOST: &str = include_str!("../../../examples/host.yaml");

fn plan(yaml: &str) -> Plan {
    assert_eq!(FileKind::of(yaml), Some(FileKind::Fleet));
    let plan = Plan::parse(Generation(1), yaml).expect("the example passes its checks");
    assert_eq!(conf::warnings(&plan, yaml, Ms(0)), [], "the example has no warnings");
    plan
}

fn domains(plan: &Plan) -> BTreeSet<&str> {
    plan.fleet.regions.iter().flat_map(|r| &r.domains).map(|d| d.name.as_str()).collect()
}

fn sizes(plan: &Plan) -> BTreeMap<&str, usize> {
    plan.fleet.pools.iter().map(|p| (p.name.as_str(), p.targets.len())).collect()
}

#[test]
fn cooperative_has_expected_sizes() {
    let plan = plan(COOPERATIVE);
    assert_eq!(domains(&plan), ["dakar-plateau", "saint-louis-ile", "thies-nord"].into());
    assert_eq!(plan.fleet.regions.len(), 3);
    assert_eq!(plan.fleet.workspaces.len(), 5);
    let sizes = sizes(&plan);
    assert_eq!(sizes["engines"], 12);
    for service in ["job-register", "member-payment", "paint-stock", "round-scheduling"] {
        assert!((3..=6).contains(&sizes[service]), "{service}: a handful");
    }
    assert!(plan.fleet.cost_weight < 0.5, "attainment weighs more");
    assert!(plan.has_unrepeatable(plan.pipeline("job-sign-off").expect("it is declared")));
}

#[test]
fn casing_and_quill_has_expected_sizes() {
    let plan = plan(CASING_AND_QUILL);
    assert_eq!(domains(&plan), ["burlington-a", "hartford-a", "portland-a"].into());
    assert_eq!(plan.fleet.regions.len(), 3);
    assert_eq!(plan.fleet.workspaces.len(), 5);
    let sizes = sizes(&plan);
    assert_eq!(sizes["engines"], 9);
    for service in ["storefront", "print-desk", "editor-desk", "reader-accounts"] {
        assert!((3..=6).contains(&sizes[service]), "{service}: a handful");
    }
    assert!(plan.fleet.cost_weight > 0.5, "cost weighs more");
    assert!(plan.has_unrepeatable(plan.pipeline("book-order").expect("it is declared")));
}

#[test]
fn latencies_match_the_deployments() {
    for yaml in [COOPERATIVE, CASING_AND_QUILL] {
        for region in &plan(yaml).fleet.regions {
            assert!((20..50).contains(&region.far_ms.0), "tens of milliseconds between regions");
            assert!(region.domains.iter().all(|d| d.near_ms == Ms(1)));
        }
    }
}

#[test]
fn service_and_engine_pools_have_targets_in_every_domain() {
    for yaml in [COOPERATIVE, CASING_AND_QUILL] {
        let plan = plan(yaml);
        for pool in plan.fleet.pools.iter().filter(|p| p.kind != PoolKind::Stage) {
            let with_target: BTreeSet<_> = pool.targets.iter().map(|t| t.domain.as_str()).collect();
            assert_eq!(with_target, domains(&plan), "{}", pool.name);
        }
    }
}

#[test]
fn host_settings_match_the_cooperative() {
    assert_eq!(FileKind::of(HOST), Some(FileKind::Settings));
    let settings = Settings::parse(HOST).expect("the example passes its checks");
    let plan = plan(COOPERATIVE);
    assert_eq!(plan.region(&settings.domain), Some(&settings.region));
}
