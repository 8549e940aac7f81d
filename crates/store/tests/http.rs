//! How the HTTP client maps the platform's responses to results.

use base::{Ms, Version};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use link::{Body, Bounds, Handler, Stop, full, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig, StoreError};
use tokio::net::TcpListener;

/// Gives the same response to each request.
struct FixedResponse {
    status: StatusCode,
    headers: Vec<(header::HeaderName, &'static str)>,
    body: &'static str,
}

impl Handler for FixedResponse {
    async fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let mut response = Response::new(full(self.body));
        *response.status_mut() = self.status;
        for (name, value) in &self.headers {
            response.headers_mut().insert(name, header::HeaderValue::from_static(value));
        }
        response
    }
}

async fn api(response: FixedResponse) -> HttpApi {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, Bounds::default(), Arc::new(response), Stop::new()));
    HttpApi::new(addr, HttpConfig { silence_ms: Ms::secs(5), watch_ms: Ms::secs(5) })
}

async fn put(status: u16, headers: Vec<(header::HeaderName, &'static str)>) -> StoreError {
    let status = StatusCode::from_u16(status).expect("a status");
    let api = api(FixedResponse { status, headers, body: "" }).await;
    api.put("kind", "name", Version(3), "body").await.expect_err("a failure")
}

#[tokio::test]
async fn a_write_counts_as_not_written_only_if_the_platform_rejects_it() {
    // A proxy between host and platform responds in its place, or the response is malformed. The
    // write may have taken effect nevertheless, so its caller must not be told that nothing was
    // written.
    for status in [500, 502, 503, 504] {
        assert_eq!(put(status, vec![]).await, StoreError::OutcomeUnknown, "{status}");
    }
    assert_eq!(put(200, vec![]).await, StoreError::OutcomeUnknown);
    assert_eq!(put(412, vec![]).await, StoreError::OutcomeUnknown);
    assert_eq!(put(400, vec![]).await, StoreError::Protocol { status: 400 });
    let overloaded = put(503, vec![(header::RETRY_AFTER, "2")]).await;
    assert_eq!(overloaded, StoreError::Busy { retry_after: Ms::secs(2) });
    let conflict = put(412, vec![(header::ETAG, "\"7\"")]).await;
    assert_eq!(conflict, StoreError::Conflict { current: Version(7) });
}

#[tokio::test]
async fn a_response_with_another_object_is_rejected() {
    // Responses on a connection are mixed up: a read of one object gets another one, whose content
    // would be taken for that of the first.
    let body = r#"{"kind": "kind", "name": "other", "version": 4, "body": "b"}"#;
    let api = api(FixedResponse { status: StatusCode::OK, headers: vec![], body }).await;
    assert_eq!(api.get("kind", "name").await, Err(StoreError::Protocol { status: 0 }));
    assert!(api.get("kind", "other").await.expect("a read").is_some());
}

#[tokio::test]
async fn a_name_that_would_change_the_path_is_rejected() {
    let api = api(FixedResponse { status: StatusCode::NOT_FOUND, headers: vec![], body: "" }).await;
    for name in ["", "a/b", "a?watch=1", "a b", "é"] {
        assert_eq!(api.get("kind", name).await, Err(StoreError::InvalidName), "{name}");
    }
}
