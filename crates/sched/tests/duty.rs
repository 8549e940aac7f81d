//! Who composes and who reads, in fleets of hosts of different size.

use sched::duty::holder;
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
    holder(key.as_bytes(), hosts, |h| &h.name, |h| h.capacity)
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
