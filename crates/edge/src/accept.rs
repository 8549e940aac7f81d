//! Callers' connections: accepted, bounded, and closed without cutting an answer.

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

/// Open connections of callers; more are closed at once. A connection takes about 20 KB, so this
/// many fit into a small host beside its work.
const CONNECTIONS: usize = 2_000;
/// Wait after a failed accept: out of descriptors, trying again at once would spin.
const ACCEPT_PAUSE: Ms = Ms(10);
/// Room for a request's head, bytes, whatever the declarations say: the library needs 8 KB.
const LEAST_HEAD: usize = 8_192;
/// Longest wait for a closing connection to take its last bytes.
const CLOSE_WAIT: Ms = Ms::secs(1);
/// Nothing: no point in time.
const NONE: u64 = u64::MAX;

/// What a connection does, for the bounds on idleness and slow heads.
struct Activity {
    clock: Arc<dyn Clock>,
    open: AtomicU64,
    idle: AtomicU64,
    head: AtomicU64,
}

impl Activity {
    fn new(clock: Arc<dyn Clock>) -> Self {
        let idle = AtomicU64::new(clock.now().0);
        Self { clock, open: AtomicU64::new(0), idle, head: AtomicU64::new(NONE) }
    }

    /// Bytes came in.
    fn read(&self) {
        let idle = self.open.load(Ordering::Relaxed) == 0;
        if idle && self.head.load(Ordering::Relaxed) == NONE {
            self.head.store(self.clock.now().0, Ordering::Relaxed);
        }
    }

    fn begin(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.head.store(NONE, Ordering::Relaxed);
    }

    fn end(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.idle.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Which bound is passed, when one is.
    fn unused(&self) -> Unused {
        match self.head.load(Ordering::Relaxed) {
            NONE => Unused::Idle,
            _ => Unused::Head,
        }
    }

    /// Time until a bound is passed; zero when it is.
    fn left(&self, idle: Ms, head: Ms) -> Ms {
        if self.open.load(Ordering::Relaxed) > 0 {
            return head;
        }
        let now = self.clock.now();
        let idle = Ms(self.idle.load(Ordering::Relaxed)) + idle;
        let end = match self.head.load(Ordering::Relaxed) {
            NONE => idle,
            since => Ms(since) + head,
        };
        end - now
    }
}

/// A connection that notes when bytes come in.
struct Watched {
    tcp: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.read();
        }
        polled
    }
}

impl AsyncWrite for Watched {
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

/// Serves callers until `stop`, then until all open requests are answered.
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
            Ok((tcp, _)) if open.len() < CONNECTIONS => {
                open.spawn(connection(tcp, app.clone(), stop.clone()));
            }
            Ok(_) => app.core.metrics.refused_connection(),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE.duration()).await,
        }
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

async fn connection(tcp: TcpStream, app: Arc<App>, stop: Stop) {
    let core = app.core.clone();
    // A failure here leaves the connection slower, not wrong.
    let _ = tcp.set_nodelay(true);
    let activity = Arc::new(Activity::new(core.clock.clone()));
    let limits = core.limits();
    let io = TokioIo::new(Watched { tcp, activity: activity.clone() });
    let service = {
        let (app, activity) = (app.clone(), activity.clone());
        service_fn(move |request| answer(app.clone(), activity.clone(), request))
    };
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library's bound would count the idle time between requests as a slow head.
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(LEAST_HEAD))
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        unused = unused(&core, &activity) => match unused {
            // The library would go on waiting for the rest of the head. No request was read.
            Unused::Head => return,
            // Nothing is open: a request that is on its way now was not read, and comes again.
            Unused::Idle => {
                conn.as_mut().graceful_shutdown();
                let _ = tokio::time::timeout(CLOSE_WAIT.duration(), conn).await;
                return;
            }
        },
        () = stop.wait() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

/// Why a connection is closed on which no request is open.
enum Unused {
    /// It was idle for too long.
    Idle,
    /// A request's head was begun and not finished in time.
    Head,
}

/// Ends when the connection has been idle, or its head unfinished, for too long.
async fn unused(core: &Core, activity: &Activity) -> Unused {
    loop {
        let limits = core.limits();
        let left = activity.left(limits.idle, limits.header);
        if left == Ms::ZERO {
            return activity.unused();
        }
        // A head may begin meanwhile, so look again after its time at the latest.
        tokio::time::sleep(left.min(limits.header).duration()).await;
    }
}

/// Counts a request as open until its answer is given or dropped.
struct Opened(Arc<Activity>);

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.end();
    }
}

async fn answer(
    app: Arc<App>,
    activity: Arc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    activity.begin();
    let opened = Opened(activity);
    let response = request::handle(app, request).await;
    Ok(response.map(|body| Counted { body, _opened: opened }.boxed_unsync()))
}

/// A body that keeps its connection busy until it is sent or dropped.
struct Counted {
    body: ResponseBody,
    _opened: Opened,
}

impl Body for Counted {
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
