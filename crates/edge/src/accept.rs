//! Accepts callers' connections, limits their number and idle time, and closes them without
//! truncating a response.

use base::{Clock, Ms};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use link::Stop;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::body::{ResponseBody, Truncated};
use crate::core::Core;
use crate::host::App;
use crate::request;

/// Limit of open caller connections; further ones are closed as soon as they are accepted. A
/// connection takes about 20 KB, so this many fit into the memory of a small host beside its work.
const MAX_CONNECTIONS: usize = 2_000;
/// Delay after a failed accept. When the process is out of file descriptors, an immediate retry
/// would spin.
const ACCEPT_RETRY_DELAY: Ms = Ms(10);
/// Smallest buffer for a request head, in bytes, even if the declared limit is lower: hyper needs
/// 8 KB.
const MIN_HEAD_BYTES: usize = 8_192;
/// Time that a connection being closed for idleness has to flush its last bytes.
const CLOSE_TIMEOUT: Ms = Ms::secs(1);
/// Stands for "no point in time" in an atomic time stamp.
const UNSET: u64 = u64::MAX;

/// Tracks the activity of a connection, for the time-outs of idle connections and slow heads.
struct Activity {
    clock: Arc<dyn Clock>,
    /// Number of open requests.
    open: AtomicU64,
    /// Time in ms since which no request is open.
    idle_since: AtomicU64,
    /// Time in ms at which the first bytes of an unfinished head arrived, or [`UNSET`].
    head_since: AtomicU64,
}

impl Activity {
    fn new(clock: Arc<dyn Clock>) -> Self {
        let idle_since = AtomicU64::new(clock.now().0);
        Self { clock, open: AtomicU64::new(0), idle_since, head_since: AtomicU64::new(UNSET) }
    }

    /// Records that bytes have arrived.
    fn on_read(&self) {
        let idle = self.open.load(Ordering::Relaxed) == 0;
        if idle && self.head_since.load(Ordering::Relaxed) == UNSET {
            self.head_since.store(self.clock.now().0, Ordering::Relaxed);
        }
    }

    fn request_started(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.head_since.store(UNSET, Ordering::Relaxed);
    }

    fn request_ended(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.idle_since.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Which of the two time-outs applies at the moment.
    fn timeout_kind(&self) -> Timeout {
        match self.head_since.load(Ordering::Relaxed) {
            UNSET => Timeout::Idle,
            _ => Timeout::Head,
        }
    }

    /// Time until the connection has to be checked again; zero when a time-out has passed. With
    /// requests open no time-out runs, so that is `head_timeout` from now.
    fn remaining(&self, idle_timeout: Ms, head_timeout: Ms) -> Ms {
        if self.open.load(Ordering::Relaxed) > 0 {
            return head_timeout;
        }
        let now = self.clock.now();
        let idle_end = Ms(self.idle_since.load(Ordering::Relaxed)) + idle_timeout;
        let end = match self.head_since.load(Ordering::Relaxed) {
            UNSET => idle_end,
            since => Ms(since) + head_timeout,
        };
        end - now
    }
}

/// A TCP stream that reports reads to the connection's [`Activity`].
struct MonitoredStream {
    tcp: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_read();
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

/// Accepts and serves connections until `stop`, then waits until all open requests are answered.
pub(crate) async fn serve(listener: TcpListener, app: Arc<App>, stop: Stop) {
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.wait() => break,
            Some(_) = open.join_next(), if !open.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((tcp, _)) if open.len() < MAX_CONNECTIONS => {
                open.spawn(serve_connection(tcp, app.clone(), stop.clone()));
            }
            Ok(_) => app.core.metrics.refused_connection(),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await,
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

async fn serve_connection(tcp: TcpStream, app: Arc<App>, stop: Stop) {
    let core = app.core.clone();
    // A failure only makes the connection slower.
    let _ = tcp.set_nodelay(true);
    let activity = Arc::new(Activity::new(core.clock.clone()));
    let limits = core.limits();
    let io = TokioIo::new(MonitoredStream { tcp, activity: activity.clone() });
    let service = {
        let (app, activity) = (app.clone(), activity.clone());
        service_fn(move |request| handle(app.clone(), activity.clone(), request))
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's own time-out would count the idle time between requests as a slow head.
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        timeout = timed_out(&core, &activity) => match timeout {
            // A graceful shutdown would make hyper wait for the rest of the head. No request has
            // been read, so nothing is lost.
            Timeout::Head => return,
            // No request is open. One that arrives at this moment is not read, and its caller
            // sends it again.
            Timeout::Idle => {
                conn.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(CLOSE_TIMEOUT.duration(), conn).await;
                return;
            }
        },
        () = stop.wait() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

/// The time-out by which a connection without open requests is closed.
enum Timeout {
    /// It was idle for too long.
    Idle,
    /// A request head was begun but not completed in time.
    Head,
}

/// Completes when the connection has been idle, or a request head incomplete, for too long.
async fn timed_out(core: &Core, activity: &Activity) -> Timeout {
    loop {
        let limits = core.limits();
        let remaining = activity.remaining(limits.idle_timeout, limits.header_timeout);
        if remaining == Ms::ZERO {
            return activity.timeout_kind();
        }
        // A head may begin during the sleep, so check again after the head time-out at the latest.
        tokio::time::sleep(remaining.min(limits.header_timeout).duration()).await;
    }
}

/// Counts a request as open until its response is sent or dropped.
struct OpenGuard(Arc<Activity>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

async fn handle(
    app: Arc<App>,
    activity: Arc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    activity.request_started();
    let guard = OpenGuard(activity);
    let response = request::handle(app, request).await;
    Ok(response.map(|body| GuardedBody { body, _guard: guard }.boxed_unsync()))
}

/// A body that keeps its request counted as open until it is sent or dropped.
struct GuardedBody {
    body: ResponseBody,
    _guard: OpenGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
