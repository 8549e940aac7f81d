//! Requests through the whole system, across real processes.

use crate::COOPERATIVE;
use crate::env::{Env, get, key, text};
use fakes::{expected_output, generated};
use hyper::StatusCode;
use wire::Answer;

#[tokio::test]
async fn each_pipeline_is_answered_whole_by_each_host() {
    let env = Env::start(COOPERATIVE).await;
    for host_index in 0..env.hosts.len() {
        for pipeline in &env.fleet.pipelines {
            let key = key();
            let headers = [("idempotency-key", key.as_str())];
            let input = "grey cabinet";
            let response = env
                .ask(host_index, pipeline.name.as_str(), input, &headers)
                .await
                .expect("an answer");
            assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
            let answer: Answer = serde_json::from_slice(response.body()).expect("an answer");
            let mut output = String::new();
            for (i, stage) in pipeline.stages.iter().enumerate() {
                let input = if i == 0 { input.to_owned() } else { format!("{input}\n{output}") };
                output = match stage.stream {
                    true => generated(&input, stage.max_tokens),
                    false => expected_output(stage.name.as_str(), &input),
                };
            }
            assert_eq!(answer.output, output, "pipeline {}", pipeline.name);
            assert_eq!(answer.stages.len(), pipeline.stages.len());
        }
    }
    let metrics = get(env.hosts[0].admin, "/metrics").await.expect("metrics");
    assert!(text(&metrics).contains("requests_total"), "{}", text(&metrics));
}

#[tokio::test]
async fn sigterm_finishes_requests_under_way() {
    // A caller waits for a long answer when its host gets SIGTERM. The caller still gets the whole
    // answer, because the host keeps its listener open until no request is under way. Only then
    // does the host exit, with code 0.
    let mut env = Env::start_with(COOPERATIVE, 1, "").await;
    let ask = env.ask(0, "inspector-answer", "which grey?", &[]);
    let stop = async {
        tokio::time::sleep(base::Ms(100).duration()).await;
        env.hosts[0].process.signal("-TERM");
    };
    let (response, ()) = tokio::join!(ask, stop);
    let response = response.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
    assert!(env.hosts[0].process.wait().success());
}
