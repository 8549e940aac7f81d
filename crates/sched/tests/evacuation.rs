//! Updates of the evacuated failure domains from the store and from other hosts.

use base::{DomainId, Ms};
use catalog::Position;
use sched::evacuation::{EvacuationEvent, Evacuations, KEEP_TIME};
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
fn evacuations_begin_and_end_with_the_list() {
    let mut known = Evacuations::default();
    assert_eq!(known.list(Ms(1), 10, domains(&["a"])), [begun("a")]);
    assert_eq!(known.list(Ms(2), 12, domains(&["a", "b"])), [begun("b")]);
    assert_eq!(known.list(Ms(3), 15, domains(&["b"])), [ended("a")]);
    assert_eq!(*known.domains(), domains(&["b"]));
}

/// Guards against a reader that was paused and passes on a list from before an evacuation.
#[test]
fn an_older_list_of_another_host_is_ignored_and_no_proof() {
    let mut known = Evacuations::default();
    known.list(Ms(100), 20, domains(&[]));
    known.list(Ms(200), 30, domains(&["a"]));
    assert_eq!(known.list(Ms(500), 20, domains(&[])), []);
    assert_eq!(*known.domains(), domains(&["a"]));
    assert_eq!(known.proved(), Some(Ms(200)));
}

/// Guards against an evacuation that is lifted and ordered again between two reads of this host,
/// when another host that read in between reports it as lifted.
#[test]
fn a_list_that_another_host_read_in_between_is_ignored() {
    let mut known = Evacuations::default();
    known.list(Ms(100), 44, domains(&["a"]));
    known.list(Ms(300), 46, domains(&["a"]));
    assert_eq!(known.list(Ms(200), 45, domains(&[])), []);
    assert_eq!(*known.domains(), domains(&["a"]));
}

/// Guards against a list that was requested before a change and arrives after it.
#[test]
fn a_list_of_an_older_revision_is_ignored() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&[]));
    known.list(Ms(2), 14, domains(&["a"]));
    assert_eq!(known.list(Ms(1), 12, domains(&[])), []);
    assert_eq!(*known.domains(), domains(&["a"]));
}

/// Guards against waking all followers for every list that their reader takes.
#[test]
fn a_list_without_a_change_is_a_proof_and_no_event() {
    let mut known = Evacuations::default();
    known.list(Ms(1), 10, domains(&["a"]));
    known.list(Ms(900), 400, domains(&["a"]));
    assert_eq!((known.changed(), known.known()), (Some(10.into()), Some(400.into())));
    assert_eq!(known.proved(), Some(Ms(900)));
}

/// Guards against a host that can't renew its proof, and refuses requests, until the revisions of a
/// store that came back from an older copy have caught up with those that it knows.
#[test]
fn a_list_of_a_newer_era_is_taken_at_a_lower_revision() {
    let mut known = Evacuations::default();
    known.list(Ms(1), Position::new(1, 90), domains(&[]));
    assert_eq!(known.list(Ms(2), Position::new(2, 40), domains(&["a"])), [begun("a")]);
    assert_eq!(known.proved(), Some(Ms(2)));
    assert_eq!(known.list(Ms(3), Position::new(1, 95), domains(&[])), []);
    assert_eq!((known.proved(), known.known()), (Some(Ms(2)), Some(Position::new(2, 40))));
}

/// Guards against requests to an evacuated domain between the store's return from a copy that is
/// older than the evacuation and the moment at which the operator has ordered it again.
#[test]
fn an_evacuation_that_the_store_has_lost_is_kept_until_it_is_ordered_again() {
    let mut known = Evacuations::default();
    known.list(Ms(1), Position::new(1, 90), domains(&["a"]));
    assert_eq!(known.list(Ms(100), Position::new(2, 40), domains(&[])), []);
    assert_eq!(known.list(Ms(2_000), Position::new(2, 41), domains(&["b"])), [begun("b")]);
    assert_eq!(*known.domains(), domains(&["a", "b"]));
    assert_eq!(known.list(Ms(3_000), Position::new(2, 45), domains(&["a", "b"])), []);
    assert_eq!(known.list(Ms(4_000), Position::new(2, 46), domains(&["b"])), [ended("a")]);
}

/// Guards against a domain that stays empty for good because its evacuation was lifted while the
/// store was away.
#[test]
fn an_evacuation_that_the_store_has_lost_ends_after_a_while() {
    let mut known = Evacuations::default();
    known.list(Ms(1), Position::new(1, 90), domains(&["a"]));
    known.list(Ms(100), Position::new(2, 40), domains(&[]));
    let end = Ms(100) + KEEP_TIME;
    assert_eq!(known.list(end - Ms(1), Position::new(2, 41), domains(&[])), []);
    assert_eq!(known.list(end, Position::new(2, 41), domains(&[])), [ended("a")]);
}
