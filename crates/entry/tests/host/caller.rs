//! Responses to invalid requests, each with its own code and `ran: no`; and the answer's costs.

use crate::fixture::{json, painters_request, start};
use base::Ms;
use hyper::StatusCode;
use local::RequestSpec;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Answer, Problem};

/// Sends raw bytes, closes the sending side, and reads until the host closes the connection.
async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(addr).await.expect("the host listens");
    tcp.write_all(bytes).await.expect("the host reads");
    tcp.shutdown().await.expect("the sending side closes");
    let mut out = Vec::new();
    tcp.read_to_end(&mut out).await.expect("a response");
    String::from_utf8_lossy(&out).into_owned()
}

#[tokio::test]
async fn each_malformed_request_has_its_code() {
    let cluster = start("limits: {body_bytes: 1000}").await;
    let long = "x".repeat(2000);
    let request =
        |pipeline, workspace, input, headers| RequestSpec { pipeline, workspace, input, headers };
    let uuid_v4 = [("idempotency-key", "9f1b6f0e-3f6a-4b52-8a4e-0a3f6f1d2c11")];
    let cases = [
        (request("nothing", "painters", "x", &[]), 404, "unknown_pipeline"),
        (request("encode", "nobody", "x", &[]), 403, "unknown_workspace"),
        (request("encode", "painters", &long, &[]), 413, "body_too_large"),
        (request("sign-off", "painters", "x", &[]), 400, "key_needed"),
        (request("sign-off", "painters", "x", &uuid_v4), 400, "bad_key"),
        (request("encode", "painters", "x", &[("x-deadline-ms", "0")]), 400, "deadline_past"),
        (request("encode", "painters", "x", &[("x-deadline-ms", "soon")]), 400, "bad_header"),
        (request("encode", "painters", "x", &[("x-priority", "urgent")]), 400, "bad_header"),
    ];
    for (request, status, code) in cases {
        let response = cluster.ask(0, &request).await.expect("an answer");
        let problem: Problem = json(&response);
        assert_eq!((problem.status, problem.code.as_str()), (status, code));
        assert_eq!(problem.ran, "no", "{code}");
        assert_eq!(response.headers()["content-type"], "application/problem+json");
    }
    let started: u64 = cluster.targets.values().map(|t| t.stats().started).sum();
    assert_eq!(started, 0);
    cluster.close().await;
}

#[tokio::test]
async fn truncated_and_non_json_bodies_have_different_codes() {
    let cluster = start("").await;
    let addr = cluster.hosts[0].listen();
    let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
    let cut = send_raw(addr, format!("{head}content-length: 50\r\n\r\n{{\"inp").as_bytes()).await;
    // The sending side is closed in the middle of the body. The response may get lost, but nothing
    // may run.
    assert!(cut.is_empty() || cut.contains("body_cut"), "{cut}");
    let text = format!("{head}connection: close\r\ncontent-length: 5\r\n\r\nhello");
    let text = send_raw(addr, text.as_bytes()).await;
    assert!(text.contains("body_malformed") && text.contains("\"ran\":\"no\""), "{text}");
    let started: u64 = cluster.targets.values().map(|t| t.stats().started).sum();
    assert_eq!(started, 0);
    cluster.close().await;
}

#[tokio::test]
async fn stalled_callers_do_not_block_others() {
    // Forty callers connect and send half a header, and forty more send half a body. They occupy
    // only their own connections: a caller that arrives after them is served at once.
    let cluster = start("limits: {read_ms: 60000}").await;
    let addr = cluster.hosts[0].listen();
    let mut stalled = Vec::new();
    for i in 0..80 {
        let mut tcp = TcpStream::connect(addr).await.expect("the host listens");
        let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
        let rest = if i % 2 == 0 { "x-more" } else { "content-length: 50\r\n\r\n{" };
        tcp.write_all(format!("{head}{rest}").as_bytes()).await.expect("the host reads");
        stalled.push(tcp);
    }
    let response = cluster.ask(0, &painters_request("encode", &[])).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    drop(stalled);
    cluster.close().await;
}

#[tokio::test]
async fn a_slow_body_is_refused_with_its_own_code() {
    let cluster = start("limits: {read_ms: 100}").await;
    let mut tcp = TcpStream::connect(cluster.hosts[0].listen()).await.expect("the host listens");
    let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
    tcp.write_all(format!("{head}content-length: 50\r\n\r\n{{").as_bytes())
        .await
        .expect("the host reads");
    let mut out = vec![0; 4096];
    let read = tokio::time::timeout(Ms::secs(20).duration(), tcp.read(&mut out)).await;
    let n = read.expect("the host responds in time").expect("a response");
    let text = String::from_utf8_lossy(&out[..n]);
    assert!(text.contains("body_slow"), "{text}");
    cluster.close().await;
}

#[tokio::test]
async fn an_answer_lists_its_stages_and_costs() {
    let cluster = start("").await;
    let response = cluster.ask(0, &painters_request("write", &[])).await.expect("an answer");
    let answer: Answer = json(&response);
    let names: Vec<_> = answer.stages.iter().map(|s| s.stage.as_str()).collect();
    assert_eq!(names, ["encode", "write"]);
    assert_eq!(answer.stages[1].tokens_out, 40);
    assert!(answer.stages.iter().all(|s| s.attempts == 1), "{answer:?}");
    let wanted = 0.1 * f64::from(answer.stages[1].tokens_in) / 1000.0 + 0.2 * 40.0 / 1000.0;
    assert!((answer.stages[1].cost - wanted).abs() < 1e-9, "{answer:?}");
    let metrics = crate::fixture::metrics(&cluster).await;
    assert!(metrics.contains(r#"result="whole""#), "{metrics}");
    assert!(metrics.contains("stage_cost_total"), "{metrics}");
    cluster.close().await;
}
