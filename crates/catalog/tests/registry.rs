//! What follows from what targets register and what an outage removes.

use base::{Ms, TargetId};
use catalog::{Entry, LAPSE_GRACE, Registry, RegistryEvent, Seen, TargetState};

fn entry(id: &str, state: TargetState, seq: u64, born: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "register".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "thies-nord".into(),
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

fn list(entries: Vec<Entry>, lapse: Option<Ms>) -> Seen {
    let names = entries.iter().map(|e| e.id.clone()).collect();
    Seen::List { entries, names, lapse }
}

fn names(registry: &Registry) -> Vec<&str> {
    let mut names: Vec<&str> = registry.targets().map(|t| t.entry.id.as_str()).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_removal_while_the_store_is_calm_is_believed_at_once() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a"), ready("b")], None));
    let events = registry.learn(Ms(10), Seen::Removed { id: "a".into(), lapse: None });
    assert_eq!(events, [RegistryEvent::Gone("a".into())]);
    assert_eq!(names(&registry), ["b"]);
}

// Callers see 503 from every host though all targets run: the store was away for longer than
// three heartbeats, all registrations lapsed, and the list read on its return is empty.
// What is missing then is kept until live targets had the time to register again.
#[test]
fn targets_that_lapsed_in_an_outage_are_kept_until_they_could_be_back() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a"), ready("b")], None));
    let back = Ms(10_000);
    let lapse = Some(back + LAPSE_GRACE);
    assert!(registry.learn(back, list(Vec::new(), lapse)).is_empty());
    assert_eq!(names(&registry), ["a", "b"]);
    registry.learn(back + Ms(900), Seen::Entry(entry("a", TargetState::Ready, 2, 1)));
    let gone = registry.expire(back + LAPSE_GRACE);
    assert_eq!(gone, [RegistryEvent::Gone("b".into())]);
    assert_eq!(names(&registry), ["a"]);
}

// A target that left gets requests for five seconds: the host lost the store for a moment, was
// back, and three seconds later the target's entry was removed. The host still took removals for
// lapses, and kept the target for another two and a half seconds.
// The time for lapses is counted from the store's return, whenever the removal is seen.
#[test]
fn a_removal_well_after_an_outage_is_believed_at_once() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a")], None));
    let back = Ms(10_000);
    let lapse = Some(back + LAPSE_GRACE);
    registry.learn(back, list(vec![ready("a")], lapse));
    let removed = Seen::Removed { id: "a".into(), lapse };
    let events = registry.learn(back + Ms(3_300), removed);
    assert_eq!(events, [RegistryEvent::Gone("a".into())]);
}

#[test]
fn a_target_never_takes_its_leaving_back_within_one_life() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![entry("a", TargetState::Draining, 5, 1)], None));
    registry.learn(Ms(1), Seen::Entry(entry("a", TargetState::Ready, 6, 1)));
    let state = registry.targets().next().unwrap().entry.state;
    assert_eq!(state, TargetState::Draining);
    let events = registry.learn(Ms(2), Seen::Entry(entry("a", TargetState::Ready, 1, 2)));
    assert_eq!(events, [RegistryEvent::Joined("a".into())]);
}

#[test]
fn an_older_entry_of_one_life_changes_nothing() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![entry("a", TargetState::Ready, 5, 2)], None));
    assert!(registry.learn(Ms(1), Seen::Entry(entry("a", TargetState::Draining, 4, 2))).is_empty());
    assert!(registry.learn(Ms(1), Seen::Entry(entry("a", TargetState::Draining, 9, 1))).is_empty());
    assert_eq!(registry.targets().next().unwrap().entry.state, TargetState::Ready);
}

#[test]
fn an_entry_that_can_no_longer_be_read_names_no_target() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a"), ready("b")], None));
    registry.learn(Ms(1), Seen::Malformed(TargetId::from("a")));
    assert_eq!(names(&registry), ["b"]);
    let names_only =
        Seen::List { entries: Vec::new(), names: vec!["b".into()], lapse: Some(Ms(9_999)) };
    registry.learn(Ms(2), names_only);
    assert!(names(&registry).is_empty());
}

/// Guards against work for a target that has said that it leaves, after an outage of the store that
/// kept its entry as it was, took it away, or brought it back.
#[test]
fn a_targets_own_word_that_it_leaves_holds_for_the_rest_of_that_life() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a"), ready("b")], None));
    let events = registry.leaves(Ms(10), &"a".into(), 1);
    assert_eq!(events, [RegistryEvent::Draining("a".into())]);
    registry.learn(Ms(20), list(vec![ready("a"), ready("b")], None));
    registry.learn(Ms(30), Seen::Entry(entry("a", TargetState::Ready, 9, 1)));
    assert!(!registry.takes_work(&ready("a")));
    registry.learn(Ms(40), Seen::Removed { id: "a".into(), lapse: None });
    registry.expire(Ms(50));
    registry.learn(Ms(60), Seen::Entry(entry("a", TargetState::Ready, 10, 1)));
    assert!(!registry.takes_work(&ready("a")), "the same life, back after an outage");
    let next = entry("a", TargetState::Ready, 1, 2);
    registry.learn(Ms(70), Seen::Entry(next.clone()));
    assert!(registry.takes_work(&next), "another life");
    assert!(registry.takes_work(&ready("b")));
}

/// Guards against the host that reads the store for others keeping an entry's leaving to itself,
/// because the target had told it before.
#[test]
fn what_a_target_says_itself_is_no_part_of_what_the_store_says() {
    let mut registry = Registry::default();
    registry.learn(Ms(0), list(vec![ready("a")], None));
    registry.leaves(Ms(10), &"a".into(), 1);
    let draining = entry("a", TargetState::Draining, 2, 1);
    let news = registry.differs(std::slice::from_ref(&draining), &["a".into()]);
    assert_eq!(news, [catalog::Update::Set(draining)]);
}

/// Guards against a list of left targets that only grows.
#[test]
fn the_word_of_a_target_that_is_long_gone_is_forgotten() {
    let mut registry = Registry::default();
    registry.leaves(Ms(0), &"a".into(), 1);
    registry.expire(Ms(599_000));
    assert!(!registry.takes_work(&ready("a")));
    registry.expire(Ms(601_000));
    assert!(registry.takes_work(&ready("a")));
}
