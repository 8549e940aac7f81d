//! What a host sends to a follower, depending on the revision that the follower has.

use base::Ms;
use catalog::{ChangeLog, Delta, Entry, TargetState, Update};

fn entry(id: &str, born: u64) -> Entry {
    Entry {
        id: id.into(),
        service: "register".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        domain: "domain-0".into(),
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
    assert_eq!(log.revision(), Some(15));
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
    assert_eq!(log.revision(), Some(9));
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
