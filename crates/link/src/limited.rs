//! A byte stream that ends in an error when too much is read before the head of a response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Value of [`HeadLimit::left`] while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// How many bytes may still be read before a head is complete.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit {
    most: usize,
    left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// A limit that applies while a head is awaited.
    pub(crate) fn new(most: usize) -> Self {
        Self { most, left: Arc::new(AtomicUsize::new(most)) }
    }

    /// Records that a request is sent: a head is awaited from now on.
    pub(crate) fn begin(&self) {
        self.left.store(self.most, Ordering::Relaxed);
    }

    /// Records that the head is complete. The body that follows has limits of its own.
    pub(crate) fn end(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Whether more may be read.
    fn is_left(&self) -> bool {
        self.left.load(Ordering::Relaxed) > 0
    }

    fn count(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A stream that is read within a [`HeadLimit`].
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> LimitedStream<S> {
    /// Limits what is read from a stream.
    pub(crate) fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.limit.is_left() {
            return Poll::Ready(Err(io::Error::other("no response in too many bytes")));
        }
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.limit.count(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
