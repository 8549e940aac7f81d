//! How registrations, removals and outages of the store change the set of known targets.

use base::{Ms, TargetId};
use catalog::{Entry, LAPSE_GRACE, Observation, Registry, RegistryEvent, TargetState};

fn entry(id: &str, state: TargetState, seq: u64, born: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "register".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "thies-nord".into(),
        build: "1".into(),
        slots: 6,
        state,
        warmup: Ms::ZERO,
        seq,
        born,
    }
}

fn ready(id: &str) -> Entry {
    entry(id, TargetState::Ready, 1, 1)
}

fn list(entries: Vec<Entry>, lapse: Option<Ms>) -> Observation {
    let names = entries.iter().map(|e| e.id.clone()).collect();
    Observation::List { entries, names, lapse }
}

fn names(registry: &Registry) -> Vec<&str> {
    let mut names: Vec<&str> = registry.targets().map(|t| t.entry.id.as_str()).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_removal_without_an_outage_takes_effect_at_once() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a"), ready("b")], None));
    let events = registry.apply(Ms(10), Observation::Removed { id: "a".into(), lapse: None });
    assert_eq!(events, [RegistryEvent::Gone("a".into())]);
    assert_eq!(names(&registry), ["b"]);
}

// Guards against 503 from every host although all targets are running: the store was unavailable
// for longer than three heartbeats, all registrations expired, and the list read on its return is
// empty. Missing targets are kept until live ones have had time to register again.
#[test]
fn targets_that_expired_in_an_outage_are_kept_until_they_can_register_again() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a"), ready("b")], None));
    let back = Ms(10_000);
    let lapse = Some(back + LAPSE_GRACE);
    assert!(registry.apply(back, list(Vec::new(), lapse)).is_empty());
    assert_eq!(names(&registry), ["a", "b"]);
    registry.apply(back + Ms(900), Observation::Entry(entry("a", TargetState::Ready, 2, 1)));
    let gone = registry.expire(back + LAPSE_GRACE);
    assert_eq!(gone, [RegistryEvent::Gone("b".into())]);
    assert_eq!(names(&registry), ["a"]);
}

// Guards against five seconds of requests to a target that has left: the host lost the store for a
// moment, and three seconds after its return the target's registration was removed. The host still
// took the removal for an expiry in the outage, and kept the target for another two and a half
// seconds. The grace time counts from the store's return, whenever the removal is seen.
#[test]
fn a_removal_well_after_an_outage_takes_effect_at_once() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a")], None));
    let back = Ms(10_000);
    let lapse = Some(back + LAPSE_GRACE);
    registry.apply(back, list(vec![ready("a")], lapse));
    let removed = Observation::Removed { id: "a".into(), lapse };
    let events = registry.apply(back + Ms(3_300), removed);
    assert_eq!(events, [RegistryEvent::Gone("a".into())]);
}

#[test]
fn a_draining_target_never_becomes_ready_within_one_incarnation() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![entry("a", TargetState::Draining, 5, 1)], None));
    registry.apply(Ms(1), Observation::Entry(entry("a", TargetState::Ready, 6, 1)));
    let state = registry.targets().next().unwrap().entry.state;
    assert_eq!(state, TargetState::Draining);
    let events = registry.apply(Ms(2), Observation::Entry(entry("a", TargetState::Ready, 1, 2)));
    assert_eq!(events, [RegistryEvent::Joined("a".into())]);
}

#[test]
fn an_older_registration_changes_nothing() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![entry("a", TargetState::Ready, 5, 2)], None));
    assert!(
        registry
            .apply(Ms(1), Observation::Entry(entry("a", TargetState::Draining, 4, 2)))
            .is_empty()
    );
    assert!(
        registry
            .apply(Ms(1), Observation::Entry(entry("a", TargetState::Draining, 9, 1)))
            .is_empty()
    );
    assert_eq!(registry.targets().next().unwrap().entry.state, TargetState::Ready);
}

#[test]
fn a_registration_that_can_no_longer_be_decoded_removes_its_target() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a"), ready("b")], None));
    registry.apply(Ms(1), Observation::Malformed(TargetId::from("a")));
    assert_eq!(names(&registry), ["b"]);
    let names_only =
        Observation::List { entries: Vec::new(), names: vec!["b".into()], lapse: Some(Ms(9_999)) };
    registry.apply(Ms(2), names_only);
    assert!(names(&registry).is_empty());
}

/// Guards against work for a target that gave notice that it is leaving, after an outage of the
/// store that left its registration unchanged, removed it, or brought it back.
#[test]
fn a_leaving_notice_holds_for_the_rest_of_the_incarnation() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a"), ready("b")], None));
    let events = registry.mark_leaving(Ms(10), &"a".into(), 1);
    assert_eq!(events, [RegistryEvent::Draining("a".into())]);
    registry.apply(Ms(20), list(vec![ready("a"), ready("b")], None));
    registry.apply(Ms(30), Observation::Entry(entry("a", TargetState::Ready, 9, 1)));
    assert!(!registry.takes_work(&ready("a")));
    registry.apply(Ms(40), Observation::Removed { id: "a".into(), lapse: None });
    registry.expire(Ms(50));
    registry.apply(Ms(60), Observation::Entry(entry("a", TargetState::Ready, 10, 1)));
    assert!(!registry.takes_work(&ready("a")), "the same incarnation, back after an outage");
    let next = entry("a", TargetState::Ready, 1, 2);
    registry.apply(Ms(70), Observation::Entry(next.clone()));
    assert!(registry.takes_work(&next), "another incarnation");
    assert!(registry.takes_work(&ready("b")));
}

/// Guards against the host that reads the store for others not passing on that a registration is
/// draining, because the target had already given notice to this host.
#[test]
fn a_leaving_notice_does_not_hide_a_change_at_the_store() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a")], None));
    registry.mark_leaving(Ms(10), &"a".into(), 1);
    let draining = entry("a", TargetState::Draining, 2, 1);
    let changes = registry.diff(std::slice::from_ref(&draining), &["a".into()]);
    assert_eq!(changes, [catalog::Update::Set(draining)]);
}

/// Guards against leaving notices that accumulate without limit.
#[test]
fn the_leaving_notice_of_a_target_that_is_long_gone_is_forgotten() {
    let mut registry = Registry::default();
    registry.mark_leaving(Ms(0), &"a".into(), 1);
    registry.expire(Ms(599_000));
    assert!(!registry.takes_work(&ready("a")));
    registry.expire(Ms(601_000));
    assert!(registry.takes_work(&ready("a")));
}

/// The last registration of a target that was removed before the store came back from a copy in
/// which it still is, and the registry that knows this.
fn removed_before_a_return() -> (Registry, Entry) {
    let mut registry = Registry::default();
    let last = entry("a", TargetState::Ready, 5, 1);
    registry.apply(Ms(0), list(vec![last.clone(), ready("b")], None));
    registry.apply(Ms(10), Observation::Removed { id: "a".into(), lapse: None });
    registry.restored(Ms(1_000));
    (registry, last)
}

// Guards against requests to a target that has left, because the copy from which the store came
// back still lists it.
#[test]
fn a_registration_from_before_the_removal_is_ignored_after_a_return() {
    let (registry, last) = removed_before_a_return();
    assert_eq!(registry.newer(Ms(20), last), None);
    assert_eq!(registry.newer(Ms(20), entry("a", TargetState::Ready, 3, 1)), None);
    assert_eq!(registry.newer(Ms(20), ready("b")), Some(ready("b")));
}

// Guards against a running target that gets no requests because it was once missing: what it has
// written since, what another incarnation writes, and what is still listed when a registration of
// an ended target would have lapsed, counts.
#[test]
fn a_removed_target_that_is_alive_is_used_again_after_a_return() {
    let (mut registry, last) = removed_before_a_return();
    let (later, next) =
        (entry("a", TargetState::Ready, 6, 1), entry("a", TargetState::Ready, 1, 2));
    assert_eq!(registry.newer(Ms(20), later.clone()), Some(later.clone()));
    assert_eq!(registry.newer(Ms(20), next.clone()), Some(next));
    assert_eq!(registry.newer(Ms(1_000), last.clone()), Some(last.clone()));
    registry.apply(Ms(30), Observation::Entry(later.clone()));
    assert_eq!(registry.newer(Ms(40), last), Some(later), "the newer one is known");
}

// Guards against a target that is kept out for good although it runs: its registration expired in
// an outage, and the copy from which the store comes back has it.
#[test]
fn a_registration_that_expired_in_an_outage_counts_after_a_return() {
    let mut registry = Registry::default();
    registry.apply(Ms(0), list(vec![ready("a")], None));
    registry.apply(Ms(10), list(Vec::new(), Some(Ms(100))));
    registry.expire(Ms(100));
    registry.restored(Ms(1_000));
    assert_eq!(registry.newer(Ms(200), ready("a")), Some(ready("a")));
}

// Guards against followers that take a leaving target for ready: the store came back from a copy in
// which it was, and the reader told them its older registration.
#[test]
fn an_older_registration_is_no_change() {
    let mut registry = Registry::default();
    let draining = entry("a", TargetState::Draining, 2, 1);
    registry.apply(Ms(0), list(vec![draining.clone()], None));
    let read = registry.newer(Ms(10), ready("a")).unwrap();
    assert_eq!(read, draining);
    assert_eq!(registry.diff(&[read], &["a".into()]), []);
}
