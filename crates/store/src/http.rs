//! The object API over HTTP.
//!
//! `GET /objects/{kind}/{name}`, `GET /objects/{kind}`, `PUT /objects/{kind}/{name}` with
//! `If-Match: VERSION` (or `If-None-Match: *` for a new one), and
//! `GET /objects/{kind}?watch=VERSION&wait_ms=N`. A conflict is 412 with the version in `ETag`.

use async_trait::async_trait;
use base::{Ms, Version};
use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, header};
use link::{LinkError, Pool, PoolConfig};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use wire::{Object, ObjectList};

use crate::{Api, StoreError};

/// Largest response body that is read, bytes. A list holds many objects of up to a megabyte each.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Retry delay when the platform's response names none.
const DEFAULT_RETRY_AFTER_MS: Ms = Ms::secs(1);

/// Time limits of the client.
#[derive(Clone, Copy, Debug)]
pub struct HttpConfig {
    /// A call fails after this long without any data, ms.
    pub silence_ms: Ms,
    /// How much longer than its requested wait a watch may take to respond, ms.
    pub watch_ms: Ms,
}

/// The platform's object API over HTTP.
pub struct HttpApi {
    pool: Pool,
    config: HttpConfig,
}

impl HttpApi {
    /// A client of the platform at `addr`.
    pub fn new(addr: SocketAddr, config: HttpConfig) -> Self {
        let bounds = PoolConfig { connect_ms: config.silence_ms, ..PoolConfig::default() };
        Self { pool: Pool::new(addr, bounds), config }
    }

    async fn call(
        &self,
        request: Request<Bytes>,
        idle_timeout: Ms,
    ) -> Result<Response<Bytes>, StoreError> {
        let write = request.method() == Method::PUT;
        let result = link::call(&self.pool, request, idle_timeout, MAX_RESPONSE_BYTES).await;
        result.map_err(|err| {
            // The cause may have broken the other pooled connections as well.
            self.pool.clear();
            match err {
                LinkError::Connect | LinkError::Refused | LinkError::Unsent => StoreError::Down,
                _ if write => StoreError::OutcomeUnknown,
                _ => StoreError::Down,
            }
        })
    }
}

#[async_trait]
impl Api for HttpApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        let path = path(kind, Some(name))?;
        let request = request(Method::GET, &path, Bytes::new());
        let response = self.call(request, self.config.silence_ms).await?;
        match response.status() {
            StatusCode::OK => {
                parse(&response).and_then(|o| verify_identity(o, kind, name)).map(Some)
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(response_error(&response)),
        }
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        let request = request(Method::GET, &path(kind, None)?, Bytes::new());
        let response = self.call(request, self.config.silence_ms).await?;
        match response.status() {
            StatusCode::OK => parse(&response),
            _ => Err(response_error(&response)),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let mut request = request(Method::PUT, &path(kind, Some(name))?, body);
        let (condition, value) = match expected {
            Version(0) => (header::IF_NONE_MATCH, header::HeaderValue::from_static("*")),
            Version(n) => (header::IF_MATCH, header::HeaderValue::from(n)),
        };
        request.headers_mut().insert(condition, value);
        let response = self.call(request, self.config.silence_ms).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => {
                etag(&response).ok_or(StoreError::OutcomeUnknown)
            }
            StatusCode::PRECONDITION_FAILED => match etag(&response) {
                Some(current) => Err(StoreError::Conflict { current }),
                None => Err(StoreError::OutcomeUnknown),
            },
            _ => Err(write_error(&response)),
        }
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        let path = format!("{}?watch={after}&wait_ms={}", path(kind, None)?, wait.0);
        let request = request(Method::GET, &path, Bytes::new());
        let response = self.call(request, wait + self.config.watch_ms).await?;
        match response.status() {
            StatusCode::OK => parse(&response),
            _ => Err(response_error(&response)),
        }
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = header::HeaderValue::from_static("platform");
    request.headers_mut().insert(header::HOST, host);
    request
}

fn parse<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T, StoreError> {
    serde_json::from_slice(response.body()).map_err(|_| StoreError::Protocol { status: 0 })
}

/// The path of a kind or an object. Other characters could truncate the path or make it address
/// another object.
fn path(kind: &str, name: Option<&str>) -> Result<String, StoreError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    let valid = |part: &str| !part.is_empty() && part.chars().all(allowed);
    match name {
        _ if !valid(kind) => Err(StoreError::InvalidName),
        Some(name) if !valid(name) => Err(StoreError::InvalidName),
        Some(name) => Ok(format!("/objects/{kind}/{name}")),
        None => Ok(format!("/objects/{kind}")),
    }
}

/// Rejects an object other than the requested one: a proxy between host and platform may have mixed
/// up responses.
fn verify_identity(object: Object, kind: &str, name: &str) -> Result<Object, StoreError> {
    match object {
        object if object.kind == kind && object.name == name => Ok(object),
        _ => Err(StoreError::Protocol { status: 0 }),
    }
}

fn etag(response: &Response<Bytes>) -> Option<Version> {
    let value = response.headers().get(header::ETAG)?.to_str().ok()?;
    value.trim_matches('"').parse().ok().map(Version)
}

/// The error of a failed write. Only an explicit rejection by the platform shows that nothing was
/// written: a 502 or 504 comes from a proxy, which may have forwarded the write, and a 500 means
/// that the platform failed at an unknown point.
fn write_error(response: &Response<Bytes>) -> StoreError {
    match response_error(response) {
        StoreError::Protocol { status: 500.. } => StoreError::OutcomeUnknown,
        error => error,
    }
}

fn response_error(response: &Response<Bytes>) -> StoreError {
    let status = response.status();
    let value = response.headers().get(header::RETRY_AFTER);
    let after = value.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok()).map(Ms::secs);
    match status {
        StatusCode::TOO_MANY_REQUESTS => {
            StoreError::Busy { retry_after: after.unwrap_or(DEFAULT_RETRY_AFTER_MS) }
        }
        // Without `Retry-After` the response may come from a proxy instead of the platform.
        StatusCode::SERVICE_UNAVAILABLE if after.is_some() => {
            StoreError::Busy { retry_after: after.unwrap_or(DEFAULT_RETRY_AFTER_MS) }
        }
        StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge,
        _ => StoreError::Protocol { status: status.as_u16() },
    }
}
