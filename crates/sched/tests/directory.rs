//! Which engines have read a subject.

use sched::directory::Directory;

#[test]
fn the_newest_readers_come_first() {
    let mut directory = Directory::default();
    for target in ["a@1", "b@1", "c@1", "a@1"] {
        directory.record("engines", 7, target);
    }
    assert_eq!(directory.readers("engines", 7), ["a@1", "c@1", "b@1"]);
    assert!(directory.readers("engines", 8).is_empty());
    assert!(directory.readers("others", 7).is_empty(), "services are kept apart");
}

// Guards against a host that runs out of memory after some days because it keeps every subject
// forever.
#[test]
fn old_subjects_are_forgotten() {
    let mut directory = Directory::default();
    for subject in 0..50_000 {
        directory.record("engines", subject, "a@1");
    }
    let kept = (0..50_000).filter(|s| !directory.readers("engines", *s).is_empty()).count();
    assert_eq!(kept, 20_000);
    assert!(!directory.readers("engines", 49_999).is_empty());
}
