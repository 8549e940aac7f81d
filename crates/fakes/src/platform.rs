//! The platform's object API as a small HTTP server with faults.

use base::{Ms, Version};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use link::{Body, Bounds, Handler, Stop, full, json, read, serve, stream};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::StoreError;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use wire::ObjectList;

use crate::Objects;

/// Largest request body that is read, bytes.
const BODY_BYTES: usize = 4 << 20;

/// Faults of the platform, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Closes each connection without an answer and has no effect.
    pub down: bool,
    /// Delay before each answer, ms.
    pub slow_ms: u64,
    /// Number of further writes that take effect although the connection closes without an answer.
    pub lose_answers: u32,
    /// Keeps connections open and never answers.
    pub silent: bool,
    /// Answers 503 with Retry-After.
    pub busy: bool,
    /// Reads return the content as it was when this fault was switched on.
    pub stale: bool,
}

/// Numbers of calls to the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of one object or a list.
    pub reads: u64,
    /// Writes, conflicting ones included.
    pub writes: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
}

/// A running platform.
pub struct Platform {
    addr: SocketAddr,
    state: Arc<State>,
    stop: Stop,
    task: JoinHandle<()>,
}

struct State {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct Inner {
    objects: Objects,
    snapshot: Option<HashMap<(String, String), wire::Object>>,
    faults: PlatformFaults,
    stats: PlatformStats,
}

impl Platform {
    /// Starts the server; port 0 picks a free port.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let inner = Mutex::new(Inner::default());
        let state = Arc::new(State { inner, changed: watch::Sender::new(0) });
        let stop = Stop::new();
        let served = serve(listener, Bounds::default(), state.clone(), stop.clone());
        let task = tokio::spawn(async move {
            served.await;
        });
        Ok(Self { addr, state, stop, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Calls so far.
    pub fn stats(&self) -> PlatformStats {
        self.state.lock().stats.clone()
    }

    /// The content, for tests that check it without the protocol.
    pub fn list(&self, kind: &str) -> ObjectList {
        self.state.lock().objects.list(kind, Version(0))
    }

    /// Stops it.
    pub async fn close(self) {
        self.stop.stop();
        self.task.abort();
        let _ = self.task.await;
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: PlatformFaults) {
        let mut inner = self.lock();
        inner.snapshot = match (&inner.snapshot, faults.stale) {
            (_, false) => None,
            (Some(old), true) => Some(old.clone()),
            (None, true) => Some(inner.objects.all()),
        };
        inner.faults = faults;
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        if request.uri().path() == "/faults" {
            return Some(self.faults(request).await);
        }
        if request.uri().path() == "/stats" {
            return Some(json(StatusCode::OK, &self.lock().stats));
        }
        let faults = self.lock().faults.clone();
        if faults.slow_ms > 0 {
            tokio::time::sleep(Ms(faults.slow_ms).duration()).await;
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return None;
        }
        if faults.busy {
            let mut response = Response::new(full("busy"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(1));
            return Some(response);
        }
        self.object(request).await
    }

    async fn faults(&self, request: Request<Incoming>) -> Response<Body> {
        match parse_faults(request).await {
            Ok(faults) => {
                self.set_faults(faults);
                status(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        }
    }

    async fn object(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let mut parts = path.trim_start_matches('/').splitn(3, '/');
        let (root, kind, name) = (parts.next(), parts.next(), parts.next());
        let (Some("objects"), Some(kind)) = (root, kind) else {
            return Some(status(StatusCode::NOT_FOUND));
        };
        match (request.method().clone(), name) {
            (Method::GET, Some(name)) => {
                let mut inner = self.lock();
                inner.stats.reads += 1;
                match inner.read(kind, name) {
                    Some(object) => Some(json(StatusCode::OK, &object)),
                    None => Some(status(StatusCode::NOT_FOUND)),
                }
            }
            (Method::GET, None) => Some(self.list(kind, request.uri().query()).await),
            (Method::PUT, Some(name)) => self.put(kind, name, request).await,
            _ => Some(status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn list(&self, kind: &str, query: Option<&str>) -> Response<Body> {
        let Some(after) = param(query, "watch") else {
            let mut inner = self.lock();
            inner.stats.reads += 1;
            return json(StatusCode::OK, &inner.list(kind, Version(0)));
        };
        let wait = Ms(param(query, "wait_ms").unwrap_or(0));
        self.lock().stats.watches += 1;
        let mut changed = self.changed.subscribe();
        let newer = async {
            loop {
                let list = self.lock().list(kind, Version(after));
                if !list.objects.is_empty() {
                    return list;
                }
                if changed.changed().await.is_err() {
                    return list;
                }
            }
        };
        match tokio::time::timeout(wait.duration(), newer).await {
            Ok(list) => json(StatusCode::OK, &list),
            Err(_) => json(StatusCode::OK, &ObjectList { version: after, objects: vec![] }),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        let Some(expected) = expected_version(&request) else {
            return Some(status(StatusCode::PRECONDITION_REQUIRED));
        };
        let Ok(body) = read(request.into_body(), BODY_BYTES).await else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        let Ok(body) = std::str::from_utf8(&body) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        let (result, lost) = {
            let mut inner = self.lock();
            inner.stats.writes += 1;
            let result = inner.objects.put(kind, name, expected, body);
            let lost = inner.faults.lose_answers > 0;
            inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
            (result, lost)
        };
        if let Ok(version) = result {
            self.changed.send_replace(version.0);
        }
        match result {
            _ if lost => None,
            Ok(version) => Some(with_etag(StatusCode::OK, version)),
            Err(StoreError::Conflict { current }) => {
                Some(with_etag(StatusCode::PRECONDITION_FAILED, current))
            }
            Err(_) => Some(status(StatusCode::PAYLOAD_TOO_LARGE)),
        }
    }
}

impl Inner {
    fn read(&self, kind: &str, name: &str) -> Option<wire::Object> {
        match &self.snapshot {
            Some(snapshot) => snapshot.get(&(kind.to_owned(), name.to_owned())).cloned(),
            None => self.objects.get(kind, name).cloned(),
        }
    }

    fn list(&self, kind: &str, after: Version) -> ObjectList {
        let Some(snapshot) = &self.snapshot else { return self.objects.list(kind, after) };
        let old = snapshot.values().filter(|o| o.kind == kind && o.version > after.0);
        let objects: Vec<_> = old.cloned().collect();
        let version = objects.iter().map(|o| o.version).max().unwrap_or(after.0);
        ObjectList { version, objects }
    }
}

impl Handler for State {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        match self.answer(request).await {
            Some(response) => response,
            None => closed_connection(),
        }
    }
}

/// A response whose body ends too early, so that the connection closes without an answer.
pub(crate) fn closed_connection() -> Response<Body> {
    // This needs a streamed body: one of known length would be sent as a complete answer.
    let (_, none) = mpsc::channel(1);
    let mut response = Response::new(stream(none));
    response.headers_mut().insert(header::CONTENT_LENGTH, header::HeaderValue::from(1));
    response
}

/// Parses a request body as faults; the error is a response that says what is wrong.
pub(crate) async fn parse_faults<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Box<Response<Body>>> {
    let wrong = |text: String| {
        let mut response = Response::new(full(text));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        Box::new(response)
    };
    let body = read(request.into_body(), BODY_BYTES).await;
    let body = body.map_err(|err| wrong(err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| wrong(err.to_string()))
}

pub(crate) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

pub(crate) fn param(query: Option<&str>, name: &str) -> Option<u64> {
    text_param(query, name)?.parse().ok()
}

pub(crate) fn text_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn with_etag(status: StatusCode, version: Version) -> Response<Body> {
    let mut response = self::status(status);
    response.headers_mut().insert(header::ETAG, header::HeaderValue::from(version.0));
    response
}

fn expected_version(request: &Request<Incoming>) -> Option<Version> {
    let headers = request.headers();
    if headers.get(header::IF_NONE_MATCH).is_some_and(|v| v == "*") {
        return Some(Version(0));
    }
    let value = headers.get(header::IF_MATCH)?.to_str().ok()?;
    value.trim_matches('"').parse().ok().map(Version)
}
