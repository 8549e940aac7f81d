//! Tracks what a caller's connection is doing: its open request, and since when it is idle.

use base::{Clock, Ms};
use link::Progress;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;

/// Time for which a connection is kept past its idle limit. A request that its caller sends just
/// within the limit needs time to arrive.
const IDLE_MARGIN: Ms = Ms(250);
/// Time for which a caller may take nothing of a complete response. Callers that stopped without
/// closing would otherwise hold its memory until the network gives them up.
const STALL_TIMEOUT: Ms = Ms::secs(30);

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Its body is being read.
    Reading,
    /// It is complete, and its response has not begun.
    Waiting,
    /// The head of its response was handed over for writing.
    Answering,
}

impl Phase {
    /// The name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Answering => "answering",
        }
    }
}

/// A request on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenRequest {
    /// Its identifier; empty if it has none that can be read.
    pub(crate) id: Arc<str>,
    /// How far it is.
    pub(crate) phase: Phase,
}

/// The time-out by which a connection is closed while no response is being produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeout {
    /// It was idle for too long.
    Idle,
    /// A request head was begun but not completed in time.
    Head,
    /// The caller reads none of a complete response.
    Stall,
}

/// What a connection has done so far.
#[derive(Clone, Debug)]
pub(crate) struct Summary {
    /// The request whose response is not written to its end.
    pub(crate) request: Option<OpenRequest>,
    /// Number of requests that were read, the open one included.
    pub(crate) served: u64,
    /// Time since the last request ended.
    pub(crate) idle: Ms,
    /// The idle limit that the caller was told last, or that held when it connected.
    pub(crate) idle_limit: Ms,
    /// Whether a response said that the host would close the connection.
    pub(crate) announced: bool,
    /// Whether the rest of a request's body was left unread.
    pub(crate) unread: bool,
}

struct State {
    /// Number of requests whose response is not yet produced to its end, and of request bodies that
    /// are being discarded.
    open: u64,
    /// Whether bytes of a response may wait for the caller to read.
    unflushed: bool,
    /// When the caller last took bytes of a response.
    written_at: Ms,
    request: Option<OpenRequest>,
    served: u64,
    idle_since: Ms,
    /// When the first bytes of an unfinished head arrived.
    head_since: Option<Ms>,
    /// The idle limit that the caller was told last, or that held when it connected.
    idle_limit: Ms,
    truncated: bool,
    /// Whether a response is open whose end the caller can tell only by that of the connection.
    unframed: bool,
    announced: bool,
    unread: bool,
}

impl State {
    /// Whether a request is open. A response counts until its last byte is written: its caller may
    /// read slowly.
    const fn is_busy(&self) -> bool {
        self.open > 0 || self.unflushed
    }
}

/// The activity of a connection.
pub(crate) struct Activity {
    clock: Arc<dyn Clock>,
    progress: Progress,
    state: Mutex<State>,
}

impl Activity {
    /// A connection that has just been opened.
    pub(crate) fn new(clock: Arc<dyn Clock>, idle_limit: Ms, progress: Progress) -> Self {
        let state = State {
            open: 0,
            unflushed: false,
            written_at: clock.now(),
            request: None,
            served: 0,
            idle_since: clock.now(),
            head_since: None,
            idle_limit,
            truncated: false,
            unframed: false,
            announced: false,
            unread: false,
        };
        Self { clock, progress, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the connection's account knows of it.
    pub(crate) fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Records that bytes have arrived. Line breaks before a head are skipped by the HTTP library,
    /// and some callers send one after a body, so they begin no head.
    pub(crate) fn on_read(&self, bytes: &[u8]) {
        self.progress.on_read(bytes.len());
        let begins = bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        let mut state = self.state();
        if begins && !state.is_busy() && state.head_since.is_none() {
            state.head_since = Some(self.clock.now());
        }
    }

    /// Records a write, or an attempt that the caller does not take.
    pub(crate) fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        self.progress.on_write(polled);
        if matches!(polled, Poll::Ready(Ok(_))) {
            self.state().written_at = self.clock.now();
        }
    }

    /// Records that everything written so far has left the process.
    pub(crate) fn on_flush(&self) {
        self.progress.on_flush();
        let mut state = self.state();
        if state.unflushed {
            state.unflushed = false;
            self.settle(&mut state);
        }
    }

    /// Records that the head of a request was read.
    pub(crate) fn request_started(&self) {
        self.progress.request_begun();
        let mut state = self.state();
        state.open += 1;
        state.served += 1;
        state.head_since = None;
        state.request = Some(OpenRequest { id: "".into(), phase: Phase::Reading });
    }

    /// Records the identifier of the request.
    pub(crate) fn request_named(&self, id: &Arc<str>) {
        if let Some(request) = &mut self.state().request {
            request.id = id.clone();
        }
    }

    /// Records how far the request is.
    pub(crate) fn request_reached(&self, phase: Phase) {
        if phase != Phase::Reading {
            self.progress.request_read();
        }
        if let Some(request) = &mut self.state().request {
            request.phase = phase;
        }
    }

    /// Records that the response was produced to its end or dropped.
    pub(crate) fn response_ended(&self) {
        self.progress.answered();
        let mut state = self.state();
        state.open -= 1;
        state.unflushed = true;
    }

    /// Records that the rest of the request's body is being discarded. The request counts as open
    /// meanwhile: what arrives is no head.
    pub(crate) fn discard_started(&self) {
        self.state().open += 1;
    }

    /// Records that nothing more is discarded.
    pub(crate) fn discard_ended(&self) {
        let mut state = self.state();
        state.open -= 1;
        self.settle(&mut state);
    }

    /// Records that the response ends before its end.
    pub(crate) fn response_truncated(&self) {
        self.state().truncated = true;
    }

    /// Records that a response begins, or has been sent to its end, that the caller can tell to be whole only
    /// by the end of the connection.
    pub(crate) fn set_unframed(&self, open: bool) {
        self.state().unframed = open;
    }

    /// Whether such a response is open: if the connection is closed now, it looks whole.
    pub(crate) fn is_unframed(&self) -> bool {
        self.state().unframed
    }

    /// Records that a response told the caller this idle limit.
    pub(crate) fn idle_limit_told(&self, limit: Ms) {
        self.state().idle_limit = limit;
    }

    /// Records that a response said that the host would close the connection.
    pub(crate) fn close_announced(&self) {
        self.state().announced = true;
    }

    /// Records that the rest of the request's body is left unread.
    pub(crate) fn body_left_unread(&self) {
        self.state().unread = true;
    }

    /// Begins the idle time once nothing is open any more.
    fn settle(&self, state: &mut State) {
        if state.is_busy() {
            return;
        }
        state.idle_since = self.clock.now();
        if !state.truncated {
            state.request = None;
        }
    }

    /// Whether a request is open.
    pub(crate) fn is_busy(&self) -> bool {
        self.state().is_busy()
    }

    /// Whether the connection had to yield while it held an answer.
    pub(crate) fn lost_its_answer(&self) -> bool {
        self.progress.account().is_evicted() && self.state().is_busy()
    }

    /// Whether the body of the request was read to its end.
    pub(crate) fn has_whole_body(&self) -> bool {
        self.state().request.as_ref().is_some_and(|request| request.phase != Phase::Reading)
    }

    /// Whether the rest of a request's body was left unread.
    pub(crate) fn has_unread_body(&self) -> bool {
        self.state().unread
    }

    /// What the connection has done so far.
    pub(crate) fn summary(&self) -> Summary {
        let state = self.state();
        Summary {
            request: state.request.clone(),
            served: state.served,
            idle: self.clock.now() - state.idle_since,
            idle_limit: state.idle_limit,
            announced: state.announced,
            unread: state.unread,
        }
    }

    /// Which of the time-outs applies at the moment.
    pub(crate) fn timeout_kind(&self) -> Timeout {
        match *self.state() {
            State { unflushed: true, .. } => Timeout::Stall,
            State { head_since: Some(_), .. } => Timeout::Head,
            _ => Timeout::Idle,
        }
    }

    /// Time until the connection has to be checked again; zero when a time-out has passed. While a
    /// request is handled or its body discarded, no time-out runs, so that is `head_timeout` from
    /// now. The idle limit that the caller was told holds even if `idle_timeout` is now shorter.
    pub(crate) fn remaining(&self, idle_timeout: Ms, head_timeout: Ms) -> Ms {
        let state = self.state();
        let end = match state.head_since {
            _ if state.open > 0 => return head_timeout,
            _ if state.unflushed => state.written_at + STALL_TIMEOUT,
            None => state.idle_since + state.idle_limit.max(idle_timeout) + IDLE_MARGIN,
            Some(since) => since + head_timeout,
        };
        end - self.clock.now()
    }
}
