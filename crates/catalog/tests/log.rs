//! What a host tells another that follows it, by the revision that the other holds.

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
    assert_eq!(log.since(9), Delta::FullList, "what was before the first list isn't known");
}

// A follower drops a target that runs, and its connections: it is told of the removal of the
// target's earlier life although the target is back. Only the last change of each is told.
#[test]
fn a_target_that_came_back_is_not_told_as_gone() {
    let mut log = ChangeLog::default();
    log.append(1, Vec::new());
    log.append(2, vec![Update::Removed("a".into())]);
    log.append(3, vec![Update::Set(entry("a", 2))]);
    assert_eq!(log.since(1), Delta::Updates(vec![Update::Set(entry("a", 2))]));
}

// Followers never hear of what a list brought to light: lists may be older than what watches have
// told, and the difference was filed under a revision that all followers are past.
#[test]
fn what_an_older_list_shows_is_told_as_new() {
    let mut log = ChangeLog::default();
    log.append(1, Vec::new());
    log.append(9, Vec::new());
    log.append(8, vec![Update::Removed("a".into())]);
    assert_eq!(log.since(8), Delta::Updates(vec![Update::Removed("a".into())]));
    assert_eq!(log.revision(), Some(9));
}

#[test]
fn a_long_log_forgets_its_beginning_and_says_so() {
    let mut log = ChangeLog::default();
    log.append(0, Vec::new());
    for revision in 1..10_000 {
        log.append(revision, vec![Update::Removed(format!("t-{revision}").as_str().into())]);
    }
    assert_eq!(log.since(1), Delta::FullList);
    assert!(matches!(log.since(9_000), Delta::Updates(u) if u.len() == 999));
}
