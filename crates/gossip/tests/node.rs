//! Nodes over real sockets, with a fake platform.

use async_trait::async_trait;
use base::{Clock, Ms, SystemClock};
use conf::Settings;
use fakes::{Platform, PlatformFaults, Target, TargetConfig};
use gossip::{Announcement, Node, NodeConfig, Update};
use mesh::{FleetSize, fleet_yaml, object};
use peer::{Claims, PeerClient, Peers};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig};
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Claim, Finish, Grant, GrantKind};

const SIZE: FleetSize = FleetSize { hosts: 3, domains: 1, targets: 1, workspaces: 1 };
/// Longer than any step here takes; a test that waits this long has failed.
const TEST_TIMEOUT: Ms = Ms::secs(30);

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A target address that nobody listens at.
fn closed_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

fn api(platform: &Platform) -> HttpApi {
    let config = HttpConfig { silence_ms: Ms::secs(1), watch_ms: Ms::secs(1) };
    HttpApi::new(platform.addr(), config)
}

async fn apply(platform: &Platform, generation: u64, target: SocketAddr) {
    let yaml = fleet_yaml(SIZE, generation).replace("127.0.0.1:20000", &target.to_string());
    let next = object(generation, &format!("change-{generation}"), yaml, &[]);
    let api = api(platform);
    let before = api.get("fleet", "fleet").await.unwrap().map_or(0, |o| o.version);
    let body = serde_json::to_string(&next).unwrap();
    api.put("fleet", "fleet", base::Version(before), &body).await.unwrap();
}

async fn node(
    name: &str,
    platform: &Platform,
    seeds: &[SocketAddr],
) -> (Node, UnboundedReceiver<Update>) {
    let any = local();
    let mut yaml = format!(
        "host: {name}\ndomain: domain-0\nregion: region-0\nlisten: {any}\nadmin: {any}\n\
         peer: {any}\nplatform: {}\nrates:\n  gossip_ms: 50\n  poll_ms: 50\n  suspect_ms: 1000\n",
        platform.addr()
    );
    if !seeds.is_empty() {
        yaml.push_str("seeds:\n");
    }
    for seed in seeds {
        yaml.push_str(&format!("  - host: seed\n    domain: domain-0\n    address: {seed}\n"));
    }
    let settings = Settings::parse(&yaml).unwrap();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    Node::start(NodeConfig { settings, capacity: 0 }, Arc::new(api(platform)), clock).await.unwrap()
}

async fn wait_for(
    updates: &mut UnboundedReceiver<Update>,
    wanted: impl Fn(&Update) -> bool,
) -> Update {
    let wait = async {
        loop {
            let next = updates.recv().await.expect("the node runs");
            if wanted(&next) {
                return next;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT.duration(), wait).await.expect("the update arrives")
}

async fn eventually(mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Ms(10).duration()).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT.duration(), wait).await.expect("the condition becomes true");
}

async fn target() -> Target {
    let config = TargetConfig {
        name: "target-0".into(),
        addr: local(),
        engine: true,
        slots: 4,
        call_ms: 1,
        token_ms: 1,
        models: vec!["model-0".into()],
        checks_fence: false,
    };
    Target::start(config).await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_find_each_other_and_share_what_they_learn() {
    let platform = Platform::start(local()).await.unwrap();
    let target = target().await;
    apply(&platform, 1, target.addr()).await;
    let (a, mut a_updates) = node("host-a", &platform, &[]).await;
    let (b, mut b_updates) = node("host-b", &platform, &[a.addr()]).await;
    for updates in [&mut a_updates, &mut b_updates] {
        // The three updates may come in any order.
        let mut seen = [false; 3];
        while seen != [true; 3] {
            match wait_for(updates, |_| true).await {
                Update::Fleet(plan) if plan.generation.0 == 1 => seen[0] = true,
                Update::Hosts { live: 2 } => seen[1] = true,
                Update::Load { .. } => seen[2] = true,
                _ => {}
            }
        }
    }
    eventually(|| {
        a.reader().members().len() == 2 && a.reader().members().iter().all(|m| m.generation == 1)
    })
    .await;
    b.announcements().send(Announcement::Poison { fingerprint: 7, until: Ms(u64::MAX) }).unwrap();
    wait_for(&mut a_updates, |n| matches!(n, Update::Poisoned { fingerprint: 7, .. })).await;
    assert!(a.reader().counters().sent_bytes > 0 && a.reader().counters().platform_calls > 0);
    // A host that stops announces it before it goes.
    b.close().await;
    eventually(|| a.view().hosts().len() == 1).await;
    a.close().await;
    target.close().await;
    platform.close().await;
}

/// A host that is replaced during an outage serves its callers within seconds: the platform answers
/// nothing, and the new host gets the configuration, with its audit trail, from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_in_an_outage_learns_from_its_peers() {
    let platform = Platform::start(local()).await.unwrap();
    apply(&platform, 1, closed_address()).await;
    let (a, mut a_updates) = node("host-a", &platform, &[]).await;
    wait_for(&mut a_updates, |n| matches!(n, Update::Fleet(_))).await;
    platform.set_faults(PlatformFaults { silent: true, ..PlatformFaults::default() });
    let (b, mut b_updates) = node("host-b", &platform, &[a.addr()]).await;
    wait_for(&mut b_updates, |n| matches!(n, Update::Fleet(p) if p.generation.0 == 1)).await;
    assert_eq!(b.reader().fleet().unwrap().audit.len(), 1);
    // The outage ends, and a change reaches both.
    platform.set_faults(PlatformFaults::default());
    apply(&platform, 2, closed_address()).await;
    for updates in [&mut a_updates, &mut b_updates] {
        wait_for(updates, |n| matches!(n, Update::Fleet(p) if p.generation.0 == 2)).await;
    }
    a.close().await;
    b.close().await;
    platform.close().await;
}

struct GrantAll;

#[async_trait]
impl Claims for GrantAll {
    async fn claim(&self, _: Claim) -> Grant {
        Grant { kind: GrantKind::Granted.into(), ..Grant::default() }
    }

    async fn finish(&self, _: Finish) -> bool {
        true
    }
}

#[tokio::test]
async fn claims_are_forwarded_once_a_handler_is_set() {
    let platform = Platform::start(local()).await.unwrap();
    let (node, _updates) = node("host-a", &platform, &[]).await;
    let client = PeerClient::new(Ms::secs(5));
    let before = client.claim(node.addr(), Claim::default()).await.unwrap();
    assert_eq!(before.kind(), GrantKind::Unavailable);
    assert_eq!(client.finish(node.addr(), Finish::default()).await, Ok(false));
    node.serve_claims(Arc::new(GrantAll));
    let after = client.claim(node.addr(), Claim::default()).await.unwrap();
    assert_eq!(after.kind(), GrantKind::Granted);
    assert_eq!(client.finish(node.addr(), Finish::default()).await, Ok(true));
    node.close().await;
    platform.close().await;
}

#[tokio::test]
async fn a_target_that_reports_leaving_is_marked_as_leaving() {
    let platform = Platform::start(local()).await.unwrap();
    let target = target().await;
    apply(&platform, 1, target.addr()).await;
    let (node, mut updates) = node("host-a", &platform, &[]).await;
    wait_for(&mut updates, |n| matches!(n, Update::Load { .. })).await;
    target.set_faults(fakes::TargetFaults { leaving: true, ..fakes::TargetFaults::default() });
    let leaving = wait_for(&mut updates, |n| matches!(n, Update::Leaving { .. })).await;
    assert!(
        matches!(leaving, Update::Leaving { leaving: true, target } if target.as_str() == "target-0")
    );
    node.close().await;
    target.close().await;
    platform.close().await;
}
