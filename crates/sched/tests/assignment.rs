//! Assignment of work in fleets with hosts of different sizes.

use sched::assignment::{assignee, recipients};
use std::collections::HashSet;

struct Host {
    name: String,
    capacity: u32,
}

fn fleet(large: usize, small: usize) -> Vec<Host> {
    let host =
        |i: usize| Host { name: format!("host-{i}"), capacity: if i < large { 500 } else { 120 } };
    (0..large + small).map(host).collect()
}

fn choose<'a>(hosts: &[&'a Host], key: &str) -> Option<&'a Host> {
    assignee(key.as_bytes(), hosts, |h| &h.name, |h| h.capacity)
}

// Guards against the callers of a region waiting for one host with an eighth of a core that handles
// all stage calls, next to hosts with half a core. Work is assigned to large hosts only, and to
// several of them.
#[test]
fn work_is_assigned_to_large_hosts() {
    let fleet = fleet(3, 50);
    let hosts: Vec<&Host> = fleet.iter().collect();
    let assignees: HashSet<&str> = (0..40)
        .map(|key| choose(&hosts, &key.to_string()).unwrap())
        .inspect(|h| assert_eq!(h.capacity, 500, "{}", h.name))
        .map(|h| h.name.as_str())
        .collect();
    assert_eq!(assignees.len(), 3);
}

// When all large hosts are lost, small ones take over.
#[test]
fn small_hosts_take_over_without_a_large_one() {
    let fleet = fleet(0, 20);
    let hosts: Vec<&Host> = fleet.iter().collect();
    assert!(choose(&hosts, "any").is_some());
    assert!(choose(&[], "any").is_none());
}

#[test]
fn the_loss_of_a_host_moves_only_its_own_assignments() {
    let fleet = fleet(4, 20);
    let hosts: Vec<&Host> = fleet.iter().collect();
    let left: Vec<&Host> = fleet.iter().filter(|h| h.name != "host-2").collect();
    for key in 0..40 {
        let key = key.to_string();
        let before = choose(&hosts, &key).unwrap();
        if before.name != "host-2" {
            assert_eq!(choose(&left, &key).unwrap().name, before.name);
        }
    }
}

/// Guards against a dozen hosts hearing from a whole fleet while the others hear nothing.
#[test]
fn notifications_spread_evenly_over_another_domain() {
    let names: Vec<String> = (0..50).map(|i| format!("edge-south-{i}")).collect();
    let hosts: Vec<&String> = names.iter().collect();
    let mut received = std::collections::HashMap::new();
    for sender in 0..50 {
        let chosen = recipients(&format!("edge-north-{sender}"), &hosts, |n| n.as_str(), 12);
        assert_eq!(chosen.len(), 12);
        chosen.into_iter().for_each(|n| *received.entry(n.clone()).or_insert(0) += 1);
    }
    assert_eq!(received.len(), 50);
    assert!(received.values().all(|n| (2..=26).contains(n)), "{received:?}");
}
