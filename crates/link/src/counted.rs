//! A connection whose reads and writes are recorded in its account.

use memory::{Account, Charge, Phase};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How far the request on a connection is, and what is held until its answer is written.
#[derive(Default)]
struct State {
    /// Whether the answer was handed over to its last byte.
    answered: bool,
    /// Whether the caller doesn't take what is written.
    blocked: bool,
    /// Whether no byte of a further request has come since the last answer.
    idle: bool,
    held: Vec<Arc<Charge>>,
}

/// What a connection does, as its account must know it.
pub struct Progress {
    account: Arc<Account>,
    state: Mutex<State>,
}

impl Progress {
    /// A connection that has just been opened.
    pub fn new(account: Arc<Account>) -> Self {
        Self { account, state: Mutex::default() }
    }

    /// The account.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Records that a request was read to its end, or needs no more of its body.
    pub fn request_read(&self) {
        self.account.set_phase(Phase::Serving);
    }

    /// Holds a charge until the answer is written.
    pub fn hold(&self, charge: Arc<Charge>) {
        self.state().held.push(charge);
    }

    /// Records that the answer was handed over to its last byte, or was dropped.
    pub fn answered(&self) {
        self.state().answered = true;
    }

    /// Records that a request begins.
    pub fn request_begun(&self) {
        self.account.set_phase(Phase::Reading);
    }

    /// Records bytes that were read.
    pub fn on_read(&self, bytes: usize) {
        if bytes > 0 && std::mem::take(&mut self.state().idle) {
            self.account.set_phase(Phase::Reading);
        }
        self.account.moved(bytes);
    }

    /// Records a write, or an attempt that the caller does not take.
    pub fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => self.account.moved(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.state().blocked = true;
                self.account.set_phase(Phase::Blocked);
            }
        }
    }

    /// Records that everything written so far has left the process.
    pub fn on_flush(&self) {
        let mut state = self.state();
        let blocked = std::mem::take(&mut state.blocked);
        match std::mem::take(&mut state.answered) {
            true => {
                let held = std::mem::take(&mut state.held);
                state.idle = true;
                drop(state);
                drop(held);
                self.account.set_phase(Phase::Idle);
            }
            false if blocked => self.account.set_phase(Phase::Serving),
            false => {}
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A byte stream that records what it does.
pub(crate) struct CountedStream<S> {
    stream: S,
    progress: Arc<Progress>,
}

impl<S> CountedStream<S> {
    pub(crate) fn new(stream: S, progress: Arc<Progress>) -> Self {
        Self { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.progress.on_read(buf.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress.on_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress.on_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.progress.on_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
