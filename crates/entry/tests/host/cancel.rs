//! Cancels the call on the target when nobody waits for the request any more.

use crate::fixture::{json, painters_request, set_faults, start};
use base::Ms;
use fakes::TargetFaults;
use hyper::StatusCode;
use local::Cluster;
use wire::Problem;

/// Waits until the engines have cancelled `expected` streams.
async fn wait_until_cancelled(cluster: &Cluster, expected: u64) {
    let cancelled = || {
        let engines = ["engine-1", "engine-2"];
        engines.iter().map(|t| cluster.targets[*t].stats().cancelled).sum::<u64>()
    };
    let wait = async {
        while cancelled() < expected {
            tokio::time::sleep(Ms(10).duration()).await;
        }
    };
    tokio::time::timeout(Ms::secs(20).duration(), wait).await.expect("the engines are freed");
}

#[tokio::test]
async fn a_disconnected_caller_frees_the_engine() {
    let cluster = start("").await;
    let slow = TargetFaults { slow: 100, ..TargetFaults::default() };
    set_faults(&cluster, "engine-1", slow.clone());
    set_faults(&cluster, "engine-2", slow);
    let request = painters_request("write", &[]);
    let ask = cluster.ask(0, &request);
    let gone = tokio::time::timeout(Ms(300).duration(), ask).await;
    assert!(gone.is_err(), "the engine is slow, so the caller disconnects first");
    wait_until_cancelled(&cluster, 1).await;
    cluster.close().await;
}

#[tokio::test]
async fn a_passed_deadline_is_reported_at_once_and_frees_the_engine() {
    let cluster = start("").await;
    let slow = TargetFaults { slow: 1000, ..TargetFaults::default() };
    set_faults(&cluster, "engine-1", slow.clone());
    set_faults(&cluster, "engine-2", slow);
    let headers = [("x-deadline-ms", "400")];
    let response = cluster.ask(0, &painters_request("write", &headers)).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    let problem: Problem = json(&response);
    assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("deadline_passed", "yes"));
    wait_until_cancelled(&cluster, 1).await;
    cluster.close().await;
}
