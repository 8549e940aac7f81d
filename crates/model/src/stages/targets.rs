//! Stage targets: one call at a time, a short queue, and room for results.

use base::{Ms, TargetId};
use sched::batch::{CallId, Piece, PieceId};
use std::collections::{HashMap, VecDeque};

/// Calls that wait at a target beside the one that runs.
const QUEUE: usize = 2;

/// A call at a target.
pub(super) struct Call {
    /// The composer that sent it.
    pub(super) unit: usize,
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
    /// How many times slower than declared.
    pub(super) slow: u64,
    /// It answers nothing.
    pub(super) lost: bool,
    /// Results by piece: until when, and bytes.
    pub(super) kept: HashMap<PieceId, (Ms, u64)>,
}

impl Target {
    pub(super) fn new(service: usize) -> Self {
        Self { service, slow: 1, ..Self::default() }
    }

    /// A call comes in. Given back where there is no place for it.
    pub(super) fn take(&mut self, call: Call) -> Option<Call> {
        let full = self.queue.len() >= QUEUE + usize::from(self.running.is_none());
        match full {
            true => Some(call),
            false => {
                self.queue.push_back(call);
                None
            }
        }
    }

    /// Bytes that are free.
    pub(super) fn room(&mut self, now: Ms, room: u64) -> u64 {
        self.kept.retain(|_, (until, _)| *until > now);
        room.saturating_sub(self.kept.values().map(|(_, bytes)| bytes).sum())
    }
}

/// Name of a target.
pub(super) fn name(target: usize) -> TargetId {
    TargetId::from(target.to_string())
}

/// Number of a target by its name.
pub(super) fn number(id: &TargetId) -> usize {
    id.as_str().parse().expect("targets are named by their numbers")
}
