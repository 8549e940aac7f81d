//! What a host takes of evacuated failure domains, whoever tells it.

use base::{DomainId, Ms};
use sched::evacuation::{EvacuationChange, EvacuationEvent, Evacuations};
use std::collections::BTreeSet;

fn domains(names: &[&str]) -> BTreeSet<DomainId> {
    names.iter().map(|n| DomainId::from(*n)).collect()
}

fn begun(name: &str) -> EvacuationEvent {
    EvacuationEvent::Begun(name.into())
}

fn ended(name: &str) -> EvacuationEvent {
    EvacuationEvent::Ended(name.into())
}

#[test]
fn an_evacuation_is_followed_through_list_and_watch() {
    let mut known = Evacuations::default();
    assert_eq!(known.list(Ms(1), 10, domains(&["a"])), [begun("a")]);
    let change = EvacuationChange::Set("b".into());
    assert_eq!(known.changes(Ms(2), 12, [change]), [begun("b")]);
    let change = EvacuationChange::Removed("a".into());
    assert_eq!(known.changes(Ms(3), 15, [change]), [ended("a")]);
    assert_eq!(*known.domains(), domains(&["b"]));
}

/// Guards against one that is taken back and set again between two calls being taken for ended.
#[test]
fn one_that_is_taken_back_and_set_again_stays() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&["a"]));
    let changes = [EvacuationChange::Removed("a".into()), EvacuationChange::Set("a".into())];
    assert_eq!(known.changes(Ms(2), 14, changes), []);
    assert_eq!(*known.domains(), domains(&["a"]));
}

/// Guards against a reader that was paused and tells of the time before an evacuation.
#[test]
fn older_word_of_another_host_neither_counts_nor_proves() {
    let mut known = Evacuations::default();
    known.list(Ms(100), 20, domains(&[]));
    known.changes(Ms(200), 30, [EvacuationChange::Set("a".into())]);
    assert_eq!(known.told(Ms(500), 20, domains(&[])), []);
    assert_eq!(*known.domains(), domains(&["a"]));
    assert_eq!(known.proved(), Some(Ms(200)));
    assert_eq!(known.told(Ms(500), 30, domains(&["a"])), []);
    assert_eq!(known.proved(), Some(Ms(500)));
    assert_eq!(known.told(Ms(600), 41, domains(&[])), [ended("a")]);
}

/// Guards against a host that asks for the same list again and again: it holds another one that
/// says the same, of an older revision.
#[test]
fn a_newer_list_that_says_the_same_is_known_from_then_on() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&["a"]));
    assert_eq!(known.told(Ms(2), 25, domains(&["a"])), []);
    assert_eq!(known.changed(), Some(25));
}

/// Guards against a list that was sent before a change and answered after it.
#[test]
fn a_list_of_an_older_revision_is_ignored() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&[]));
    known.changes(Ms(2), 14, [EvacuationChange::Set("a".into())]);
    assert_eq!(known.list(Ms(1), 12, domains(&[])), []);
    assert_eq!(*known.domains(), domains(&["a"]));
}

/// Guards against changes of a watch being taken for all that there is.
#[test]
fn changes_without_a_list_are_no_knowledge() {
    let mut known = Evacuations::default();
    assert_eq!(known.changes(Ms(1), 10, [EvacuationChange::Set("a".into())]), []);
    assert_eq!((known.known(), known.proved()), (None, None));
}

/// Guards against followers that are woken by every call of their reader.
#[test]
fn a_watch_without_a_change_is_a_proof_and_no_news() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&["a"]));
    known.changes(Ms(900), 400, []);
    assert_eq!((known.changed(), known.known()), (Some(10), Some(400)));
    assert_eq!(known.proved(), Some(Ms(900)));
}
