//! What a host sends to a follower, depending on the revision that the follower has.

use base::Ms;
use catalog::{ChangeLog, Delta, Entry, Position, TargetState, Update};

fn entry(id: &str, born: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "register".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "domain-0".into(),
        build: "1".into(),
        slots: 6,
        state: TargetState::Ready,
        warmup: Ms::ZERO,
        seq: 1,
        born,
    }
}

#[test]
fn a_follower_gets_what_changed_since_its_revision() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(0), Delta::FullList, "nothing is known yet");
    log.append(10, Vec::new());
    log.append(12, vec![Update::Set(entry("a", 1))]);
    log.append(15, vec![Update::Removed("b".into())]);
    assert_eq!(log.position(), Some(Position::from(15)));
    assert_eq!(log.since(15), Delta::Updates(Vec::new()));
    assert_eq!(log.since(12), Delta::Updates(vec![Update::Removed("b".into())]));
    assert_eq!(log.since(9), Delta::FullList, "changes before the first list aren't known");
}

// Guards against a follower that drops a running target and its connections because it is sent the
// removal of the target's earlier incarnation although the target is back. Only the last change of
// each target is sent.
#[test]
fn a_target_that_came_back_is_not_sent_as_removed() {
    let mut log = ChangeLog::default();
    log.append(1, Vec::new());
    log.append(2, vec![Update::Removed("a".into())]);
    log.append(3, vec![Update::Set(entry("a", 2))]);
    assert_eq!(log.since(1), Delta::Updates(vec![Update::Set(entry("a", 2))]));
}

// Guards against followers that never get the changes found by a list: a list may be older than
// what watches have delivered, and its changes were logged under a revision that all followers are
// already past.
#[test]
fn changes_found_by_an_older_list_get_the_newest_revision() {
    let mut log = ChangeLog::default();
    log.append(1, Vec::new());
    log.append(9, Vec::new());
    log.append(8, vec![Update::Removed("a".into())]);
    assert_eq!(log.since(8), Delta::Updates(vec![Update::Removed("a".into())]));
    assert_eq!(log.position().map(|p| p.revision), Some(9));
}

#[test]
fn a_follower_older_than_the_log_gets_the_full_list() {
    let mut log = ChangeLog::default();
    log.append(0, Vec::new());
    for revision in 1..10_000 {
        log.append(revision, vec![Update::Removed(format!("t-{revision}").as_str().into())]);
    }
    assert_eq!(log.since(1), Delta::FullList);
    assert!(matches!(log.since(9_000), Delta::Updates(u) if u.len() == 999));
}

// Guards against followers that never hear of what changed since the store came back from an older
// copy: the changes have revisions that the followers are already past. In a new era every follower
// gets the full list once, and then the changes.
#[test]
fn followers_get_the_full_list_in_a_new_era() {
    let mut log = ChangeLog::default();
    log.append(Position::new(1, 90), vec![Update::Removed("a".into())]);
    log.append(Position::new(2, 40), vec![Update::Set(entry("a", 1))]);
    assert_eq!(log.position(), Some(Position::new(2, 40)));
    assert_eq!(log.since(Position::new(1, 90)), Delta::FullList);
    assert_eq!(log.since(Position::new(1, 20)), Delta::FullList);
    log.append(Position::new(2, 41), vec![Update::Removed("b".into())]);
    let removed = Delta::Updates(vec![Update::Removed("b".into())]);
    assert_eq!(log.since(Position::new(2, 40)), removed);
}

// Guards against hosts of the wire before eras that can't follow, or be followed: at a store
// without eras a position is sent as the revision that they know.
#[test]
fn a_position_without_an_era_is_sent_as_its_revision() {
    assert_eq!(Position::from(1_234).pack(), 1_234);
    assert_eq!(Position::unpack(1_234), Some(Position::from(1_234)));
    assert_eq!(Position::unpack(0), None);
    let later = Position::new(3, 7);
    assert_eq!(Position::unpack(later.pack()), Some(later));
    assert!(later > Position::new(2, 1_000));
    let mut log = ChangeLog::default();
    log.append(later, vec![Update::Removed("a".into())]);
    log.append(later, vec![Update::Removed("b".into())]);
    let corrected = log.position().unwrap();
    assert_eq!(Position::unpack(corrected.pack()), Some(corrected));
    assert!(corrected > later);
}

// Guards against followers that never hear of a change that the watches of their reader have
// missed and a list has shown: the list has no newer revision than the one that they hold.
#[test]
fn followers_at_the_newest_revision_are_told_what_a_list_corrects() {
    let mut log = ChangeLog::default();
    log.append(1, Vec::new());
    log.append(9, Vec::new());
    let follower = log.position().unwrap();
    log.append(9, vec![Update::Removed("a".into())]);
    assert_eq!(log.since(follower), Delta::Updates(vec![Update::Removed("a".into())]));
    let follower = log.position().unwrap();
    assert_eq!(log.since(follower), Delta::Updates(Vec::new()), "they are told once");
    log.append(9, vec![Update::Removed("b".into())]);
    assert_eq!(log.since(follower), Delta::Updates(vec![Update::Removed("b".into())]));
    log.append(10, Vec::new());
    assert_eq!(log.position(), Some(Position::from(10)));
}
