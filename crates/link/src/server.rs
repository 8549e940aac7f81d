//! Taking connections, with bounds, until told to stop.

use base::Ms;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::Body;

/// Bounds on what strangers may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of headers.
    pub header_bytes: usize,
    /// Time to send headers, ms.
    pub read_ms: Ms,
    /// Open connections; more are closed at once.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { header_bytes: 16_384, read_ms: Ms::secs(10), connections: 10_000 }
    }
}

/// What answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when its connection goes.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Tells a server to stop.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<bool>);

impl Stop {
    /// Not stopped.
    pub fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    /// Stops: no new connections or requests; what is open is answered.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }

    /// Whether it was stopped.
    pub fn stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until it is stopped.
    pub async fn wait(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.0.subscribe().wait_for(|stopped| *stopped).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

/// How a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeSummary {
    /// Connections turned away because of the bound.
    pub refused: u64,
}

/// Serves until `stop`, then waits for open requests to be answered.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    bounds: Bounds,
    handler: Arc<H>,
    stop: Stop,
) -> ServeSummary {
    let room = Arc::new(Semaphore::new(bounds.connections));
    let mut open = JoinSet::new();
    let mut refused = 0;
    loop {
        let tcp = tokio::select! {
            biased;
            () = stop.wait() => break,
            Some(_) = open.join_next(), if !open.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((tcp, peer)) = tcp else {
            // Out of file descriptors: accepting again at once would spin.
            tokio::time::sleep(Ms(10).duration()).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            refused += 1;
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        open.spawn(async move {
            connection(tcp, peer, bounds, handler, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    while open.join_next().await.is_some() {}
    ServeSummary { refused }
}

async fn connection<H: Handler>(
    tcp: TcpStream,
    peer: SocketAddr,
    bounds: Bounds,
    handler: Arc<H>,
    stop: Stop,
) {
    // A failure here leaves the connection slower, not wrong.
    let _ = tcp.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.read_ms.duration())
        .max_buf_size(bounds.header_bytes.max(8192))
        .serve_connection(TokioIo::new(tcp), service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = stop.wait() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
