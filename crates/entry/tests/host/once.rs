//! Non-repeatable work under different faults of its target.

use crate::fixture::{json, painters_request, set_faults, start};
use base::Key;
use fakes::TargetFaults;
use hyper::StatusCode;
use local::Cluster;
use wire::{Answer, Problem};

const REGISTERS: [&str; 2] = ["register-1", "register-2"];

fn set_both_faults(cluster: &Cluster, fault: &TargetFaults) {
    for target in REGISTERS {
        set_faults(cluster, target, fault.clone());
    }
}

fn runs(cluster: &Cluster, key: &str) -> u64 {
    let runs_on = |t: &str| cluster.targets[t].stats().keys.get(key).copied().unwrap_or(0);
    REGISTERS.iter().map(|t| runs_on(t)).sum()
}

#[tokio::test]
async fn a_crash_during_the_call_is_reported_as_unknown_and_never_retried() {
    // The register crashes during the sign-off without replying, and stays down. The caller is told
    // that the outcome is unknown. A re-send of the key gets the same result, and the other
    // register never receives the call.
    let cluster = start("").await;
    let crash =
        TargetFaults { crash_on: "grey".to_owned(), crash_ms: 60_000, ..TargetFaults::default() };
    set_both_faults(&cluster, &crash);
    let key = Key::fresh().to_string();
    let first = [("idempotency-key", key.as_str())];
    let response = cluster.ask(0, &painters_request("sign-off", &first)).await.expect("an answer");
    let problem: Problem = json(&response);
    assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("outcome_unknown", "yes"));
    set_both_faults(&cluster, &TargetFaults::default());
    let again = [("idempotency-key", key.as_str()), ("x-resent", "true")];
    let response = cluster.ask(0, &painters_request("sign-off", &again)).await.expect("an answer");
    let problem: Problem = json(&response);
    assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("outcome_unknown", "unknown"));
    let crashes: u64 = REGISTERS.iter().map(|t| cluster.targets[*t].stats().crashes).sum();
    assert_eq!((crashes, runs(&cluster, &key)), (1, 0));
    cluster.close().await;
}

#[tokio::test]
async fn a_call_refused_as_full_did_not_run_and_its_key_can_be_used_again() {
    // Both registers refuse the call with 503. The caller is refused and told when to retry. When it
    // sends the same key again, the sign-off runs, once.
    let cluster = start("").await;
    set_both_faults(&cluster, &TargetFaults { full: true, ..TargetFaults::default() });
    let key = Key::fresh().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let response =
        cluster.ask(0, &painters_request("sign-off", &headers)).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    set_both_faults(&cluster, &TargetFaults::default());
    // The key's release is recorded concurrently with the response, so a re-send may still be told
    // that the key is running.
    let mut status = StatusCode::CONFLICT;
    while status == StatusCode::CONFLICT {
        let response =
            cluster.ask(0, &painters_request("sign-off", &headers)).await.expect("an answer");
        status = response.status();
    }
    assert_eq!(status, StatusCode::OK);
    assert_eq!(runs(&cluster, &key), 1);
    cluster.close().await;
}

#[tokio::test]
async fn an_answer_lost_on_a_silent_connection_is_fetched_on_a_new_one() {
    // The register runs the sign-off, but its connection has gone silent. The host asks on a new
    // connection what became of the call and returns its result to the caller. Nothing is sent
    // twice.
    let cluster = start("silence: {target_ms: 200}").await;
    set_both_faults(&cluster, &TargetFaults { silent: true, ..TargetFaults::default() });
    let key = Key::fresh().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let response =
        cluster.ask(0, &painters_request("sign-off", &headers)).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    let answer: Answer = json(&response);
    let encoded = fakes::expected_output("encode", "grey cabinet");
    let input = format!("grey cabinet\n{encoded}");
    assert_eq!(answer.output, fakes::expected_output("sign-off", &input));
    assert_eq!(runs(&cluster, &key), 1);
    cluster.close().await;
}
