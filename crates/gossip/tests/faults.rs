//! Single faults in virtual time: what hosts or their callers see, and when it ends.

use base::{Ms, Version};
use gossip::{Announcement, GossipConfig, Safeguard};
use logs::Event as Log;
use mesh::{FleetSize, Mesh, fleet_yaml, host_config, object};
use wire::{Exchange, LeavingTarget};

const SIX_HOSTS: FleetSize = FleetSize { hosts: 6, domains: 3, targets: 24, workspaces: 2 };

fn fleet(generation: u64, change: &str) -> String {
    let yaml = fleet_yaml(SIX_HOSTS, generation);
    serde_json::to_string(&object(generation, change, yaml, &[])).unwrap()
}

fn apply(mesh: &mut Mesh, generation: u64) {
    let version = mesh.platform.get("fleet", "fleet").map_or(0, |o| o.version);
    let body = fleet(generation, &format!("change-{generation}"));
    mesh.put("fleet", "fleet", Version(version), body).unwrap();
}

fn started(change: impl Fn(&mut GossipConfig)) -> Mesh {
    let configs = (0..SIX_HOSTS.hosts).map(|i| {
        let mut config = host_config(SIX_HOSTS, i, 1);
        change(&mut config);
        config
    });
    let mut mesh = Mesh::new(configs.collect());
    for target in 0..SIX_HOSTS.targets {
        mesh.targets.insert(format!("target-{target}"), mesh::Target::default());
    }
    apply(&mut mesh, 1);
    for host in 0..SIX_HOSTS.hosts {
        mesh.start(host);
    }
    mesh.run(Ms::secs(15));
    mesh
}

fn sees(mesh: &Mesh, host: usize, other: usize) -> bool {
    let name = format!("host-{other}");
    mesh.state(host).unwrap().view().iter().any(|v| v.host.as_str() == name)
}

/// The process of a host is stopped: connections stay open, and calls to it time out. Undetected,
/// other hosts would keep relying on it: its targets wouldn't be polled, and writers of its shards
/// would wait. After two failed calls it is suspected, and as no later heartbeat comes, it is
/// marked as dead. When it resumes, its heartbeats show that it is alive.
#[test]
fn a_paused_host_is_detected_and_rejoins() {
    let mut mesh = started(|_| ());
    mesh.pause(2);
    mesh.run(Ms::secs(12));
    for host in [0, 1, 3, 4, 5] {
        assert!(!sees(&mesh, host, 2), "host {host}");
    }
    assert_eq!(mesh.learned(5).live, 1, "its domain's other host knows");
    assert_eq!(mesh.state(5).unwrap().polled_targets(), 8, "and polls all of the domain");
    mesh.resume(2);
    mesh.run(Ms::secs(12));
    for host in 0..6 {
        assert!(sees(&mesh, host, 2), "host {host}");
    }
}

/// The link from one host to another is cut in one direction; the second host still calls the first
/// and answers the others. No caller notices anything, but the first host logs that it can't call
/// the second. Marking the second as dead would take work from a host that can do it.
#[test]
fn a_one_way_cut_is_reported_and_no_host_is_taken_for_dead() {
    let mut mesh = started(|_| ());
    mesh.cut(0, 1);
    mesh.run(Ms::secs(60));
    for host in 0..6 {
        assert_eq!(mesh.state(host).unwrap().view().len(), 6, "host {host}");
    }
    let reported = mesh.learned(0).notes.contains(&(Log::PeerCut, "host-1".into()));
    assert!(reported, "{:?}", mesh.learned(0).notes);
}

/// A host receives everything, but nothing that it sends arrives. Undetected, work that needs it
/// would wait in vain. As its calls and answers are lost, no later heartbeat of it comes, and it is
/// marked as dead.
#[test]
fn a_host_that_can_only_receive_is_detected() {
    let mut mesh = started(|_| ());
    for other in [0, 1, 2, 4, 5] {
        mesh.cut(3, other);
    }
    mesh.run(Ms::secs(20));
    for host in [0, 1, 2, 4, 5] {
        assert!(!sees(&mesh, host, 3), "host {host}");
    }
    mesh.heal();
    mesh.run(Ms::secs(20));
    for host in 0..6 {
        assert_eq!(mesh.state(host).unwrap().view().len(), 6, "host {host}");
    }
}

/// A host that is replaced during an outage of the platform serves callers within seconds: it has
/// nothing in memory and gets nothing from the platform, but its seeds send it the configuration
/// with the answer to its first call.
#[test]
fn a_host_that_restarts_in_an_outage_gets_its_configuration_from_peers() {
    let mut mesh = started(|_| ());
    mesh.platform.faults.down = true;
    mesh.run(Ms::secs(20));
    mesh.kill(4);
    mesh.run(Ms::secs(2));
    mesh.start(4);
    mesh.run(Ms::secs(2));
    let state = mesh.state(4).unwrap();
    assert_eq!(state.generation().0, 1);
    assert_eq!(state.fleet().unwrap().audit.len(), 1, "with the audit trail");
    mesh.run(Ms::secs(3));
    assert_eq!(mesh.state(4).unwrap().view().len(), 6);
}

/// The end of an outage causes no second one: during the outage the hosts call less and less often,
/// and at its end they don't all call at once. Without the backoff they call as fast as the
/// platform refuses.
#[test]
fn calls_in_an_outage_are_few() {
    let calls = |disabled| {
        let mut mesh = started(|config| config.disabled = disabled);
        mesh.platform.faults.down = true;
        let before = mesh.platform.calls;
        mesh.run(Ms::secs(60));
        mesh.platform.calls - before
    };
    // Six hosts read three kinds each. After some seconds of backoff, each kind is read once in 2.5
    // s at most.
    let bound = 6 * 3 * (60 * 2 / 5 + 6);
    assert!(calls(None) < bound, "{}", calls(None));
    assert!(calls(Some(Safeguard::Backoff)) > bound);
}

/// The watcher of a domain has lost the platform, and the domain is cut off from the others. The
/// domain's hosts would keep serving with old settings although half of them could read new ones.
/// The watcher reports that it can't reach the platform, and the domain's other host watches
/// instead.
#[test]
fn a_blind_watcher_hands_on() {
    let in_force = |disabled| {
        let mut mesh = started(|config| {
            config.watchers = 1;
            config.disabled = disabled;
        });
        let (a, b) = (1, 4);
        for host in [a, b] {
            for other in (0..6).filter(|o| ![a, b].contains(o)) {
                mesh.cut(host, other);
                mesh.cut(other, host);
            }
        }
        // Each of the two hosts loses the platform in turn, so that one of the losses affects the
        // watcher.
        let mut worst = 2;
        for watcher in [a, b] {
            mesh.set_platform_reachable(watcher, false);
            mesh.run(Ms::secs(25));
            let next = mesh.state(a).unwrap().generation().0 + 1;
            apply(&mut mesh, next);
            mesh.run(Ms::secs(30));
            let now = |h: usize| mesh.state(h).unwrap().generation().0;
            worst = worst.min(now(a).min(now(b)) + 2 - next);
            mesh.set_platform_reachable(watcher, true);
            mesh.run(Ms::secs(60));
        }
        worst
    };
    assert_eq!(in_force(None), 2, "in force on both, whoever is blind");
    assert!(in_force(Some(Safeguard::BlindHandover)) < 2);
}

/// All hosts converge on one configuration although two were accepted with the same generation: the
/// store was restored without the newest write and accepted another in its place. The later write
/// wins.
#[test]
fn of_two_changes_of_one_generation_the_later_write_counts() {
    let mut mesh = started(|_| ());
    let first = mesh.platform.get("fleet", "fleet").unwrap().clone();
    apply(&mut mesh, 2);
    mesh.run(Ms::secs(5));
    mesh.platform.restore(first.clone());
    mesh.put("fleet", "fleet", Version(first.version), fleet(2, "another")).unwrap();
    mesh.run(Ms::secs(60));
    for host in 0..6 {
        assert_eq!(mesh.state(host).unwrap().fleet().unwrap().change, "another", "host {host}");
    }
    let replaced = |h: usize| mesh.learned(h).notes.iter().any(|n| n.0 == Log::ConfigReplaced);
    assert!((0..6).all(replaced));
}

/// A request that crashes targets is refused on every host before its caller has sent it to many of
/// them: its mark reaches all hosts within two gossip rounds, and later expires.
#[test]
fn a_poison_mark_reaches_all_within_two_rounds() {
    let mut mesh = started(|_| ());
    let at = mesh.now();
    mesh.announce(3, Announcement::Poison { fingerprint: 9, until: at + Ms::secs(600) });
    mesh.run(Ms::secs(2));
    for host in 0..6 {
        assert!(mesh.learned(host).poison.contains_key(&9), "host {host}");
    }
}

/// A host that stops gets no more work from its peers, as it announces at once that it is leaving.
#[test]
fn a_host_that_stops_leaves_the_view() {
    let mut mesh = started(|_| ());
    mesh.announce(3, Announcement::Leaving);
    mesh.run(Ms::secs(2));
    for host in 0..6 {
        assert!(!sees(&mesh, host, 3), "host {host}");
    }
    assert_eq!(mesh.learned(0).live, 1);
    let polled: usize = (0..6).map(|h| mesh.state(h).unwrap().polled_targets()).sum();
    assert_eq!(polled, SIX_HOSTS.targets);
}

/// No host sends new work to a target three seconds after an operator marked it as leaving, or
/// after its own load report said so.
#[test]
fn a_leaving_target_is_known_everywhere_within_three_seconds() {
    let mut mesh = started(|_| ());
    let mark = LeavingTarget {
        target: "target-5".into(),
        since_ms: mesh.now().0,
        leaving: true,
        ..LeavingTarget::default()
    };
    mesh.put("leaving", "target-5", Version(0), serde_json::to_string(&mark).unwrap()).unwrap();
    mesh.targets.get_mut("target-9").unwrap().leaving = true;
    mesh.run(Ms::secs(3));
    for host in 0..6 {
        for target in ["target-5", "target-9"] {
            let known = mesh.learned(host).leaving.get(target).is_some_and(|w| w.1);
            assert!(known, "{target} on host {host}");
        }
    }
}

/// An operator's mark holds although the target itself reports otherwise: only the source that
/// marked a target as leaving, or an operator, can revoke the mark.
#[test]
fn a_target_cannot_revoke_an_operators_mark() {
    let mut mesh = started(|_| ());
    let at = mesh.now().0;
    let mark_json = |since_ms, leaving| {
        let target = "target-5".into();
        let mark = LeavingTarget { target, since_ms, leaving, ..LeavingTarget::default() };
        serde_json::to_string(&mark).unwrap()
    };
    let version = mesh.put("leaving", "target-5", Version(0), mark_json(at, true)).unwrap();
    mesh.run(Ms::secs(10));
    let is_leaving =
        |mesh: &Mesh, h: usize| mesh.state(h).unwrap().leaving_mark("target-5").unwrap().leaving;
    assert!((0..6).all(|h| is_leaving(&mesh, h)));
    mesh.put("leaving", "target-5", version, mark_json(at + 10_000, false)).unwrap();
    mesh.run(Ms::secs(10));
    assert!((0..6).all(|h| !is_leaving(&mesh, h)));
}

/// A delta with another base than a host's configuration changes nothing: the host asks for the
/// full configuration and gets it with the next answers.
#[test]
fn a_delta_with_another_base_is_replaced_by_the_full_configuration() {
    let mut mesh = started(|_| ());
    let delta = wire::FleetDelta { from: 1, generation: 7, ..wire::FleetDelta::default() };
    mesh.replay(2, Exchange { delta: Some(delta), ..Exchange::default() });
    assert_eq!(mesh.state(2).unwrap().generation().0, 1);
    apply(&mut mesh, 2);
    mesh.run(Ms::secs(5));
    assert_eq!(mesh.state(2).unwrap().generation().0, 2);
}

/// A host restarts while the store returns stale data. It has no configuration to compare the data
/// with, and its callers would be served with the one that was in force before the last change. So
/// it waits for an answer from a peer before it uses the platform's configuration.
#[test]
fn a_host_that_restarts_before_a_stale_store_goes_by_its_peers() {
    let first = |disabled| {
        let mut mesh = started(|config| config.disabled = disabled);
        mesh.platform.freeze(true);
        let object = mesh.platform.get("fleet", "fleet").unwrap().version;
        mesh.put("fleet", "fleet", Version(object), fleet(2, "newer")).unwrap();
        mesh.replay(
            0,
            Exchange {
                fleet: serde_json::from_str(&fleet(2, "newer")).ok(),
                fleet_version: object + 1,
                ..Exchange::default()
            },
        );
        mesh.run(Ms::secs(5));
        // Its other peers are in the other region and farther away than the platform.
        mesh.kill(1);
        mesh.start(4);
        mesh.run(Ms::secs(5));
        mesh.learned(4).generations[0].1
    };
    assert_eq!(first(None), 2);
    assert_eq!(first(Some(Safeguard::PeersFirst)), 1);
}

/// A host restarts with its clock behind. Its messages would be taken for those of its earlier run,
/// as its incarnation is older than what is known of it. It learns this from its peers and
/// continues from the higher incarnation.
#[test]
fn a_host_whose_clock_is_behind_is_seen_after_its_restart() {
    let mut mesh = started(|_| ());
    mesh.kill(1);
    mesh.run(Ms::secs(30));
    mesh.start_behind(1, Ms::secs(3600));
    mesh.run(Ms::secs(15));
    for host in 0..6 {
        assert!(sees(&mesh, host, 1), "host {host}");
    }
}
