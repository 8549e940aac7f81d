//! HTTP server: accepts connections within limits until it is stopped.

use base::{Ms, SystemClock};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use memory::{Budget, Class, Full, Places, Purpose, budget_bytes};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::Body;
use crate::counted::{CountedStream, Progress};

/// Time that a connection which must yield has to send the refusal of its request.
pub const EVICT_TIMEOUT: Ms = Ms(250);

/// Limits on what untrusted clients may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of a request's headers, bytes.
    pub header_bytes: usize,
    /// Time in which a client must send the headers, ms.
    pub read_ms: Ms,
    /// Maximum number of open connections. If there are more, those yield that have made no progress for a
    /// while; if there are none, the new one is closed immediately.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { header_bytes: 16_384, read_ms: Ms::secs(10), connections: 10_000 }
    }
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the connection closes. The request's extensions hold
    /// the [`Progress`] of its connection, to whose account is charged what is held for it.
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

/// Serves until `stop` is set, then waits until the open requests are answered. What is held for clients
/// has a budget of its own.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    bounds: Bounds,
    handler: Arc<H>,
    stop: Stop,
) -> ServeSummary {
    let budget = Budget::new(budget_bytes(None), Arc::new(SystemClock::new()));
    let places = budget.places(Class::Callers, bounds.connections);
    serve_within(listener, bounds, places, handler, stop).await
}

/// The same with places in a budget that others use as well, in place of [`Bounds::connections`].
pub async fn serve_within<H: Handler>(
    listener: TcpListener,
    bounds: Bounds,
    places: Places,
    handler: Arc<H>,
    stop: Stop,
) -> ServeSummary {
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
        let Some(account) = places.open() else {
            refused += 1;
            continue;
        };
        let progress = Arc::new(Progress::new(account));
        open.spawn(serve_connection(tcp, peer, bounds, handler.clone(), progress, stop.clone()));
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
    progress: Arc<Progress>,
    stop: Stop,
) {
    // If this fails, the connection is slower but still correct.
    let _ = tcp.set_nodelay(true);
    let io = TokioIo::new(CountedStream::new(tcp, progress.clone()));
    let service = {
        let progress = progress.clone();
        service_fn(move |request| answer(handler.clone(), progress.clone(), request, peer))
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.read_ms.duration())
        .max_buf_size(bounds.header_bytes.max(8192))
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = progress.account().evicted() => {
            // The refusal of a request that is being read leaves in this time.
            let _ = timeout(EVICT_TIMEOUT.duration(), conn).await;
            return;
        }
        () = stop.wait() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    progress: Arc<Progress>,
    mut request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<Body>, Full> {
    progress.request_begun();
    request.extensions_mut().insert(progress.clone());
    let response = handler.handle(request, peer).await;
    progress.request_read();
    if let Some(bytes) = response.body().size_hint().exact() {
        let mut charge = progress.account().charge(Purpose::Answer);
        // Without room the connection closes, and with it the answer is gone.
        charge.grow(bytes as usize).await?;
        progress.hold(Arc::new(charge));
    }
    Ok(response.map(|body| AnswerBody { body, progress }.boxed_unsync()))
}

/// The body of an answer. Its end, or its drop, ends the request.
struct AnswerBody {
    body: Body,
    progress: Arc<Progress>,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.progress.answered();
    }
}

impl HttpBody for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
