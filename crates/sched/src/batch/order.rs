//! Chooses the queued pieces that go into a call.

use base::Ms;
use catalog::Batch;
use std::sync::Arc;

use super::{Piece, PieceId};

/// Part of a call that pieces with a last chance may fill, percent.
pub const LAST_SHARE: usize = 25;
/// A piece that waits for a call.
pub(super) struct Queued<'a> {
    pub(super) id: PieceId,
    pub(super) piece: &'a Piece,
    pub(super) since: Ms,
    /// Whether the piece should be made in another failure domain than the target's.
    pub(super) far: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    LastChance,
    OnTime,
    Late,
}

/// Room for results at a target.
pub(super) struct Space {
    /// Free room, bytes.
    pub(super) room: u64,
    /// The part of it that is kept for one request.
    pub(super) reserved: Option<Reserved>,
}

/// Room that is kept for one request.
pub(super) struct Reserved {
    pub(super) request: Arc<str>,
    /// Size of the results that it is kept for, bytes.
    pub(super) bytes: u64,
}

/// Chooses pieces whose results fit into `space`, for a call that takes `call` and ends at
/// `end`.
pub(super) fn choose(
    mut queued: Vec<Queued<'_>>,
    now: Ms,
    end: Ms,
    call: Ms,
    config: &Batch,
    space: Space,
) -> Vec<PieceId> {
    let size = config.size;
    let class = |q: &Queued<'_>| match q.piece {
        piece if piece.due >= end => Class::OnTime,
        // The next call would end after the caller's deadline.
        piece if now + call + call >= piece.expires => Class::LastChance,
        _ => Class::Late,
    };
    let key = |q: &Queued<'_>| {
        let class = class(q);
        let (rank, time) = match class {
            Class::LastChance => (0, q.piece.expires),
            // A piece of another domain yields to the others, for the duration of a call at most.
            Class::OnTime if q.far => (q.piece.rank, q.piece.due + call),
            Class::OnTime => (q.piece.rank, q.piece.due),
            Class::Late if q.far => (q.piece.rank, q.since + call),
            Class::Late => (q.piece.rank, q.since),
        };
        // Pieces of one request stay together, because a part of them is of no use.
        (class, rank, time, q.piece.request.clone(), q.piece.index)
    };
    queued.sort_by_cached_key(key);
    let mut call = Call { size, space, total_room: config.room, out: Vec::new(), used: 0 };
    let max_last = (size * LAST_SHARE / 100).max(1);
    let mut deferred = Vec::new();
    // After sorting, the pieces of one request are adjacent.
    for request in queued.chunk_by(|a, b| a.piece.request == b.piece.request) {
        let last = class(&request[0]) == Class::LastChance;
        match last && call.out.len() + request.len() > max_last {
            true => deferred.push(request),
            false => call.take(request),
        }
    }
    // Free places in the call go to the remaining pieces with a last chance.
    deferred.into_iter().for_each(|request| call.take(request));
    call.out
}

/// A call that is being filled.
struct Call {
    size: usize,
    space: Space,
    total_room: u64,
    out: Vec<PieceId>,
    used: u64,
}

impl Call {
    /// Takes the pieces of a request if all of them fit, so that they are made together. If only a
    /// part were made, its results would take up room at the target until the rest was made
    /// elsewhere, and nobody could use them. A request that is larger than a call or than a
    /// target's room may fill an empty call with a part of its pieces.
    fn take(&mut self, request: &[Queued<'_>]) {
        let bytes: u64 = request.iter().map(|q| q.piece.bytes).sum();
        let room = self.open_to(&request[0].piece.request);
        let fits = self.out.len() + request.len() <= self.size && self.used + bytes <= room;
        let larger = request.len() > self.size || bytes > self.total_room;
        let begins = larger && self.out.is_empty();
        if !fits && !begins {
            return;
        }
        // Its bytes count as used from here on.
        self.space.reserved.take_if(|r| r.request == request[0].piece.request);
        for q in request {
            if self.out.len() == self.size || self.used + q.piece.bytes > room {
                return;
            }
            self.used += q.piece.bytes;
            self.out.push(q.id);
        }
    }

    /// Room of the target that a request may use.
    fn open_to(&self, request: &str) -> u64 {
        match &self.space.reserved {
            Some(reserved) if *reserved.request != *request => {
                self.space.room.saturating_sub(reserved.bytes)
            }
            _ => self.space.room,
        }
    }
}
