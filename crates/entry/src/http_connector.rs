//! HTTP connections to targets, with a connection pool per address.

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

use crate::connector::{CallLimits, Connection, Connector, ProbeResult};
use crate::probe::probe;

/// Connection pools of the targets, created on first use.
pub(crate) struct HttpConnector {
    connect_timeout: Ms,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool>>>,
}

/// An HTTP connection and the response that is being read from it.
struct HttpConnection {
    pool: Arc<Pool>,
    conn: Conn,
    body: Option<Incoming>,
}

impl HttpConnector {
    pub(crate) fn new(connect_timeout: Ms) -> Self {
        Self { connect_timeout, pools: Mutex::default() }
    }

    fn pool(&self, addr: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let config = PoolConfig { connect_ms: self.connect_timeout, ..PoolConfig::default() };
        pools.entry(addr).or_insert_with(|| Arc::new(Pool::new(addr, config))).clone()
    }
}

impl HttpConnection {
    fn start_body(&mut self, response: Response<Incoming>) -> StatusCode {
        let (head, body) = response.into_parts();
        self.body = Some(body);
        head.status
    }
}

#[async_trait]
impl Connector for HttpConnector {
    async fn open(
        &self,
        addr: SocketAddr,
        freshness: ConnPolicy,
    ) -> Result<Box<dyn Connection>, LinkError> {
        let pool = self.pool(addr);
        let conn = pool.get(freshness).await?;
        Ok(Box::new(HttpConnection { pool, conn, body: None }))
    }

    async fn probe(&self, addr: SocketAddr, call: &StageCall, limits: CallLimits) -> ProbeResult {
        probe(addr, call, limits).await
    }

    fn clear(&self, addr: SocketAddr) {
        self.pool(addr).clear();
    }
}

#[async_trait]
impl Connection for HttpConnection {
    async fn send(&mut self, body: Bytes, idle_timeout: Ms) -> Result<StatusCode, LinkError> {
        let mut request = Request::new(full(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = hyper::Uri::from_static("/v1/stage");
        let headers = request.headers_mut();
        headers.insert(header::HOST, header::HeaderValue::from_static("target"));
        let kind = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, kind);
        let response = self.conn.send(request, idle_timeout).await?;
        Ok(self.start_body(response))
    }

    async fn wait(&mut self, idle_timeout: Ms) -> Result<StatusCode, LinkError> {
        let response = self.conn.wait(idle_timeout).await?;
        Ok(self.start_body(response))
    }

    async fn chunk(&mut self, idle_timeout: Ms) -> Result<Option<Bytes>, LinkError> {
        let Some(body) = &mut self.body else { return Ok(None) };
        loop {
            let frame = match timeout(idle_timeout.duration(), body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return Err(LinkError::Broken { reused: false }),
                Ok(None) => return Ok(None),
                Err(_) => return Err(LinkError::Silent),
            };
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn release(self: Box<Self>) {
        self.pool.put(self.conn);
    }
}
