//! Tests of the list of what ends targets.

use base::Suspect::{self, Part, Request};
use catalog::{Finding, MAX_QUARANTINED, Position, Quarantine, QuarantineChanges, QuarantineList};

fn at(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

/// A list that another host has read.
fn told(position: Position, listed: &[Suspect]) -> QuarantineList<'_> {
    QuarantineList { position, listed, removed: &[], own: false }
}

/// A list that this host has read.
fn read(position: Position, listed: &[Suspect]) -> QuarantineList<'_> {
    QuarantineList { own: true, ..told(position, listed) }
}

#[test]
fn a_found_part_counts_before_the_store_lists_it() {
    let mut parts = Quarantine::default();
    assert_eq!(parts.found(Part(7)), Finding::New);
    assert_eq!(parts.found(Part(7)), Finding::Known);
    assert_eq!(parts.apply(told(at(1, 5), &[])), Some(QuarantineChanges::default()));
    assert!(parts.contains(Part(7)));
    assert_eq!(parts.unlisted(), [Part(7)]);
    parts.apply(told(at(1, 6), &[Part(7)]));
    assert_eq!(parts.listed(), [Part(7)]);
    assert!(parts.unlisted().is_empty());
}

// Guards against a part that an operator can't lift.
#[test]
fn a_part_that_was_removed_from_the_list_is_lifted() {
    let mut parts = Quarantine::default();
    parts.apply(told(at(1, 5), &[Part(7), Request(8)]));
    let removed = QuarantineList { removed: &[Part(7)], ..told(at(1, 6), &[Request(8)]) };
    let changes = parts.apply(removed).unwrap();
    let lifted = vec![Part(7)];
    assert_eq!(changes, QuarantineChanges { lifted, ..QuarantineChanges::default() });
    assert!(!parts.contains(Part(7)));
    assert_eq!(parts.lifted().collect::<Vec<Suspect>>(), [Part(7)]);
}

// Guards against a part that counts as lifted because a list lacks it: an older copy of the store lacks it
// too, and need not say that it is one.
#[test]
fn a_part_that_a_list_lacks_without_a_removal_is_written_again() {
    let mut parts = Quarantine::default();
    parts.apply(told(at(1, 5), &[Part(7)]));
    let changes = parts.apply(told(at(1, 6), &[])).unwrap();
    let missing = vec![Part(7)];
    assert_eq!(changes, QuarantineChanges { missing, ..QuarantineChanges::default() });
    assert!(parts.contains(Part(7)));
    assert_eq!(parts.unlisted(), [Part(7)]);
}

// Guards against the same while the copy's revisions are still below those that are known.
#[test]
fn a_part_that_an_older_read_of_the_store_lacks_is_written_again() {
    let mut parts = Quarantine::default();
    parts.apply(read(at(1, 5), &[Part(7)]));
    parts.apply(read(at(1, 3), &[]));
    assert_eq!(parts.unlisted(), [Part(7)]);
    // Once it is listed, it is not written again and again.
    parts.apply(read(at(1, 4), &[Part(7)]));
    assert_eq!(parts.unlisted(), []);
}

// Guards against a part that ends engines again because the store came back from an older copy.
#[test]
fn a_part_that_a_restored_store_lacks_is_listed_again() {
    let mut parts = Quarantine::default();
    parts.apply(told(at(1, 5), &[Part(7)]));
    parts.apply(told(at(2, 3), &[]));
    assert!(parts.contains(Part(7)));
    assert_eq!(parts.unlisted(), [Part(7)]);
}

// Guards against a host that follows another one and is told an older list.
#[test]
fn an_older_list_changes_nothing() {
    let mut parts = Quarantine::default();
    parts.apply(told(at(1, 5), &[Part(7)]));
    assert_eq!(parts.apply(told(at(1, 5), &[])), None);
    assert_eq!(parts.apply(told(at(1, 4), &[])), None);
    assert!(parts.contains(Part(7)));
}

#[test]
fn a_full_table_takes_no_more_parts() {
    let mut parts = Quarantine::default();
    let add = |kind: fn(u64) -> Suspect, parts: &mut Quarantine| {
        (0..MAX_QUARANTINED as u64).for_each(|id| assert_eq!(parts.found(kind(id)), Finding::New));
        assert_eq!(parts.found(kind(u64::MAX)), Finding::TableFull);
        assert!(!parts.contains(kind(u64::MAX)));
    };
    add(Part, &mut parts);
    // Parts take no room from requests.
    add(Request, &mut parts);
}
