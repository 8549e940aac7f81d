//! Non-repeatable work, across real processes.

use crate::COOPERATIVE;
use crate::env::{Env, key, text};
use hyper::StatusCode;
use wire::{Answer, Problem};

async fn runs(env: &Env, key: &str) -> u64 {
    let mut runs = 0;
    for target in env.targets.keys() {
        runs += env.target_stats(target).await.keys.get(key).copied().unwrap_or(0);
    }
    runs
}

#[tokio::test]
async fn a_key_sent_to_every_host_runs_once() {
    // The caller sends the same sign-off to all hosts, one after the other. The first host runs it;
    // the others find its record and return the recorded answer, so the caller gets the same answer
    // each time and the register has one sign-off. The outcome is recorded concurrently with the
    // first response, so a re-send right after it may be told `running` before it gets the answer.
    let env = Env::start(COOPERATIVE).await;
    let key = key();
    let headers = [("idempotency-key", key.as_str())];
    let mut answers = Vec::new();
    for host_index in 0..env.hosts.len() {
        let response = loop {
            let response = env.ask(host_index, "job-sign-off", "cabinet 7", &headers).await;
            let response = response.expect("an answer");
            if response.status() != StatusCode::CONFLICT {
                break response;
            }
            let problem: Problem = serde_json::from_slice(response.body()).expect("a problem");
            assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("running", "unknown"));
        };
        assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
        let answer: Answer = serde_json::from_slice(response.body()).expect("an answer");
        assert_eq!(answer.replayed, host_index > 0);
        answers.push(answer.output);
    }
    answers.dedup();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!(runs(&env, &key).await, 1);
}

#[tokio::test]
async fn without_the_platform_a_sign_off_is_refused_as_not_run() {
    // The platform is down, so the key can't be recorded. The caller is told at once that its
    // sign-off did not run and when to retry, and no target receives it. Work without a key is
    // still served.
    let env = Env::start(COOPERATIVE).await;
    env.set_faults(env.platform.addr, r#"{"down": true}"#).await;
    let key = key();
    let headers = [("idempotency-key", key.as_str())];
    let response = env.ask(0, "job-sign-off", "cabinet 8", &headers).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{}", text(&response));
    let problem: Problem = serde_json::from_slice(response.body()).expect("a problem");
    assert_eq!((problem.code.as_str(), problem.ran.as_str()), ("journal_unavailable", "no"));
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(runs(&env, &key).await, 0);
    let other = env.ask(0, "colour-match", "ochre", &[]).await.expect("an answer");
    assert_eq!(other.status(), StatusCode::OK, "{}", text(&other));
}
