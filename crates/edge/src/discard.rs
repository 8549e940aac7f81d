//! Reads and discards the rest of a request's body after an early response.
//!
//! hyper closes a connection whose request body is not read to its end, without a word in the
//! response. A caller that keeps the connection would lose its next request, and bytes that arrive
//! after the close cause a TCP reset that can destroy the response on its way.

use base::Ms;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Response, header};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::activity::Activity;
use crate::body::ResponseBody;
use crate::refusal::LeaveBody;

/// Longest time for which the rest of a body is awaited after its response.
const DISCARD_TIMEOUT: Ms = Ms::secs(2);
/// Time for which a connection with an unread body is still read once its sending side is shut
/// down, so that the caller gets its response before the connection is closed.
const LINGER_TIMEOUT: Ms = Ms::secs(1);
/// Size of a read while lingering, bytes.
const LINGER_READ_BYTES: usize = 8_192;

/// Lets a response to a request precede the end of its body. Reads the rest, at most `limit` bytes,
/// in a task of its own; the response says so if the connection can't be kept. A caller that
/// `awaits_permission` to send its body may send its next request instead.
pub(crate) fn finish(
    activity: &Arc<Activity>,
    body: Incoming,
    awaits_permission: bool,
    limit: usize,
    response: &mut Response<ResponseBody>,
) {
    if activity.has_whole_body() || body.is_end_stream() {
        return;
    }
    if response.extensions_mut().remove::<LeaveBody>().is_some() {
        activity.body_left_unread();
        return;
    }
    if awaits_permission || body.size_hint().lower() > limit as u64 {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    activity.discard_started();
    tokio::spawn(discard(activity.clone(), body, limit));
}

async fn discard(activity: Arc<Activity>, mut body: Incoming, limit: usize) {
    let read = read_to_end(&mut body, limit);
    let ended = tokio::time::timeout(DISCARD_TIMEOUT.duration(), read).await;
    if !ended.unwrap_or(false) {
        activity.body_left_unread();
    }
    // hyper closes the connection if this is not the end of the body.
    drop(body);
    activity.discard_ended();
}

/// Reads a body until its end or that of its connection. False if it is longer than `limit` bytes.
async fn read_to_end(body: &mut Incoming, limit: usize) -> bool {
    let mut left = limit;
    while let Some(Ok(frame)) = body.frame().await {
        match left.checked_sub(frame.data_ref().map_or(0, bytes::Bytes::len)) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}

/// Reads and discards what still arrives on a connection whose sending side is shut down.
pub(crate) struct Linger(Pin<Box<Sleep>>);

impl Linger {
    /// Begins to linger.
    pub(crate) fn start() -> Self {
        Self(Box::pin(tokio::time::sleep(LINGER_TIMEOUT.duration())))
    }

    /// Ready once the caller has closed its side, the connection has failed or the time is over.
    pub(crate) fn poll(&mut self, tcp: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; LINGER_READ_BYTES];
        while self.0.as_mut().poll(cx).is_pending() {
            let mut read = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *tcp).poll_read(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
            }
        }
        Poll::Ready(())
    }
}
