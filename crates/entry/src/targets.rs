//! Connections to targets over HTTP, kept by address.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use link::{Conn, ConnPolicy, LinkError, Pool, PoolConfig, full};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::timeout;
use wire::StageCall;

use crate::dial::{Bounds, Dial, Line, Probed};
use crate::probe::probe;

/// Pools of connections to targets, made when first needed.
pub(crate) struct Targets {
    connect: Ms,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

/// One HTTP connection and the response that is read from it.
struct HttpLine {
    pool: Arc<Pool>,
    conn: Conn,
    body: Option<Incoming>,
}

impl Targets {
    pub(crate) fn new(connect: Ms) -> Self {
        Self { connect, pools: Mutex::default() }
    }

    fn pool(&self, addr: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let config = PoolConfig { connect_ms: self.connect, ..PoolConfig::default() };
        pools.entry(addr).or_insert_with(|| Arc::new(Pool::new(addr, config))).clone()
    }
}

impl HttpLine {
    fn begin(&mut self, response: Response<Incoming>) -> StatusCode {
        let (head, body) = response.into_parts();
        self.body = Some(body);
        head.status
    }
}

#[async_trait]
impl Dial for Targets {
    async fn open(&self, addr: SocketAddr, fresh: ConnPolicy) -> Result<Box<dyn Line>, LinkError> {
        let pool = self.pool(addr);
        let conn = pool.get(fresh).await?;
        Ok(Box::new(HttpLine { pool, conn, body: None }))
    }

    async fn probe(&self, addr: SocketAddr, call: &StageCall, bounds: Bounds) -> Probed {
        probe(addr, call, bounds).await
    }

    fn clear(&self, addr: SocketAddr) {
        self.pool(addr).clear();
    }
}

#[async_trait]
impl Line for HttpLine {
    async fn send(&mut self, body: Bytes, silence: Ms) -> Result<StatusCode, LinkError> {
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/v1/stage");
        let headers = request.headers_mut();
        headers.insert(header::HOST, header::HeaderValue::from_static("target"));
        let kind = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, kind);
        let response = self.conn.send(request, silence).await?;
        Ok(self.begin(response))
    }

    async fn wait(&mut self, silence: Ms) -> Result<StatusCode, LinkError> {
        let response = self.conn.wait(silence).await?;
        Ok(self.begin(response))
    }

    async fn chunk(&mut self, silence: Ms) -> Result<Option<Bytes>, LinkError> {
        let Some(body) = &mut self.body else { return Ok(None) };
        loop {
            let frame = match timeout(silence.duration(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(LinkError::Broken { reused: false }),
                Ok(None) => return Ok(None),
                Err(_) => return Err(LinkError::Silent),
            };
            // Trailers carry nothing that is wanted.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn keep(self: Box<Self>) {
        self.pool.put(self.conn);
    }
}
