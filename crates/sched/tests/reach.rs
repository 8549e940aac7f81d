//! Tests of how a host finds out that it can't reach targets that others reach, and through whom it
//! connects to them.

use base::{HostId, Ms, TargetId};
use sched::detour::{Detours, Place};
use sched::reach::{Reach, ReachEvent};

fn target(n: u64) -> TargetId {
    TargetId::from(format!("i-{n}"))
}

// Guards against a host that refuses what others could serve: it takes targets for down that it has
// only lost its own links to.
#[test]
fn a_target_that_another_host_reaches_is_reached_by_a_detour() {
    let mut reach = Reach::default();
    assert!(!reach.needs_detour(Ms(0), &target(0)));
    assert!(reach.failed(Ms(300), &target(0)), "others are asked");
    assert_eq!(reach.detoured(Ms(400), &target(0)), Some(ReachEvent::Lost));
    assert!(reach.needs_detour(Ms(500), &target(0)) && reach.is_lost(Ms(500), &target(0)));
    assert_eq!(reach.detoured(Ms(600), &target(0)), None, "told once");
    assert_eq!(reach.opened(Ms(900), &target(0)), Some(ReachEvent::Regained));
    assert!(!reach.needs_detour(Ms(900), &target(0)));
}

// Guards against callers who wait for one connection attempt after the other once the cut has been
// found at one target: the others of the service are tried both ways at once.
#[test]
fn the_other_targets_of_a_service_are_tried_both_ways() {
    let mut reach = Reach::default();
    reach.opened(Ms(0), &target(1));
    reach.failed(Ms(300), &target(0));
    reach.detoured(Ms(400), &target(0));
    assert!(!reach.needs_detour(Ms(500), &target(1)), "it was reached directly");
    assert!(reach.needs_detour(Ms(500), &target(2)));
    assert!(!reach.is_lost(Ms(500), &target(2)), "nothing is known of it");
}

// Guards against questions to all hosts with each request while a target is down.
#[test]
fn others_are_asked_once_a_second_for_a_target_that_is_down() {
    let mut reach = Reach::default();
    let asked = (0..50).filter(|n| reach.failed(Ms(n * 100), &target(0))).count();
    assert_eq!(asked, 5);
    assert_eq!(reach.down(Ms(5_000), &target(0)), None);
    assert!(!reach.needs_detour(Ms(5_000), &target(0)));
}

// Guards against detours for good around a target that is gone.
#[test]
fn a_belief_that_nothing_confirms_is_dropped() {
    let mut reach = Reach::default();
    reach.failed(Ms(0), &target(0));
    reach.detoured(Ms(0), &target(0));
    assert!(reach.needs_detour(Ms(10_000), &target(1)));
    assert!(!reach.needs_detour(Ms(10_001), &target(1)));
    assert_eq!(reach.opened(Ms(10_001), &target(1)), Some(ReachEvent::Regained));
}

/// Chooses among hosts given with their places.
fn choose(detours: &Detours, now: Ms, hosts: &[(HostId, Place)]) -> Vec<HostId> {
    let candidates = hosts.iter().map(|(host, place)| (host.clone(), host, *place));
    detours.choose(now, "i-0", candidates)
}

// Guards against a host that waits for hosts that are cut off like itself: half of its failure
// domain is.
#[test]
fn hosts_that_could_not_help_are_asked_last() {
    let near = (0..2).map(|n| (HostId::from(format!("near-{n}")), Place::Domain));
    let far = (0..2).map(|n| (HostId::from(format!("far-{n}")), Place::Far));
    let hosts: Vec<_> = near.chain(far).collect();
    let mut detours = Detours::default();
    let first = choose(&detours, Ms(0), &hosts);
    assert!(first.iter().all(|h| h.as_str().starts_with("near")), "{first:?}");
    first.iter().for_each(|host| detours.failed(Ms(0), host));
    let second = choose(&detours, Ms(500), &hosts);
    assert!(second.iter().all(|h| h.as_str().starts_with("far")), "{second:?}");
    assert_eq!(choose(&detours, Ms(2_001), &hosts), first);
}

// Guards against one host that carries all connections of a host that is cut off.
#[test]
fn detours_are_spread_over_all_hosts() {
    let hosts: Vec<_> =
        (0..10).map(|n| (HostId::from(format!("host-{n}")), Place::Region)).collect();
    let detours = Detours::default();
    let first = |n: u64| {
        let candidates = hosts.iter().map(|(host, place)| (host.clone(), host, *place));
        detours.choose(Ms(0), target(n).as_str(), candidates)[0].clone()
    };
    let mut used: Vec<HostId> = (0..200).map(first).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 10);
}
