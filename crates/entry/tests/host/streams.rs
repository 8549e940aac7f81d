//! Event streams: offsets, end marks, streams that break off at an engine, and callers that
//! reconnect.

use crate::fixture::{expected_text, painters_request, set_faults, start};
use base::Ms;
use bytes::Bytes;
use fakes::TargetFaults;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use link::{Conn, ConnPolicy, Pool, PoolConfig, full};
use local::Cluster;
use serde_json::Value;

/// One server-sent event.
#[derive(Debug)]
struct StreamEvent {
    kind: String,
    id: Option<u32>,
    data: Value,
}

/// Reads an event stream event by event.
struct EventReader {
    _conn: Conn,
    response: Response<Incoming>,
    buffer: String,
}

impl EventReader {
    async fn open(cluster: &Cluster, request: Request<Bytes>) -> Self {
        let pool = Pool::new(cluster.hosts[0].listen(), PoolConfig::default());
        let mut conn = pool.get(ConnPolicy::New).await.expect("the host listens");
        let request = request.map(full);
        let response = conn.send(request, Ms::secs(20)).await.expect("a response");
        Self { _conn: conn, response, buffer: String::new() }
    }

    async fn next(&mut self) -> Option<StreamEvent> {
        loop {
            if let Some((event, rest)) = self.buffer.split_once("\n\n") {
                let field = |name: &str| {
                    let mut lines = event.lines();
                    lines.find_map(|l| Some(l.strip_prefix(name)?.trim().to_owned()))
                };
                let parsed = StreamEvent {
                    kind: field("event:").expect("a kind"),
                    id: field("id:").map(|id| id.parse().expect("a number")),
                    data: serde_json::from_str(&field("data:").expect("data")).expect("JSON"),
                };
                self.buffer = rest.to_owned();
                return Some(parsed);
            }
            let frame = self.response.frame().await?.ok()?;
            let data = frame.into_data().ok()?;
            self.buffer.push_str(std::str::from_utf8(&data).expect("text"));
        }
    }

    /// Reads pieces up to the final event and checks that each starts where the previous one ended.
    async fn read_to_end(&mut self, mut offset: u32) -> (String, StreamEvent) {
        let mut text = String::new();
        while let Some(event) = self.next().await {
            if event.kind != "piece" {
                return (text, event);
            }
            assert_eq!(event.data["offset"], offset, "pieces are contiguous");
            text.push_str(event.data["text"].as_str().expect("text"));
            offset = event.id.expect("a piece has an id");
        }
        panic!("the stream was cut without an end mark after {text:?}");
    }
}

fn stream_request() -> Request<Bytes> {
    painters_request("write", &[("accept", "text/event-stream")]).request()
}

#[tokio::test]
async fn a_stream_has_pieces_and_an_end_mark() {
    let cluster = start("").await;
    let mut reader = EventReader::open(&cluster, stream_request()).await;
    let (text, last) = reader.read_to_end(0).await;
    assert_eq!((last.kind.as_str(), text.as_str()), ("end", expected_text().as_str()));
    assert_eq!(last.data["output"], text);
    cluster.close().await;
}

#[tokio::test]
async fn a_stream_continues_on_another_engine_at_its_offset() {
    // One engine breaks off each stream after ten tokens. The caller still reads all forty tokens,
    // each once: the host keeps the tokens received so far and sends the next engine the offset at
    // which to continue.
    let cluster = start("").await;
    set_faults(&cluster, "engine-1", TargetFaults { cut_after: 10, ..TargetFaults::default() });
    for _ in 0..4 {
        let mut reader = EventReader::open(&cluster, stream_request()).await;
        let (text, last) = reader.read_to_end(0).await;
        assert_eq!((last.kind.as_str(), text.as_str()), ("end", expected_text().as_str()));
    }
    cluster.close().await;
}

#[tokio::test]
async fn a_caller_reconnects_for_the_rest() {
    // The caller's connection breaks after a few pieces. The caller reconnects with the id of the
    // last piece that it read and gets the rest, even if the answer was completed meanwhile.
    let cluster = start("").await;
    for wait in [Ms(0), Ms(500)] {
        let mut reader = EventReader::open(&cluster, stream_request()).await;
        let id = reader.response.headers()["x-request-id"].to_str().expect("text").to_owned();
        let mut read = String::new();
        let mut offset = 0;
        for _ in 0..5 {
            let event = reader.next().await.expect("a piece");
            read.push_str(event.data["text"].as_str().expect("text"));
            offset = event.id.expect("an id");
        }
        drop(reader);
        tokio::time::sleep(wait.duration()).await;
        let resume = Request::builder()
            .uri(format!("/v1/requests/{id}?offset={offset}"))
            .header("host", "x")
            .header("x-workspace", "painters");
        let resume = resume.body(Bytes::new()).expect("a request");
        let (rest, last) = EventReader::open(&cluster, resume).await.read_to_end(offset).await;
        assert_eq!(last.kind, "end");
        assert_eq!(read + &rest, expected_text());
    }
    cluster.close().await;
}

#[tokio::test]
async fn another_workspace_cannot_read_the_stream() {
    let cluster = start("").await;
    let reader = EventReader::open(&cluster, stream_request()).await;
    let id = reader.response.headers()["x-request-id"].to_str().expect("text").to_owned();
    let foreign = Request::builder()
        .uri(format!("/v1/requests/{id}?offset=0"))
        .header("host", "x")
        .header("x-workspace", "office");
    let foreign = foreign.body(Bytes::new()).expect("a request");
    let response = EventReader::open(&cluster, foreign).await.response;
    assert_eq!(response.status(), 404);
    cluster.close().await;
}
