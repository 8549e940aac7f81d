//! What the platform's answers over HTTP are taken for.

use base::{Ms, Version};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use link::{Body, Bounds, Handler, Stop, full, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig, StoreError};
use tokio::net::TcpListener;

/// Answers each call with the same.
struct Always {
    status: StatusCode,
    headers: Vec<(header::HeaderName, &'static str)>,
    body: &'static str,
}

impl Handler for Always {
    async fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let mut response = Response::new(full(self.body));
        *response.status_mut() = self.status;
        for (name, value) in &self.headers {
            response.headers_mut().insert(name, header::HeaderValue::from_static(value));
        }
        response
    }
}

async fn api(always: Always) -> HttpApi {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, Bounds::default(), Arc::new(always), Stop::new()));
    HttpApi::new(addr, HttpConfig { silence_ms: Ms::secs(5), watch_ms: Ms::secs(5) })
}

async fn put(status: u16, headers: Vec<(header::HeaderName, &'static str)>) -> StoreError {
    let status = StatusCode::from_u16(status).expect("a status");
    let api = api(Always { status, headers, body: "" }).await;
    api.put("kind", "name", Version(3), "body").await.expect_err("a failure")
}

#[tokio::test]
async fn a_write_counts_as_not_written_only_on_the_platforms_word() {
    // Something between host and platform answers for it, or the answer is mangled. The write may
    // have taken effect all the same, so its caller must not read that nothing was written.
    for status in [500, 502, 503, 504] {
        assert_eq!(put(status, vec![]).await, StoreError::OutcomeUnknown, "{status}");
    }
    assert_eq!(put(200, vec![]).await, StoreError::OutcomeUnknown);
    assert_eq!(put(412, vec![]).await, StoreError::OutcomeUnknown);
    assert_eq!(put(400, vec![]).await, StoreError::Protocol { status: 400 });
    let busy = put(503, vec![(header::RETRY_AFTER, "2")]).await;
    assert_eq!(busy, StoreError::Busy { retry_after: Ms::secs(2) });
    let conflict = put(412, vec![(header::ETAG, "\"7\"")]).await;
    assert_eq!(conflict, StoreError::Conflict { current: Version(7) });
}

#[tokio::test]
async fn an_answer_about_another_object_is_dropped() {
    // The connection is mixed up: a read of one object is answered with another, which would be
    // taken for the first one's content.
    let body = r#"{"kind": "kind", "name": "other", "version": 4, "body": "b"}"#;
    let api = api(Always { status: StatusCode::OK, headers: vec![], body }).await;
    assert_eq!(api.get("kind", "name").await, Err(StoreError::Protocol { status: 0 }));
    assert!(api.get("kind", "other").await.expect("a read").is_some());
}

#[tokio::test]
async fn a_name_that_leads_elsewhere_is_refused() {
    let api = api(Always { status: StatusCode::NOT_FOUND, headers: vec![], body: "" }).await;
    for name in ["", "a/b", "a?watch=1", "a b", "é"] {
        assert_eq!(api.get("kind", name).await, Err(StoreError::Name), "{name}");
    }
}
