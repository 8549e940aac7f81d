//! HTTP server: accepts connections within limits until it is stopped.

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

/// Limits on what untrusted clients may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of a request's headers, bytes.
    pub header_bytes: usize,
    /// Time in which a client must send the headers, ms.
    pub read_ms: Ms,
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { header_bytes: 16_384, read_ms: Ms::secs(10), connections: 10_000 }
    }
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the connection closes.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Signal that stops a server.
#[derive(Clone, Debug)]
pub struct Stop(watch::Sender<bool>);

impl Stop {
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    /// Sets the signal: the server accepts no new connections or requests and answers the open ones.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }

    /// Whether the signal is set.
    pub fn stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        // `self` holds the sender, so the channel can't close and the wait can't fail.
        let _ = self.0.subscribe().wait_for(|stopped| *stopped).await;
    }
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

/// What a server did until it stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeSummary {
    /// Connections closed because of [`Bounds::connections`].
    pub refused: u64,
}

/// Serves until `stop` is set, then waits until the open requests are answered.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    bounds: Bounds,
    handler: Arc<H>,
    stop: Stop,
) -> ServeSummary {
    let permits = Arc::new(Semaphore::new(bounds.connections));
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
            // Typically out of file descriptors: an immediate retry would spin.
            tokio::time::sleep(Ms(10).duration()).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            refused += 1;
            continue;
        };
        let (handler, stop) = (handler.clone(), stop.clone());
        open.spawn(async move {
            serve_connection(tcp, peer, bounds, handler, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    while open.join_next().await.is_some() {}
    ServeSummary { refused }
}

async fn serve_connection<H: Handler>(
    tcp: TcpStream,
    peer: SocketAddr,
    bounds: Bounds,
    handler: Arc<H>,
    stop: Stop,
) {
    // If this fails, the connection is slower but still correct.
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
