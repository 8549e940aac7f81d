//! Tests of the list of prompt parts that end engines.

use catalog::{Finding, MAX_POISON_PARTS, PartChanges, PoisonParts, Position};

fn at(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

#[test]
fn a_found_part_counts_before_the_store_lists_it() {
    let mut parts = PoisonParts::default();
    assert_eq!(parts.found(7), Finding::New);
    assert_eq!(parts.found(7), Finding::Known);
    assert_eq!(parts.apply(at(1, 5), &[]), Some(PartChanges::default()));
    assert!(parts.contains(7));
    assert_eq!(parts.unlisted(), [7]);
    parts.apply(at(1, 6), &[7]);
    assert_eq!(parts.listed(), [7]);
    assert!(parts.unlisted().is_empty());
}

// Guards against a part that an operator can't lift.
#[test]
fn a_part_that_was_removed_from_the_list_is_lifted() {
    let mut parts = PoisonParts::default();
    parts.apply(at(1, 5), &[7, 8]);
    let changes = parts.apply(at(1, 6), &[8]).unwrap();
    assert_eq!(changes, PartChanges { added: vec![], lifted: vec![7] });
    assert!(!parts.contains(7));
}

// Guards against a part that ends engines again because the store came back from an older copy.
#[test]
fn a_part_that_a_restored_store_lacks_is_listed_again() {
    let mut parts = PoisonParts::default();
    parts.apply(at(1, 5), &[7]);
    parts.apply(at(2, 3), &[]);
    assert!(parts.contains(7));
    assert_eq!(parts.unlisted(), [7]);
}

// Guards against a host that follows another one and is told an older list.
#[test]
fn an_older_list_changes_nothing() {
    let mut parts = PoisonParts::default();
    parts.apply(at(1, 5), &[7]);
    assert_eq!(parts.apply(at(1, 5), &[]), None);
    assert_eq!(parts.apply(at(1, 4), &[]), None);
    assert!(parts.contains(7));
}

#[test]
fn a_full_table_takes_no_more_parts() {
    let mut parts = PoisonParts::default();
    (0..MAX_POISON_PARTS as u64).for_each(|part| assert_eq!(parts.found(part), Finding::New));
    assert_eq!(parts.found(u64::MAX), Finding::TableFull);
    assert!(!parts.contains(u64::MAX));
}
