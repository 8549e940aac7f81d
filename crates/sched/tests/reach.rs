//! Tests of how a host finds out that it can't reach the targets of a service.

use base::{Ms, TargetId};
use sched::reach::{Reach, ReachEvent};

fn target(n: usize) -> TargetId {
    TargetId::from(format!("i-{n}"))
}

// Guards against a host that refuses what others could serve: it has lost its links to all targets
// and takes each of them for down.
#[test]
fn a_host_that_reaches_none_of_three_targets_is_cut_off() {
    let mut reach = Reach::default();
    assert_eq!(reach.failed(Ms(0), &target(0), 9), None);
    assert_eq!(reach.failed(Ms(300), &target(1), 9), None);
    assert_eq!(reach.failed(Ms(600), &target(2), 9), Some(ReachEvent::Lost));
    assert!(reach.is_cut(Ms(600)));
    assert_eq!(reach.failed(Ms(900), &target(3), 9), None, "told once");
    assert_eq!(reach.opened(), Some(ReachEvent::Regained));
    assert!(!reach.is_cut(Ms(900)));
}

// Guards against detours around a target that has crashed: the host reaches the others.
#[test]
fn a_host_that_reaches_one_target_is_not_cut_off() {
    let mut reach = Reach::default();
    for n in 0..20 {
        assert_eq!(reach.failed(Ms(n * 100), &target(n as usize % 2), 9), None);
        assert_eq!(reach.opened(), None);
    }
}

#[test]
fn failures_that_are_far_apart_do_not_add_up() {
    let mut reach = Reach::default();
    for n in 0..20 {
        assert_eq!(reach.failed(Ms(n * 2_000), &target(n as usize), 9), None);
    }
}

#[test]
fn one_failure_is_enough_where_a_service_has_one_target() {
    let mut reach = Reach::default();
    assert_eq!(reach.failed(Ms(0), &target(0), 1), Some(ReachEvent::Lost));
}

// Guards against a host that turns others away for good, since it was once cut off and has had no
// reason to connect since.
#[test]
fn a_belief_that_nothing_confirms_is_dropped() {
    let mut reach = Reach::default();
    reach.failed(Ms(0), &target(0), 1);
    assert!(reach.is_cut(Ms(3_000)));
    assert!(!reach.is_cut(Ms(3_001)));
    assert_eq!(reach.failed(Ms(9_000), &target(0), 1), None, "not told again");
    assert!(reach.is_cut(Ms(9_000)));
}
