//! Fleets of several sizes in virtual time: the configuration and the membership reach all hosts.

use base::{Ms, Version};
use mesh::{FleetSize, Mesh, fleet_yaml, host_config, object};

fn size(hosts: usize) -> FleetSize {
    FleetSize { hosts, domains: if hosts > 20 { 8 } else { 3 }, targets: 24, workspaces: 5 }
}

fn apply(mesh: &mut Mesh, size: FleetSize, generation: u64) {
    let expected = mesh.platform.get("fleet", "fleet").map_or(0, |o| o.version);
    let object =
        object(generation, &format!("change-{generation}"), fleet_yaml(size, generation), &[]);
    let body = serde_json::to_string(&object).unwrap();
    mesh.put("fleet", "fleet", Version(expected), body).unwrap();
}

fn started(hosts: usize) -> (Mesh, FleetSize) {
    let size = size(hosts);
    let mut mesh = Mesh::new((0..hosts).map(|i| host_config(size, i, 1)).collect());
    apply(&mut mesh, size, 1);
    for i in 0..hosts {
        mesh.start(i);
    }
    mesh.run(Ms::secs(20));
    (mesh, size)
}

fn last_in_force(mesh: &Mesh, generation: u64) -> Option<Ms> {
    (0..mesh.len())
        .map(|i| mesh.learned(i).generations.iter().find(|g| g.1 >= generation).map(|g| g.0))
        .collect::<Option<Vec<_>>>()?
        .into_iter()
        .max()
}

#[test]
fn all_hosts_know_each_other_and_the_configuration() {
    for hosts in [1, 2, 6, 60] {
        let (mesh, _) = started(hosts);
        for i in 0..hosts {
            assert_eq!(mesh.state(i).unwrap().view().len(), hosts, "host {i} of {hosts}");
            assert_eq!(mesh.state(i).unwrap().generation().0, 1, "host {i} of {hosts}");
            let old = mesh.state(i).unwrap().members().filter(|m| m.generation < 1).count();
            assert_eq!(old, 0, "host {i} of {hosts} knows what is in force everywhere");
        }
    }
}

#[test]
fn a_change_is_in_force_on_six_hosts_within_two_seconds() {
    let (mut mesh, size) = started(6);
    let at = mesh.now();
    apply(&mut mesh, size, 2);
    mesh.run(Ms::secs(10));
    let took = last_in_force(&mesh, 2).expect("in force everywhere") - at;
    assert!(took < Ms::secs(2), "{took}");
}
