//! HTTP client connections to one address, with a pool of idle ones.

use base::Ms;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::limited::{HeadLimit, LimitedStream};
use crate::listen::socket_for;
use crate::{Body, LinkError, full, read};

/// Limits of a connection pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Connect time-out, ms.
    pub connect_ms: Ms,
    /// Maximum number of idle connections.
    pub idle: usize,
    /// A connection that was idle for longer than this is not reused, ms.
    pub idle_ms: Ms,
    /// Size of a connection's receive buffer, bytes. Default: the system's, which grows to megabytes.
    pub receive_bytes: Option<u32>,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self { connect_ms: Ms::secs(1), idle: 64, idle_ms: Ms::secs(20), receive_bytes: None }
    }
}

/// Whether a pooled connection may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnPolicy {
    /// An idle connection if there is one, otherwise a new one.
    Reuse,
    /// A new connection. A device between the two ends may have dropped its state for an idle
    /// connection; a request that may not be repeated would then be sent and its outcome be
    /// unknown. A new handshake proves that the path works.
    New,
}

/// A pool of connections to one address.
pub struct Pool {
    addr: SocketAddr,
    config: PoolConfig,
    idle: Mutex<Vec<Conn>>,
}

/// Pending head of a response.
type PendingHead =
    Pin<Box<dyn Future<Output = Result<Response<Incoming>, TrySendError<Request<Body>>>> + Send>>;

/// Most bytes that are read from the far end before the head of a response is complete, interim heads
/// included.
///
/// A faulty server may send interim heads without end. The HTTP library skips them as long as they come,
/// and would keep the thread and its other connections from running. The library may read a buffer of the
/// body together with the head, twice.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// Most bytes that a connection reads before somebody takes them. A head must fit into them.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A connection, for one request at a time. It is closed when it is dropped without
/// [`Pool::put`].
pub struct Conn {
    sender: SendRequest<Body>,
    head: Option<PendingHead>,
    limit: HeadLimit,
    reused: bool,
    opened: Instant,
    last_used: Instant,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(addr: SocketAddr, config: PoolConfig) -> Self {
        Self { addr, config, idle: Mutex::new(Vec::new()) }
    }

    /// The address that the pool connects to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a connection that is ready for a request.
    pub async fn get(&self, policy: ConnPolicy) -> Result<Conn, LinkError> {
        match self.idle() {
            Some(conn) if policy == ConnPolicy::Reuse => Ok(conn),
            _ => self.connect().await,
        }
    }

    async fn connect(&self) -> Result<Conn, LinkError> {
        Conn::over(self.open().await?).await
    }

    async fn connect_tcp(&self) -> std::io::Result<TcpStream> {
        let Some(bytes) = self.config.receive_bytes else {
            return TcpStream::connect(self.addr).await;
        };
        let socket = socket_for(self.addr)?;
        // A system that refuses the size keeps its own.
        let _ = socket.set_recv_buffer_size(bytes);
        socket.connect(self.addr).await
    }

    /// Opens a stream to the pool's address.
    pub async fn open(&self) -> Result<TcpStream, LinkError> {
        let open = timeout(self.config.connect_ms.duration(), self.connect_tcp());
        let tcp = match open.await {
            Ok(Ok(tcp)) => tcp,
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                return Err(LinkError::Refused);
            }
            Ok(Err(_)) | Err(_) => return Err(LinkError::Connect),
        };
        // With Nagle's algorithm, small requests would wait for the peer's delayed acknowledgement.
        tcp.set_nodelay(true).map_err(|_| LinkError::Connect)?;
        Ok(tcp)
    }

    /// Returns a connection to the pool. Its response must have been read completely and be valid.
    pub fn put(&self, mut conn: Conn) {
        conn.reused = true;
        conn.last_used = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.config.idle {
            idle.push(conn);
        }
    }

    /// Closes all idle connections, so that the next requests open new ones.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Closes the connections that have been idle for at least this long.
    pub fn clear_idle(&self, time: Ms) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|conn| conn.last_used.elapsed() < time.duration());
    }

    /// Drops the idle connections that the far end has closed. Returns whether there were any.
    pub fn prune(&self) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let before = idle.len();
        idle.retain(|conn| conn.sender.is_ready());
        idle.len() < before
    }

    /// Closes the idle connections that were idle for too long. Returns how many there are that can
    /// still be used.
    pub fn idle_count(&self) -> usize {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let max_idle = self.config.idle_ms.duration();
        // Those that the far end has closed stay for [`Pool::prune`], which reports them.
        idle.retain(|conn| conn.last_used.elapsed() < max_idle);
        idle.iter().filter(|conn| conn.sender.is_ready()).count()
    }

    /// Whether there is an idle connection that can still be used.
    pub fn has_idle(&self) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let max_idle = self.config.idle_ms.duration();
        idle.iter().any(|conn| conn.sender.is_ready() && conn.last_used.elapsed() < max_idle)
    }

    /// Whether an idle connection that can still be used was opened longer ago than this.
    pub fn holds_older_than(&self, age: Ms) -> bool {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.iter().any(|conn| conn.sender.is_ready() && conn.opened.elapsed() > age.duration())
    }

    /// Takes an idle connection that can still be used, if there is one.
    pub fn idle(&self) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let max_idle = self.config.idle_ms.duration();
        while let Some(conn) = idle.pop() {
            if conn.sender.is_ready() && conn.last_used.elapsed() < max_idle {
                return Some(conn);
            }
        }
        None
    }
}

impl Conn {
    /// An HTTP connection over an open byte stream.
    pub async fn over<S>(stream: S) -> Result<Self, LinkError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let limit = HeadLimit::new(MAX_HEAD_BYTES);
        let stream = LimitedStream::new(stream, limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, conn) = handshake.map_err(|_| LinkError::Connect)?;
        tokio::spawn(async move {
            // The error is also returned to the caller that waits for the response.
            let _ = conn.await;
        });
        let now = Instant::now();
        Ok(Self { sender, head: None, limit, reused: false, opened: now, last_used: now })
    }

    /// Sends a request and waits for the response's head, for at most `silence`.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        silence: Ms,
    ) -> Result<Response<Incoming>, LinkError> {
        self.limit.begin();
        self.head = Some(Box::pin(self.sender.try_send_request(request)));
        self.wait(silence).await
    }

    /// Continues to wait for the response's head after [`LinkError::Silent`]. The request stays in
    /// flight between the waits; to drop the connection instead would cancel it.
    pub async fn wait(&mut self, silence: Ms) -> Result<Response<Incoming>, LinkError> {
        let reused = self.reused;
        let Some(head) = &mut self.head else { return Err(LinkError::Broken { reused }) };
        let Ok(head) = timeout(silence.duration(), head).await else {
            return Err(LinkError::Silent);
        };
        self.head = None;
        self.limit.end();
        head.map_err(|err| match err.message() {
            // The request is returned unused: none of it was written.
            Some(_) => LinkError::Unsent,
            None => LinkError::Broken { reused },
        })
    }
}

/// Sends a request and reads the complete response. If a connection turns out to be closed before
/// the request was handed to it, the request is sent once more on a new connection. `silence`
/// limits the wait for the head, and then the time to read the whole body.
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
