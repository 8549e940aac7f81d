//! Simulated stage targets: each runs one call at a time and has a short queue and limited memory
//! for results.

use base::{Ms, TargetId};
use sched::batch::{CallId, Piece, PieceId};
use std::collections::{HashMap, VecDeque};

/// Calls that a target queues besides the running one.
const QUEUE_CAPACITY: usize = 2;

/// A call at a target.
pub(super) struct Call {
    /// The composer that sent it.
    pub(super) composer: usize,
    pub(super) id: CallId,
    pub(super) pieces: Vec<Piece>,
    pub(super) ids: Vec<PieceId>,
}

/// One target.
#[derive(Default)]
pub(super) struct Target {
    pub(super) service: usize,
    pub(super) queue: VecDeque<Call>,
    pub(super) running: Option<Call>,
    /// Factor by which it is slower than declared.
    pub(super) slow: u64,
    /// Whether it is lost and answers nothing.
    pub(super) lost: bool,
    /// Stored results by piece, each with its expiry time and size in bytes.
    pub(super) results: HashMap<PieceId, (Ms, u64)>,
}

impl Target {
    pub(super) fn new(service: usize) -> Self {
        Self { service, slow: 1, ..Self::default() }
    }

    /// Queues a call. Returns it if the queue is full.
    pub(super) fn enqueue(&mut self, call: Call) -> Option<Call> {
        let full = self.queue.len() >= QUEUE_CAPACITY + usize::from(self.running.is_none());
        match full {
            true => Some(call),
            false => {
                self.queue.push_back(call);
                None
            }
        }
    }

    /// Free bytes of the `room` that the target has for results; drops expired results.
    pub(super) fn free_bytes(&mut self, now: Ms, room: u64) -> u64 {
        self.results.retain(|_, (until, _)| *until > now);
        room.saturating_sub(self.results.values().map(|(_, bytes)| bytes).sum())
    }
}

/// Identifier of the target with this number.
pub(super) fn name(target: usize) -> TargetId {
    TargetId::from(target.to_string())
}

/// Number of the target with this identifier.
pub(super) fn number(id: &TargetId) -> usize {
    id.as_str().parse().expect("targets are named by their numbers")
}
