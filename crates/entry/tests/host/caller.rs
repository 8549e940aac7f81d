//! What callers get for requests that can't be read, each with its own code and `ran: no`.

use crate::small::{asking, json, start};
use base::Ms;
use hyper::StatusCode;
use local::RequestSpec;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Answer, Problem};

/// Sends raw bytes and reads until the host closes or stops answering.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(addr).await.expect("the host listens");
    tcp.write_all(bytes).await.expect("it reads");
    tcp.shutdown().await.expect("the sending side closes");
    let mut out = Vec::new();
    tcp.read_to_end(&mut out).await.expect("it answers");
    String::from_utf8_lossy(&out).into_owned()
}

#[tokio::test]
async fn each_malformed_request_has_its_code() {
    let cluster = start("limits: {body_bytes: 1000}").await;
    let long = "x".repeat(2000);
    let ask =
        |pipeline, workspace, input, headers| RequestSpec { pipeline, workspace, input, headers };
    let old = [("idempotency-key", "9f1b6f0e-3f6a-4b52-8a4e-0a3f6f1d2c11")];
    let cases = [
        (ask("nothing", "painters", "x", &[]), 404, "unknown_pipeline"),
        (ask("encode", "nobody", "x", &[]), 403, "unknown_workspace"),
        (ask("encode", "painters", &long, &[]), 413, "body_too_large"),
        (ask("sign-off", "painters", "x", &[]), 400, "key_needed"),
        (ask("sign-off", "painters", "x", &old), 400, "bad_key"),
        (ask("encode", "painters", "x", &[("x-deadline-ms", "0")]), 400, "deadline_past"),
        (ask("encode", "painters", "x", &[("x-deadline-ms", "soon")]), 400, "bad_header"),
        (ask("encode", "painters", "x", &[("x-priority", "urgent")]), 400, "bad_header"),
    ];
    for (asking, status, code) in cases {
        let response = cluster.ask(0, &asking).await.expect("an answer");
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
async fn a_body_that_is_cut_or_not_json_is_told_apart() {
    let cluster = start("").await;
    let addr = cluster.hosts[0].listen();
    let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
    let cut = raw(addr, format!("{head}content-length: 50\r\n\r\n{{\"inp").as_bytes()).await;
    // The connection is half closed inside the body: an answer may not be read any more, but
    // nothing runs.
    assert!(cut.is_empty() || cut.contains("body_cut"), "{cut}");
    let text = format!("{head}connection: close\r\ncontent-length: 5\r\n\r\nhello");
    let text = raw(addr, text.as_bytes()).await;
    assert!(text.contains("body_malformed") && text.contains("\"ran\":\"no\""), "{text}");
    let started: u64 = cluster.targets.values().map(|t| t.stats().started).sum();
    assert_eq!(started, 0);
    cluster.close().await;
}

#[tokio::test]
async fn half_open_callers_hold_up_nobody() {
    // Forty callers connect and send half a header, and forty half a body. They cost their
    // connections; a caller that comes after them is served at once.
    let cluster = start("limits: {read_ms: 60000}").await;
    let addr = cluster.hosts[0].listen();
    let mut slow = Vec::new();
    for i in 0..80 {
        let mut tcp = TcpStream::connect(addr).await.expect("the host listens");
        let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
        let rest = if i % 2 == 0 { "x-more" } else { "content-length: 50\r\n\r\n{" };
        tcp.write_all(format!("{head}{rest}").as_bytes()).await.expect("it reads");
        slow.push(tcp);
    }
    let response = cluster.ask(0, &asking("encode", &[])).await.expect("an answer");
    assert_eq!(response.status(), StatusCode::OK);
    drop(slow);
    cluster.close().await;
}

#[tokio::test]
async fn a_slow_body_gets_its_own_error() {
    let cluster = start("limits: {read_ms: 100}").await;
    let mut tcp = TcpStream::connect(cluster.hosts[0].listen()).await.expect("the host listens");
    let head = "POST /v1/pipelines/encode HTTP/1.1\r\nhost: x\r\nx-workspace: painters\r\n";
    tcp.write_all(format!("{head}content-length: 50\r\n\r\n{{").as_bytes()).await.expect("reads");
    let mut out = vec![0; 4096];
    let read = tokio::time::timeout(Ms::secs(20).duration(), tcp.read(&mut out)).await;
    let n = read.expect("the host doesn't wait for ever").expect("it answers");
    let text = String::from_utf8_lossy(&out[..n]);
    assert!(text.contains("body_slow"), "{text}");
    cluster.close().await;
}

#[tokio::test]
async fn an_answer_tells_its_stages_and_cost() {
    let cluster = start("").await;
    let response = cluster.ask(0, &asking("write", &[])).await.expect("an answer");
    let answer: Answer = json(&response);
    let names: Vec<_> = answer.stages.iter().map(|s| s.stage.as_str()).collect();
    assert_eq!(names, ["encode", "write"]);
    assert_eq!(answer.stages[1].tokens_out, 40);
    assert!(answer.stages.iter().all(|s| s.attempts == 1), "{answer:?}");
    let wanted = 0.1 * f64::from(answer.stages[1].tokens_in) / 1000.0 + 0.2 * 40.0 / 1000.0;
    assert!((answer.stages[1].cost - wanted).abs() < 1e-9, "{answer:?}");
    let metrics = crate::small::metrics(&cluster).await;
    assert!(metrics.contains(r#"result="whole""#), "{metrics}");
    assert!(metrics.contains("stage_cost_total"), "{metrics}");
    cluster.close().await;
}
