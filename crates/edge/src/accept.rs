//! Accepts callers' connections, limits their number and idle time, and closes them without
//! truncating a response.

use base::Ms;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, Version, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use link::{EVICT_TIMEOUT, Progress, Stop};
use logs::note;
use memory::{Account, Charge};
use std::convert::Infallible;
use std::io;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::activity::{Activity, Phase, Timeout};
use crate::body::{ResponseBody, Truncated};
use crate::connection_end::ConnectionEnd;
use crate::core::Core;
use crate::discard::Linger;
use crate::host::App;
use crate::refusal::{Reason, refuse};
use crate::request;

/// Delay after a failed accept. When the process is out of file descriptors, an immediate retry
/// would spin.
const ACCEPT_RETRY_DELAY: Ms = Ms(10);
/// Smallest buffer for a request head, in bytes, even if the declared limit is lower: hyper needs
/// 8 KB.
const MIN_HEAD_BYTES: usize = 8_192;
/// Time that a connection being closed for idleness has to flush its last bytes.
const CLOSE_TIMEOUT: Ms = Ms::secs(1);

/// A TCP stream that reports reads, writes and flushes to the connection's [`Activity`]. If a
/// request's body is unread at its end, it discards what still arrives, see [`Linger`].
struct MonitoredStream {
    tcp: TcpStream,
    activity: Arc<Activity>,
    linger: Option<Linger>,
}

impl MonitoredStream {
    fn note_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.on_write(&polled);
        polled
    }
}

impl Drop for MonitoredStream {
    /// To a caller of HTTP/1.0 a connection that is closed ends the response as if it were whole. Only a
    /// reset tells that it isn't. A reset also discards what the caller of an answer hasn't taken, which the
    /// kernel would otherwise keep.
    fn drop(&mut self) {
        if self.activity.is_unframed() || self.activity.lost_its_answer() {
            // A failure leaves the connection to be closed.
            let _ = self.tcp.set_zero_linger();
        }
    }
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
            self.activity.on_read(&buf.filled()[before..]);
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
        let polled = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.note_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.note_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.tcp).poll_flush(cx);
        // hyper flushes once it has written all that it holds.
        if polled.is_ready() {
            self.activity.on_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.activity.is_unframed() {
            return Poll::Ready(Ok(()));
        }
        if let Some(linger) = &mut this.linger {
            return linger.poll(&mut this.tcp, cx).map(Ok);
        }
        match Pin::new(&mut this.tcp).poll_shutdown(cx) {
            Poll::Ready(Ok(())) if this.activity.has_unread_body() => {
                let linger = this.linger.insert(Linger::start());
                linger.poll(&mut this.tcp, cx).map(Ok)
            }
            polled => polled,
        }
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
            Ok((tcp, _)) => match app.core.callers.open() {
                Some(account) => {
                    open.spawn(serve_connection(tcp, account, app.clone(), stop.clone()));
                }
                None => refuse_connection(&app.core),
            },
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await,
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Counts a connection that is closed because too many are open, and logs a sample of them.
fn refuse_connection(core: &Core) {
    core.metrics.refused_connection();
    core.metrics.caller_connection_closed(ConnectionEnd::TooMany.name());
    if let Some(stands_for) = core.sample(false) {
        note!(
            logs::Event::CallerConnectionClosed,
            end = ConnectionEnd::TooMany.name(),
            limit_connections = core.settings().connections,
            stands_for
        );
    }
}

/// Serves a connection until its end, and records why it ended.
async fn serve_connection(tcp: TcpStream, account: Arc<Account>, app: Arc<App>, stop: Stop) {
    let core = app.core.clone();
    let progress = Progress::new(account);
    let activity =
        Arc::new(Activity::new(core.clock.clone(), core.limits().idle_timeout, progress));
    let served = AssertUnwindSafe(run_connection(tcp, app, &activity, stop)).catch_unwind();
    if served.await.is_err() {
        ConnectionEnd::Panicked.record(&core, &activity);
    }
}

async fn run_connection(tcp: TcpStream, app: Arc<App>, activity: &Arc<Activity>, stop: Stop) {
    let core = app.core.clone();
    // A failure only makes the connection slower.
    let _ = tcp.set_nodelay(true);
    let head_bytes = max_head_bytes(&core);
    let io = TokioIo::new(MonitoredStream { tcp, activity: activity.clone(), linger: None });
    let service = {
        let activity = activity.clone();
        service_fn(move |request| handle(app.clone(), activity.clone(), head_bytes, request))
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper's own time-out would count the idle time between requests as a slow head.
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let end = tokio::select! {
        // After a pause of this process, bytes that have arrived and a time-out are due at the same
        // moment. What has arrived is read first.
        biased;
        result = conn.as_mut() => ConnectionEnd::of(&result, activity, false),
        timeout = timed_out(&core, activity) => match timeout {
            // A graceful shutdown would make hyper wait for the rest of the head. No request has
            // been read, so nothing is lost.
            Timeout::Head => ConnectionEnd::SlowHead,
            Timeout::Stall => ConnectionEnd::Stalled,
            // No request is open. One that arrives at this moment is not read, and its caller
            // sends it again.
            Timeout::Idle => {
                conn.as_mut().graceful_shutdown();
                finish(conn.as_mut(), activity).await;
                ConnectionEnd::Idle
            }
        },
        () = activity.progress().account().evicted() => {
            // The refusal of a request that is being read leaves in this time.
            let _ = tokio::time::timeout(EVICT_TIMEOUT.duration(), conn.as_mut()).await;
            ConnectionEnd::Evicted
        }
        () = stop.wait() => {
            conn.as_mut().graceful_shutdown();
            let result = conn.as_mut().await;
            ConnectionEnd::of(&result, activity, true)
        }
    };
    // Before the connection is dropped, and with it what is known of its open request.
    end.record(&core, activity);
}

/// Completes when a connection that is being closed has ended, or is idle for [`CLOSE_TIMEOUT`]. A
/// request that was still read gets its answer, however long that takes.
async fn finish<F: Future>(mut conn: Pin<&mut F>, activity: &Activity) {
    while tokio::time::timeout(CLOSE_TIMEOUT.duration(), conn.as_mut()).await.is_err() {
        if !activity.is_busy() {
            return;
        }
    }
}

/// Completes when the connection has been idle, a request head incomplete, or a complete response
/// not read by the caller, for too long.
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
        self.0.response_ended();
    }
}

async fn handle(
    app: Arc<App>,
    activity: Arc<Activity>,
    head_bytes: usize,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    activity.request_started();
    let guard = OpenGuard(activity.clone());
    let keeps = !is_close(request.headers());
    let version = request.version();
    let core = app.core.clone();
    let handled = AssertUnwindSafe(request::handle(app, &activity, request)).catch_unwind();
    let mut response = handled.await.unwrap_or_else(|_| panic_response(&core, &activity));
    if let Some(charge) = response.extensions_mut().remove::<Arc<Charge>>() {
        activity.progress().hold(charge);
    }
    if max_head_bytes(&core) != head_bytes {
        // The limit of an open connection can't be changed.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    match is_close(response.headers()) {
        true => activity.close_announced(),
        false if keeps => tell_idle_limit(&core, &activity, response.headers_mut()),
        false => {}
    }
    activity.request_reached(Phase::Answering);
    let unframed = version < Version::HTTP_11 && response.body().size_hint().exact().is_none();
    activity.set_unframed(unframed);
    Ok(response.map(|body| GuardedBody { body, guard }.boxed_unsync()))
}

/// The response to a request whose handler panicked. Its body may be unread, so the connection is
/// closed.
fn panic_response(core: &Core, activity: &Activity) -> Response<ResponseBody> {
    let id = activity.summary().request.map(|request| request.id).unwrap_or_default();
    note!(logs::Event::RequestPanicked, request = %id);
    core.metrics.refused(Reason::Internal.name());
    let mut response = refuse(core, &id, Reason::Internal, Ms::ZERO);
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// The limit of a request head on a connection that is opened now, bytes.
fn max_head_bytes(core: &Core) -> usize {
    core.limits().header_bytes.max(MIN_HEAD_BYTES)
}

fn is_close(head: &HeaderMap) -> bool {
    head.get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Tells the caller how long it may leave its connection idle. This holds for it until it is told
/// another limit.
fn tell_idle_limit(core: &Core, activity: &Activity, head: &mut HeaderMap) {
    let limit = core.limits().idle_timeout;
    activity.idle_limit_told(limit);
    if let Some((name, value)) = core.dialect.keep_alive_header(limit) {
        head.insert(name, value);
    }
}

/// A body that keeps its request counted as open until it is sent or dropped.
struct GuardedBody {
    body: ResponseBody,
    guard: OpenGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match polled {
            Poll::Ready(Some(Err(Truncated))) => self.guard.0.response_truncated(),
            Poll::Ready(None) => self.guard.0.set_unframed(false),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
