//! Client connections to one address.

use base::Ms;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::{Body, LinkError, full, read};

/// Bounds of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Time to connect, ms.
    pub connect_ms: Ms,
    /// Idle connections that are kept.
    pub idle: usize,
    /// An idle connection older than this is not used again, ms.
    pub idle_ms: Ms,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self { connect_ms: Ms::secs(1), idle: 64, idle_ms: Ms::secs(20) }
    }
}

/// Whether a connection that served before will do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnPolicy {
    /// Any open connection.
    Reuse,
    /// A new one. A kept connection may have been lost track of by something between the two
    /// ends; work that may not be repeated would then be sent and its outcome unknown. A new
    /// handshake proves the path.
    New,
}

/// Connections to one address.
pub struct Pool {
    addr: SocketAddr,
    config: PoolConfig,
    idle: Mutex<Vec<Conn>>,
}

/// A response's head that is waited for.
type Head =
    Pin<Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Body>>>> + Send>>;

/// One connection, for one request at a time. Dropped without [`Pool::put`], it is closed.
pub struct Conn {
    sender: SendRequest<Body>,
    head: Option<Head>,
    reused: bool,
    since: Instant,
}

impl Pool {
    /// An empty pool.
    pub fn new(addr: SocketAddr, config: PoolConfig) -> Self {
        Self { addr, config, idle: Mutex::new(Vec::new()) }
    }

    /// Where its connections go.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// A connection that can take a request now.
    pub async fn get(&self, fresh: ConnPolicy) -> Result<Conn, LinkError> {
        match self.kept() {
            Some(conn) if fresh == ConnPolicy::Reuse => Ok(conn),
            _ => self.connect().await,
        }
    }

    /// Gives a connection back after its response was read whole and found sound.
    pub fn put(&self, mut conn: Conn) {
        conn.reused = true;
        conn.since = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.config.idle {
            idle.push(conn);
        }
    }

    /// Drops all idle connections, so that the next ones are new.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn kept(&self) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = self.config.idle_ms.duration();
        while let Some(conn) = idle.pop() {
            if conn.sender.is_ready() && conn.since.elapsed() < oldest {
                return Some(conn);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Conn, LinkError> {
        let open = async {
            let tcp = TcpStream::connect(self.addr).await.map_err(|_| LinkError::Connect)?;
            // Small requests would wait for the far end's delayed acknowledgement.
            tcp.set_nodelay(true).map_err(|_| LinkError::Connect)?;
            http1::handshake(TokioIo::new(tcp)).await.map_err(|_| LinkError::Connect)
        };
        let (sender, conn) = timeout(self.config.connect_ms.duration(), open)
            .await
            .map_err(|_| LinkError::Connect)??;
        tokio::spawn(async move {
            // Its error reaches whoever waits for the response.
            let _ = conn.await;
        });
        Ok(Conn { sender, head: None, reused: false, since: Instant::now() })
    }
}

impl Conn {
    /// Sends a request and waits for the response's head, at most `silence`.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        silence: Ms,
    ) -> Result<Response<Incoming>, LinkError> {
        self.head = Some(Box::pin(self.sender.try_send_request(request)));
        self.wait(silence).await
    }

    /// Waits on for the head of a response that was silent so far. The request stays under way
    /// meanwhile: giving the wait up would close the connection and cancel it.
    pub async fn wait(&mut self, silence: Ms) -> Result<Response<Incoming>, LinkError> {
        let reused = self.reused;
        let Some(head) = &mut self.head else { return Err(LinkError::Broken { reused }) };
        let Ok(head) = timeout(silence.duration(), head).await else {
            return Err(LinkError::Silent);
        };
        self.head = None;
        head.map_err(|err| match err.message() {
            // Given back unused: not a byte of it was written.
            Some(_) => LinkError::Unsent,
            None => LinkError::Broken { reused },
        })
    }
}

/// One whole call: status and body. A connection found closed before the request was handed to
/// it is replaced once. `silence` bounds the head and each wait for more of the body.
pub async fn call(
    pool: &Pool,
    request: Request<bytes::Bytes>,
    silence: Ms,
    limit: usize,
) -> Result<Response<bytes::Bytes>, LinkError> {
    let (head, body) = request.into_parts();
    let build = || Request::from_parts(head.clone(), full(body.clone()));
    let mut conn = pool.get(ConnPolicy::Reuse).await?;
    let mut result = conn.send(build(), silence).await;
    if let Err(LinkError::Unsent) = result {
        conn = pool.get(ConnPolicy::New).await?;
        result = conn.send(build(), silence).await;
    }
    let (head, body) = result?.into_parts();
    let body =
        timeout(silence.duration(), read(body, limit)).await.map_err(|_| LinkError::Silent)??;
    pool.put(conn);
    Ok(Response::from_parts(head, body))
}
