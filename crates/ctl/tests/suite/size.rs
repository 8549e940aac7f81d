//! The largest planned fleet fits the platform's size limit together with its newest audit records.

use base::{DomainId, Ms};
use conf::{Domain, Fleet, Target, Workspace};
use ctl::{ChangeNote, PAGE_RECORDS, apply, diff};
use store::Api;

use crate::support::{MemoryPlatform, run};

const COOPERATIVE: &str = include_str!("../../../../examples/cooperative.yaml");
/// Maximum size of one value in the platform.
const LIMIT_BYTES: usize = 1 << 20;

/// A fleet of 600 targets in 8 failure domains of 2 regions, 900 workspaces and 8 pipelines.
fn largest_fleet() -> Fleet {
    let mut fleet = Fleet::parse(COOPERATIVE).expect("the example parses");
    fleet.regions.truncate(2);
    for (r, region) in fleet.regions.iter_mut().enumerate() {
        let domain = |d| Domain { name: format!("region-{r}-domain-{d}").into(), near_ms: Ms(1) };
        region.domains = (0..4).map(domain).collect();
    }
    let domains: Vec<DomainId> =
        fleet.regions.iter().flat_map(|r| &r.domains).map(|d| d.name.clone()).collect();
    let pools = fleet.pools.len();
    for (p, pool) in fleet.pools.iter_mut().enumerate() {
        let first = pool.targets[0].clone();
        let target = |i: usize| Target {
            name: format!("{}-{i}", pool.name).into(),
            domain: domains[i % domains.len()].clone(),
            address: format!("10.{p}.{}.{}:8000", i / 250, i % 250),
            ..first.clone()
        };
        pool.targets = (0..600 / pools).map(target).collect();
    }
    let workspace = |i| Workspace { name: format!("workspace-{i}").into(), weight: 1.5 };
    fleet.workspaces = (0..900).map(workspace).collect();
    fleet.exceptions[0].workspace = Some("workspace-7".into());
    for i in 0..4 {
        let mut copy = fleet.pipelines[i].clone();
        copy.name = format!("{}-2", copy.name).into();
        fleet.pipelines.push(copy);
    }
    fleet
}

/// Each change has the largest possible audit record: a reason of maximum length, and more changed
/// fields than a record lists.
#[test]
fn the_largest_fleet_fits_with_its_trail() {
    run(async {
        let memory = MemoryPlatform::default();
        let why = "w".repeat(500);
        let note = ChangeNote { who: "operator", why: &why, at: Ms(1) };
        let mut fleet = largest_fleet();
        let mut largest = 0;
        for i in 0..2 * PAGE_RECORDS + 2 {
            for workspace in &mut fleet.workspaces {
                workspace.weight = i as f64 + 1.25;
            }
            apply(&memory, &fleet.to_yaml(), None, &note).await.expect("the change is accepted");
            let object = memory.get("fleet", "fleet").await.expect("the object is readable");
            largest = largest.max(object.expect("it is there").body.len());
        }
        println!("{largest} bytes with {} bytes of YAML", fleet.to_yaml().len());
        assert!(largest < LIMIT_BYTES, "{largest}");
    });
}

#[test]
fn each_changed_workspace_is_reported() {
    let from = largest_fleet();
    let mut to = from.clone();
    to.workspaces.iter_mut().for_each(|w| w.weight = 2.0);
    assert_eq!(diff(&from, &to).len(), 900);
}
