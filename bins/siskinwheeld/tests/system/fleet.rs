//! Six hosts as one fleet, across real processes: configuration changes, leaving targets, outages,
//! and requests that crash targets.

use crate::COOPERATIVE;
use crate::env::{Env, HostProcess, get, start_host, text};
use base::{Clock, Generation, Ms, SystemClock};
use ctl::ChangeNote;
use hyper::StatusCode;
use serde_json::Value;
use std::future::Future;
use wire::Problem;

/// Time-out for an expected event.
const MAX_WAIT: Ms = Ms::secs(30);

async fn with_timeout<T>(what: &str, wait: impl Future<Output = T>) -> T {
    match tokio::time::timeout(MAX_WAIT.duration(), wait).await {
        Ok(value) => value,
        Err(_) => panic!("{what} did not happen in {MAX_WAIT}"),
    }
}

async fn generation(host: &HostProcess) -> u64 {
    let status = get(host.admin, "/status").await.expect("the host answers");
    let status: Value = serde_json::from_slice(status.body()).expect("JSON");
    status["generation"].as_u64().expect("a number")
}

async fn wait_until_in_force(env: &Env, wanted: Generation) {
    let all = async {
        for host in &env.hosts {
            while generation(host).await < wanted.0 {
                tokio::time::sleep(Ms(20).duration()).await;
            }
        }
    };
    with_timeout("the configuration in force on every host", all).await;
}

async fn started_calls(env: &Env, target: &str) -> u64 {
    env.target_stats(target).await.started
}

fn change_note(why: &str) -> ChangeNote<'_> {
    ChangeNote { who: "test", why, at: SystemClock::new().now() }
}

#[tokio::test]
async fn an_accepted_configuration_is_in_force_everywhere_and_stays() {
    // An operator applies a change, and then the platform's reads become stale: they permanently
    // return the configuration before it. Every host still has the new generation in force, since
    // the hosts that saw it tell the others, and none goes back to the older one that it reads.
    let mut env = Env::start(COOPERATIVE).await;
    let first = generation(&env.hosts[0]).await;
    env.fleet.defaults.queue_len += 1;
    let accepted = env.apply("a longer queue").await;
    assert_eq!(accepted, Generation(first + 1));
    wait_until_in_force(&env, accepted).await;
    env.set_faults(env.platform.addr, r#"{"stale": true}"#).await;
    env.set_faults(env.platform.addr, r#"{"down": true}"#).await;
    // A host that starts during the outage knows only its seed hosts, and learns the configuration
    // from them.
    let peers: Vec<Value> = {
        let members = get(env.hosts[0].admin, "/members").await.expect("members");
        let members: Value = serde_json::from_slice(members.body()).expect("JSON");
        members["members"].as_array().expect("a list").clone()
    };
    let seed = &peers[0];
    let late = start_host(&format!(
        "host: late\ndomain: thies-nord\nregion: senegal-centre\nplatform: {}\n\
         seeds: [{{host: {}, domain: {}, address: '{}'}}]",
        env.platform.addr,
        seed["host"].as_str().expect("a name"),
        seed["domain"].as_str().expect("a domain"),
        seed["address"].as_str().expect("an address"),
    ));
    env.hosts.push(late);
    wait_until_in_force(&env, accepted).await;
    let host_index = env.hosts.len() - 1;
    let response = env.ask(host_index, "colour-match", "ochre", &[]).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
}

#[tokio::test]
async fn a_leaving_target_gets_nothing_new_from_any_host() {
    // An operator marks an engine as leaving. Once every host has learnt of it, a hundred requests
    // through all hosts go to other engines. When the mark is removed, the engine serves again.
    let env = Env::start(COOPERATIVE).await;
    let api = env.api();
    ctl::leave(&api, "engines-1", true, &change_note("a new kernel"))
        .await
        .expect("the mark is written");
    let no_new_calls = async {
        // Every host has learnt of it when five consecutive rounds of requests through all hosts
        // bring the engine no call.
        let mut rounds = 0;
        while rounds < 5 {
            let before = started_calls(&env, "engines-1").await;
            for host_index in 0..env.hosts.len() {
                let response =
                    env.ask(host_index, "colour-match", "ochre", &[]).await.expect("an answer");
                assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
            }
            let after = started_calls(&env, "engines-1").await;
            rounds = if after == before { rounds + 1 } else { 0 };
        }
    };
    with_timeout("the engine's leaving on every host", no_new_calls).await;
    let before = started_calls(&env, "engines-1").await;
    for i in 0..100 {
        let host_index = i % env.hosts.len();
        let response = env.ask(host_index, "colour-match", &format!("ochre {i}"), &[]).await;
        assert_eq!(response.expect("an answer").status(), StatusCode::OK);
    }
    assert_eq!(started_calls(&env, "engines-1").await, before);
    ctl::leave(&api, "engines-1", false, &change_note("it is back"))
        .await
        .expect("the mark is written");
    let serving_again = async {
        while started_calls(&env, "engines-1").await == before {
            for host_index in 0..env.hosts.len() {
                let response =
                    env.ask(host_index, "colour-match", "ochre", &[]).await.expect("an answer");
                assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
            }
        }
    };
    with_timeout("the engine's return", serving_again).await;
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_on_every_host() {
    // A request crashes each engine that runs it. The first host gives up on it after two engines,
    // and its caller sends it again to the other hosts. Once they have learnt of the poison mark,
    // they refuse the request at once as not run, and no third engine crashes.
    let env = Env::start(COOPERATIVE).await;
    for i in 1..=12 {
        let addr = env.targets[&format!("engines-{i}")].addr;
        env.set_faults(addr, r#"{"crash_on": "cursed", "crash_ms": 300}"#).await;
    }
    let response = env.ask(0, "inspector-answer", "cursed grey", &[]).await.expect("an answer");
    let problem: Problem = serde_json::from_slice(response.body()).expect("a problem");
    assert_eq!(problem.code, "poison", "{problem:?}");
    let marked = async {
        for host_index in 1..env.hosts.len() {
            let addr = env.hosts[host_index].admin;
            loop {
                let status = get(addr, "/status").await.expect("the host answers");
                let status: Value = serde_json::from_slice(status.body()).expect("JSON");
                if status["poison"].as_u64().expect("a number") > 0 {
                    break;
                }
                tokio::time::sleep(Ms(20).duration()).await;
            }
        }
    };
    with_timeout("the mark on every host", marked).await;
    for host_index in 0..env.hosts.len() {
        let response =
            env.ask(host_index, "inspector-answer", "cursed grey", &[]).await.expect("an answer");
        let problem: Problem = serde_json::from_slice(response.body()).expect("a problem");
        assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("poison", "no"), "{problem:?}");
    }
    let mut crashes = 0;
    for i in 1..=12 {
        crashes += env.target_stats(&format!("engines-{i}")).await.crashes;
    }
    assert_eq!(crashes, 2);
}
