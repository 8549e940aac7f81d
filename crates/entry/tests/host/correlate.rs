//! Responses from targets that belong to another request.

use crate::fixture::{expected_text, json, metrics, painters_request, set_faults, start};
use fakes::TargetFaults;
use hyper::StatusCode;
use wire::Answer;

#[tokio::test]
async fn a_response_to_another_request_is_dropped_and_the_stage_retried_elsewhere() {
    // One engine and one encoder put another request's identifier into their responses. The caller
    // still gets its own whole answer, because each reply and piece is compared with the attempt it
    // arrived for before it is accepted.
    let cluster = start("").await;
    let wrong = TargetFaults { mismatch: true, ..TargetFaults::default() };
    set_faults(&cluster, "engine-1", wrong.clone());
    set_faults(&cluster, "encoder-1", wrong);
    for _ in 0..4 {
        let response = cluster.ask(0, &painters_request("write", &[])).await.expect("an answer");
        assert_eq!(response.status(), StatusCode::OK);
        let answer: Answer = json(&response);
        assert_eq!(answer.output, expected_text());
        assert!(answer.stages.iter().all(|s| s.target.ends_with('2')), "{answer:?}");
    }
    assert!(metrics(&cluster).await.contains("answers_mismatched_total"));
    cluster.close().await;
}
