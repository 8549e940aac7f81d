//! Commands over HTTP, with a fake platform and hosts' admin endpoints on free ports.

use base::{Generation, Ms};
use ctl::{ChangeNote, CtlError, Rollout, Source, Status, apply, leave, wait_in_force};
use fakes::{Platform, PlatformFaults};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use link::{Body, Bounds, Handler, Stop, full, json, serve};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use store::{HttpApi, HttpConfig};
use tokio::net::TcpListener;
use wire::{FleetObject, LeavingTarget, Member, MemberList};

use crate::support::yaml;

async fn platform() -> (Platform, Arc<HttpApi>) {
    let platform = Platform::start(local()).await.expect("a free port");
    let config = HttpConfig { silence_ms: Ms(500), watch_ms: Ms(500) };
    let api = HttpApi::new(platform.addr(), config);
    (platform, Arc::new(api))
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn note(why: &str) -> ChangeNote<'_> {
    ChangeNote { who: "ada", why, at: Ms(1000) }
}

/// The platform closes the connection on the first two writes without an answer, although the write
/// takes effect. The change is recorded once.
#[tokio::test]
async fn a_write_with_lost_responses_over_http_is_applied_once() {
    let (platform, api) = platform().await;
    platform.set_faults(PlatformFaults { lose_answers: 2, ..PlatformFaults::default() });
    let applied = apply(&*api, &yaml(2), None, &note("two")).await.expect("the change is accepted");
    assert_eq!(applied.generation, Generation(1));
    let (_, object) = ctl::read_fleet(&*api).await.expect("the object is readable");
    assert_eq!(object.audit.len(), 1);
    platform.close().await;
}

/// Twelve operators apply concurrently from generation 1: one change is accepted, and the other
/// eleven operators are shown it.
#[tokio::test]
async fn of_many_concurrent_changes_one_wins() {
    let (platform, api) = platform().await;
    apply(&*api, &yaml(1), None, &note("first")).await.expect("the change is accepted");
    let tasks = (2..14).map(|weight| {
        let api = api.clone();
        tokio::spawn(async move {
            apply(&*api, &yaml(weight), Some(Generation(1)), &note("race")).await
        })
    });
    let results = futures::future::join_all(tasks).await;
    let (mut won, mut raced) = (0, 0);
    for result in results {
        match result.expect("it ran") {
            Ok(_) => won += 1,
            Err(CtlError::Conflict { since, .. }) => raced += usize::from(since.len() == 1),
            Err(err) => panic!("{err}"),
        }
    }
    assert_eq!((won, raced), (1, 11));
    platform.close().await;
}

/// While the platform is down a change fails, and the configuration and its audit records are read
/// from a host.
#[tokio::test]
async fn in_an_outage_a_host_answers() {
    let (platform, api) = platform().await;
    apply(&*api, &yaml(1), None, &note("first")).await.expect("the change is accepted");
    let (_, object) = ctl::read_fleet(&*api).await.expect("the object is readable");
    let host = AdminEndpoint::start(object, 1).await;
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let result = apply(&*api, &yaml(2), None, &note("two")).await;
    assert!(matches!(result, Err(CtlError::Store(_))), "{result:?}");
    let source = Source::Hosts(vec![unused_addr().await, host]);
    assert_eq!(source.fleet().await.expect("the second answers").config, yaml(1));
    assert_eq!(source.history(10).await.expect("it answers")[0].why, "first");
    let none = Source::Hosts(vec![unused_addr().await]).fleet().await;
    assert!(matches!(none, Err(CtlError::HostUnreachable { .. })), "{none:?}");
    platform.close().await;
}

/// A mark is written once, removed with a higher time even if the operator's clock is behind, and
/// rejected for an undeclared name. Hosts can parse it as a `LeavingTarget`.
#[tokio::test]
async fn a_target_is_marked_and_taken_back() {
    let (platform, api) = platform().await;
    let unset = leave(&*api, "register-1", true, &note("update")).await;
    assert!(matches!(unset, Err(CtlError::NoConfiguration)), "{unset:?}");
    apply(&*api, &yaml(1), None, &note("first")).await.expect("the change is accepted");
    let unknown = leave(&*api, "register-2", true, &note("update")).await;
    assert!(matches!(unknown, Err(CtlError::NotDeclared { .. })), "{unknown:?}");
    let first =
        leave(&*api, "register-1", true, &note("update")).await.expect("the change is accepted");
    let again = leave(&*api, "register-1", true, &note("update")).await.expect("no change");
    assert_eq!((first.changed, again.changed), (true, false));
    assert_eq!(ctl::marked(&*api).await.expect("the object is readable"), ["register-1"]);
    let mut early = note("done");
    early.at = Ms(1);
    let back = leave(&*api, "register-1", false, &early).await.expect("the change is accepted");
    assert!(back.since_ms > first.since_ms);
    assert!(ctl::marked(&*api).await.expect("the object is readable").is_empty());
    let body = platform.list("leaving").objects[0].body.clone();
    let seen: LeavingTarget = serde_json::from_str(&body).expect("hosts can read it");
    let (target, since_ms) = ("register-1".to_owned(), back.since_ms);
    assert_eq!(seen, LeavingTarget { target, since_ms, ..LeavingTarget::default() });
    platform.close().await;
}

/// The generation is in force on two of three hosts at first. The wait ends when the third one has
/// it; a wait that is too short returns the state so far. A stopping host is not waited for.
#[tokio::test]
async fn the_wait_ends_when_all_have_it() {
    let host = AdminEndpoint::start(FleetObject::default(), 3).await;
    let reach = wait_in_force(&[host], Generation(9), &[], Ms(1)).await.expect("it answers");
    assert!(!reach.is_complete());
    let reach = wait_in_force(&[host], Generation(2), &[], Ms::secs(60)).await.expect("it answers");
    insta::assert_snapshot!(reach.to_string());
    let members = ctl::all_members(&[host]).await.expect("it answers");
    insta::assert_snapshot!(
        "status",
        Status::new(Some(Generation(2)), Some(vec![]), members, &[]).to_string()
    );
}

#[test]
fn a_rollout_without_hosts_is_incomplete() {
    assert!(!Rollout::of(Generation(0), &[], &[]).is_complete());
}

/// The queried host is partitioned and knows only itself. It has the new generation, but nothing is
/// known of the other failure domain, so the rollout must not count as complete.
#[test]
fn a_domain_without_known_hosts_is_incomplete() {
    let (domain, generation) = ("west-a".to_owned(), 2);
    let member = Member { domain, generation, ..Member::default() };
    let reach = Rollout::of(Generation(2), &[member], &["west-a".into(), "west-b".into()]);
    assert!(!reach.is_complete());
    let output = "generation 2 in force on 1 of 1 hosts\n  west-a: 1 of 1\n  west-b: no host known";
    assert_eq!(reach.to_string(), output);
}

/// One queried host has an older entry for its peer than the peer itself, whichever is queried
/// first: the newer entry must win.
#[tokio::test]
async fn the_newest_entry_of_a_host_wins() {
    let old = AdminEndpoint::start(FleetObject::default(), u64::MAX).await;
    let new = AdminEndpoint::start(FleetObject::default(), 0).await;
    for hosts in [[old, new], [new, old]] {
        let members = ctl::all_members(&hosts).await.expect("both answer");
        let b: Vec<_> = members.iter().filter(|m| m.host == "b-1").map(|m| m.generation).collect();
        assert_eq!(b, [2]);
    }
}

/// An address on which nothing listens any more.
async fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind(local()).await.expect("a free port");
    listener.local_addr().expect("it has an address")
}

/// A host's admin endpoint. One of its members stays at generation 1 for the first `lagging_polls`
/// polls and then has generation 2.
struct AdminEndpoint {
    fleet: FleetObject,
    polls: AtomicU64,
    lagging_polls: u64,
}

impl AdminEndpoint {
    async fn start(fleet: FleetObject, lagging_polls: u64) -> SocketAddr {
        let listener = TcpListener::bind(local()).await.expect("a free port");
        let addr = listener.local_addr().expect("it has an address");
        let admin = Arc::new(Self { fleet, polls: AtomicU64::new(0), lagging_polls });
        tokio::spawn(serve(listener, Bounds::default(), admin, Stop::new()));
        addr
    }

    fn members(&self) -> MemberList {
        let lagging = self.polls.fetch_add(1, Ordering::Relaxed) < self.lagging_polls;
        let member = |host: &str, domain: &str, generation, leaving| Member {
            host: host.to_owned(),
            domain: domain.to_owned(),
            generation,
            leaving,
            ..Member::default()
        };
        let members = vec![
            member("a-1", "west-a", 2, false),
            member("b-1", "west-b", if lagging { 1 } else { 2 }, false),
            member("b-2", "west-b", 2, false),
            member("b-3", "west-b", 1, true),
        ];
        MemberList { members }
    }
}

impl Handler for AdminEndpoint {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        match request.uri().path() {
            "/members" => json(StatusCode::OK, &self.members()),
            "/fleet" => json(StatusCode::OK, &self.fleet),
            _ => Response::new(full("")),
        }
    }
}
