//! What the list of software versions proves, read at several positions of the store.

use base::{BuildId, PoolId};
use catalog::{Build, Builds, Position};

fn engines() -> PoolId {
    "engines".into()
}

fn build(id: &str) -> Build {
    Build { service: engines(), id: id.into() }
}

#[test]
fn a_single_version_is_where_all_streams_began() {
    let mut builds = Builds::default();
    assert_eq!(builds.only(&engines()), None);
    assert!(builds.apply(Position::new(0, 5), [build("1")]));
    assert_eq!(builds.only(&engines()), Some(&BuildId::from("1")));
    assert!(builds.apply(Position::new(0, 7), [build("1"), build("2")]));
    assert_eq!(builds.only(&engines()), None);
    assert!(builds.is_mixed(&engines()) && builds.any_mixed());
}

// Guards against streams that go on at another version because an old answer, or a store that came
// back from an older copy, lacks the version at which they began.
#[test]
fn a_version_that_was_listed_stays_known() {
    let mut builds = Builds::default();
    builds.apply(Position::new(1, 9), [build("1"), build("2")]);
    assert!(!builds.apply(Position::new(1, 5), [build("1")]));
    assert!(builds.apply(Position::new(2, 5), [build("1")]));
    assert!(builds.lists(&engines(), &"2".into()));
    assert_eq!(builds.only(&engines()), None);
    assert_eq!(builds.all().collect::<Vec<_>>(), [build("1"), build("2")]);
}
