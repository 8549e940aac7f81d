//! What the list of software versions proves, read at several positions of the store.

use base::{BuildId, Ms, PoolId};
use catalog::{Build, Builds, MAX_STREAM_LIFETIME, Position, UnusedBuilds};
use std::collections::BTreeSet;

fn engines() -> PoolId {
    "engines".into()
}

fn list(ids: &[&str]) -> BTreeSet<Build> {
    ids.iter().map(|id| Build { service: engines(), id: (*id).into() }).collect()
}

#[test]
fn a_single_version_is_where_all_streams_began() {
    let mut builds = Builds::default();
    assert_eq!(builds.only(&engines()), None);
    assert!(builds.apply(Ms(0), Position::new(0, 5), &list(&["1"])));
    assert_eq!(builds.only(&engines()), Some(&BuildId::from("1")));
    assert!(builds.apply(Ms(1), Position::new(0, 7), &list(&["1", "2"])));
    assert_eq!(builds.only(&engines()), None);
    assert!(builds.is_mixed(&engines()) && builds.any_mixed());
    assert_eq!(builds.listed(), list(&["1", "2"]));
}

// Guards against streams that go on at another version because an old answer, or a store that came
// back from an older copy, lacks the version at which they began.
#[test]
fn a_version_that_was_listed_counts_as_long_as_callers_may_come_back() {
    let mut builds = Builds::default();
    builds.apply(Ms(0), Position::new(1, 9), &list(&["1", "2"]));
    assert!(!builds.apply(Ms(1), Position::new(1, 5), &list(&["1"])));
    assert!(builds.lists(&engines(), &"2".into()));
    assert!(builds.apply(Ms(2), Position::new(2, 5), &list(&["1"])));
    assert!(!builds.lists(&engines(), &"2".into()), "it must be listed again first");
    builds.expire(Ms(1) + MAX_STREAM_LIFETIME);
    assert_eq!(builds.only(&engines()), None);
    builds.expire(Ms(2) + MAX_STREAM_LIFETIME);
    assert_eq!(builds.only(&engines()), Some(&BuildId::from("1")));
}

#[test]
fn a_version_leaves_the_list_when_it_had_no_target_for_long() {
    let (both, one) = (list(&["1", "2"]), list(&["2"]));
    let mut unused = UnusedBuilds::default();
    assert_eq!(unused.observe(Ms(0), &both, &one), []);
    assert_eq!(unused.observe(MAX_STREAM_LIFETIME - Ms(1), &both, &one), []);
    let due = unused.observe(MAX_STREAM_LIFETIME, &both, &one);
    assert_eq!(due.into_iter().collect::<BTreeSet<_>>(), list(&["1"]));
    // A target of it has come back.
    assert_eq!(unused.observe(MAX_STREAM_LIFETIME, &both, &both), []);
    assert_eq!(unused.observe(MAX_STREAM_LIFETIME + Ms(1), &both, &one), []);
}
