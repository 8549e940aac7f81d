//! Who composes and who reads, in fleets of hosts of different size.

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

// Callers of a region wait behind one host that has an eighth of a core for all stage calls, beside
// hosts with half a core. Duties go to the large ones alone, and to several of them.
#[test]
fn duties_fall_to_large_hosts() {
    let fleet = fleet(3, 50);
    let hosts: Vec<&Host> = fleet.iter().collect();
    let holders: HashSet<&str> = (0..40)
        .map(|key| choose(&hosts, &key.to_string()).unwrap())
        .inspect(|h| assert_eq!(h.capacity, 500, "{}", h.name))
        .map(|h| h.name.as_str())
        .collect();
    assert_eq!(holders.len(), 3);
}

// All large hosts are lost: the small ones take the duties over rather than nobody.
#[test]
fn without_a_large_host_small_ones_do() {
    let fleet = fleet(0, 20);
    let hosts: Vec<&Host> = fleet.iter().collect();
    assert!(choose(&hosts, "any").is_some());
    assert!(choose(&[], "any").is_none());
}

#[test]
fn the_loss_of_one_host_moves_its_own_duties_only() {
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

/// Guards against a dozen hosts that hear from a whole fleet while the others hear nothing.
#[test]
fn what_a_fleet_tells_another_domain_reaches_its_hosts_evenly() {
    let names: Vec<String> = (0..50).map(|i| format!("edge-south-{i}")).collect();
    let hosts: Vec<&String> = names.iter().collect();
    let mut heard = std::collections::HashMap::new();
    for teller in 0..50 {
        let told = recipients(&format!("edge-north-{teller}"), &hosts, |n| n.as_str(), 12);
        assert_eq!(told.len(), 12);
        told.into_iter().for_each(|n| *heard.entry(n.clone()).or_insert(0) += 1);
    }
    assert_eq!(heard.len(), 50);
    assert!(heard.values().all(|n| (2..=26).contains(n)), "{heard:?}");
}
