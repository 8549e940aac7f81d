//! Which queued pieces go into a call.

use base::Ms;
use catalog::Batch;

use super::{Piece, PieceId};

/// Part of a call that pieces at their last chance may fill, percent.
pub const LAST_SHARE: usize = 25;
/// A piece that waits for a call.
pub(super) struct Queued<'a> {
    pub(super) id: PieceId,
    pub(super) piece: &'a Piece,
    pub(super) since: Ms,
    /// Whether the target is in another failure domain than the piece should be made in.
    pub(super) far: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    Last,
    OnTime,
    Late,
}

/// Pieces whose results fit into `room` bytes, for a call that ends at `end` and takes `call`.
pub(super) fn choose(
    mut queued: Vec<Queued<'_>>,
    now: Ms,
    end: Ms,
    call: Ms,
    config: &Batch,
    room: u64,
) -> Vec<PieceId> {
    let size = config.size;
    let band = |q: &Queued<'_>| match q.piece {
        piece if piece.due >= end => Band::OnTime,
        // The next call would end too late for the caller's own deadline.
        piece if now + call + call >= piece.expires => Band::Last,
        _ => Band::Late,
    };
    let key = |q: &Queued<'_>| {
        let band = band(q);
        let (rank, time) = match band {
            Band::Last => (0, q.piece.expires),
            // What is nearer another target waits for it, for a call at most.
            Band::OnTime if q.far => (q.piece.rank, q.piece.due + call),
            Band::OnTime => (q.piece.rank, q.piece.due),
            Band::Late if q.far => (q.piece.rank, q.since + call),
            Band::Late => (q.piece.rank, q.since),
        };
        // Pieces of one request stay together: a part of them is of no use.
        (band, rank, time, q.piece.request.clone(), q.piece.index)
    };
    queued.sort_by_cached_key(key);
    let mut call = Call { size, room, all_room: config.room, out: Vec::new(), used: 0 };
    let most_last = (size * LAST_SHARE / 100).max(1);
    let mut held = Vec::new();
    // Pieces of one request stand together after sorting.
    for request in queued.chunk_by(|a, b| a.piece.request == b.piece.request) {
        let last = band(&request[0]) == Band::Last;
        match last && call.out.len() + request.len() > most_last {
            true => held.push(request),
            false => call.take(request),
        }
    }
    // Places that nobody else wants go to the rest of the last chances.
    held.into_iter().for_each(|request| call.take(request));
    call.out
}

/// A call that is being filled.
struct Call {
    size: usize,
    room: u64,
    all_room: u64,
    out: Vec<PieceId>,
    used: u64,
}

impl Call {
    /// Takes a request's pieces if they all fit, so that they are made together: results of a part
    /// lie at their target until the rest is made elsewhere, and nobody can use them. One with
    /// more pieces than a call has places, or a target has room for, begins an empty call.
    fn take(&mut self, request: &[Queued<'_>]) {
        let bytes: u64 = request.iter().map(|q| q.piece.bytes).sum();
        let fits = self.out.len() + request.len() <= self.size && self.used + bytes <= self.room;
        let larger = request.len() > self.size || bytes > self.all_room;
        let begins = larger && self.out.is_empty();
        if !fits && !begins {
            return;
        }
        for q in request {
            if self.out.len() == self.size || self.used + q.piece.bytes > self.room {
                return;
            }
            self.used += q.piece.bytes;
            self.out.push(q.id);
        }
    }
}
