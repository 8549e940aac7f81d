//! Updates of the evacuated failure domains from the store and from other hosts.

use base::{DomainId, Ms};
use sched::evacuation::{EvacuationEvent, Evacuations};
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
    assert_eq!((known.changed(), known.known()), (Some(10), Some(400)));
    assert_eq!(known.proved(), Some(Ms(900)));
}
