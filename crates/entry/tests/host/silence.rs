//! Targets whose connections go silent, that are down, or that are slow.

use crate::fixture::{expected_text, json, painters_request, set_faults, start};
use base::Key;
use fakes::TargetFaults;
use hyper::StatusCode;
use wire::Answer;

#[tokio::test]
async fn a_silent_stream_is_resumed_and_the_target_used_again() {
    // An engine's connections go silent in the middle of streams, although it answers on new ones.
    // The caller still gets its whole answer, because the host detects the silence within the idle
    // timeout and resumes the stream. Once the fault is over the engine serves again, since the
    // connection was blamed and not the target.
    let cluster = start("silence: {target_ms: 200}").await;
    set_faults(&cluster, "engine-1", TargetFaults { silent: true, ..TargetFaults::default() });
    for _ in 0..3 {
        let response = cluster.ask(0, &painters_request("write", &[])).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(json::<Answer>(&response).output, expected_text());
    }
    set_faults(&cluster, "engine-1", TargetFaults::default());
    let before = cluster.targets["engine-1"].stats().done;
    for _ in 0..20 {
        let response = cluster.ask(0, &painters_request("write", &[])).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
    }
    assert!(cluster.targets["engine-1"].stats().done > before);
    cluster.close().await;
}

#[tokio::test]
async fn a_dead_target_is_skipped() {
    // An engine is down permanently. Each caller gets its whole answer from the other one.
    let cluster = start("silence: {target_ms: 200}").await;
    set_faults(&cluster, "engine-2", TargetFaults { down: true, ..TargetFaults::default() });
    for _ in 0..6 {
        let response = cluster.ask(0, &painters_request("write", &[])).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(json::<Answer>(&response).output, expected_text());
    }
    cluster.close().await;
}

#[tokio::test]
async fn a_stage_that_takes_longer_than_the_bound_is_waited_for() {
    // Both registers take half a second, and the idle timeout is 200 ms. The host asks on new
    // connections, learns that the call is running, and keeps the original connection open, since
    // closing it would cancel the call. The caller gets its answer, and the sign-off runs once.
    let cluster = start("silence: {target_ms: 200}").await;
    let slow = TargetFaults { slow: 100, ..TargetFaults::default() };
    set_faults(&cluster, "register-1", slow.clone());
    set_faults(&cluster, "register-2", slow);
    let key = Key::fresh().to_string();
    let headers = [("idempotency-key", key.as_str())];
    let response =
        cluster.ask(0, &painters_request("sign-off", &headers)).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK, "{response:?}");
    let stats = ["register-1", "register-2"].map(|t| cluster.targets[t].stats());
    assert_eq!(stats.iter().map(|s| s.started).sum::<u64>(), 1);
    assert_eq!(stats.iter().map(|s| s.cancelled).sum::<u64>(), 0);
    cluster.close().await;
}
