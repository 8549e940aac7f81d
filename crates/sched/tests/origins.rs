//! Records of the software versions at which streams began, and who holds them.

use base::{HostId, Ms};
use sched::origins::{COPIES, Origin, Origins, holders, stream_key};

fn origin(stream: u64, build: &str, until: u64) -> Origin {
    Origin { stream, build: build.into(), until: Ms(until) }
}

fn known(origins: &Origins, now: u64, stream: u64) -> Option<String> {
    origins.get(Ms(now), stream).map(|b| b.as_str().to_owned())
}

#[test]
fn a_record_lasts_as_long_as_its_caller_may_come_back() {
    let mut origins = Origins::default();
    origins.begun(Ms(0), origin(1, "v1", 20_000));
    assert_eq!(known(&origins, 19_999, 1).as_deref(), Some("v1"));
    assert_eq!(known(&origins, 20_000, 1), None);
    origins.evict(Ms(20_000));
    assert!(origins.is_empty());
}

// Guards against a stream that is recorded at the version of a later run, or for which a late message
// of another host replaces what is known.
#[test]
fn the_first_record_of_a_stream_stands() {
    let mut origins = Origins::default();
    origins.told(Ms(0), origin(1, "v1", 10_000));
    origins.told(Ms(1), origin(1, "v2", 20_000));
    origins.begun(Ms(2), origin(1, "v2", 15_000));
    assert_eq!(known(&origins, 19_000, 1).as_deref(), Some("v1"));
}

#[test]
fn each_stream_is_told_once() {
    let mut origins = Origins::default();
    origins.begun(Ms(0), origin(1, "v1", 10_000));
    origins.begun(Ms(1), origin(1, "v1", 12_000));
    origins.begun(Ms(2), origin(2, "v1", 4_000));
    origins.told(Ms(3), origin(3, "v2", 10_000));
    assert_eq!(origins.take_untold(Ms(5_000)), [origin(1, "v1", 12_000)]);
    assert_eq!(origins.take_untold(Ms(5_001)), []);
}

// Guards against a full table that forgets the streams whose callers come back next.
#[test]
fn a_full_table_takes_no_more_until_records_end() {
    let mut origins = Origins::default();
    (0..100_000).for_each(|stream| origins.told(Ms(0), origin(stream, "v1", 10_000)));
    assert_eq!(known(&origins, 1, 0).as_deref(), Some("v1"));
    assert_eq!(known(&origins, 1, 99_999), None);
    let held = origins.len();
    origins.evict(Ms(10_000));
    origins.told(Ms(10_000), origin(99_999, "v2", 20_000));
    assert!(origins.len() < held);
    assert_eq!(known(&origins, 10_001, 99_999).as_deref(), Some("v2"));
}

#[test]
fn another_workspace_s_attempt_is_another_stream() {
    assert_ne!(stream_key("painters", "a1"), stream_key("clerks", "a1"));
    assert_ne!(stream_key("", "a1"), stream_key("a", "1"));
}

// Guards against records that are lost when many hosts fail at once: the callers of half a fleet come
// back to the other half. Of 4,000 streams one in sixty may be lost.
#[test]
fn half_of_a_fleet_may_fail_at_once() {
    let hosts: Vec<HostId> = (0..80).map(|n| HostId::from(format!("edge-{n}"))).collect();
    let alive = &hosts[40..];
    let mut lost = 0;
    for stream in 0..4_000_u64 {
        let stream = base::hash_parts(&[&stream.to_le_bytes()]);
        let held = holders(stream, &hosts, HostId::as_str);
        assert_eq!(held.len(), COPIES);
        let asked = holders(stream, alive, HostId::as_str);
        lost += usize::from(!asked.iter().any(|h| held.contains(h)));
    }
    assert!(lost * 60 <= 4_000 + 60 * 20, "{lost} of 4000 streams are lost");
}

#[test]
fn all_hosts_of_a_small_fleet_hold_each_record() {
    let hosts: Vec<HostId> = (0..5).map(|n| HostId::from(format!("edge-{n}"))).collect();
    assert_eq!(holders(7, &hosts, HostId::as_str).len(), 5);
}
