//! Which queued pieces go into a call.

use base::Ms;

use super::{Piece, PieceId};

/// Part of a call that pieces at their last chance may fill, percent.
pub const LAST_SHARE: usize = 50;
/// How much earlier a piece is ordered for each rank that it is above another, ms: about the time
/// of a call, so that a more urgent kind goes a call ahead, and a less urgent one still moves.
pub const RANK_MS: Ms = Ms(300);

/// A piece that waits for a call.
pub(super) struct Queued<'a> {
    pub(super) id: PieceId,
    pub(super) piece: &'a Piece,
    pub(super) since: Ms,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Band {
    Last,
    OnTime,
    Late,
}

/// At most `size` pieces whose results fit into `room` bytes, for a call that ends at `end` and
/// takes `call`.
pub(super) fn choose(
    mut queued: Vec<Queued<'_>>,
    now: Ms,
    end: Ms,
    call: Ms,
    size: usize,
    room: u64,
) -> Vec<PieceId> {
    let band = |q: &Queued<'_>| match q.piece {
        piece if piece.due >= end => Band::OnTime,
        // The next call would end too late for the caller's own deadline.
        piece if now + call + call >= piece.expires => Band::Last,
        _ => Band::Late,
    };
    let key = |q: &Queued<'_>| {
        let rank = RANK_MS.scale(u64::from(q.piece.rank), 1);
        let band = band(q);
        let time = match band {
            Band::Last => q.piece.expires,
            Band::OnTime => q.piece.due + rank,
            Band::Late => q.since + rank,
        };
        // Pieces of one request stay together: a part of them is of no use.
        (band, time, q.piece.request.clone(), q.piece.index)
    };
    queued.sort_by_cached_key(key);
    let most_last = (size * LAST_SHARE / 100).max(1);
    let (mut out, mut held, mut last, mut used) = (Vec::new(), Vec::new(), 0, 0u64);
    for q in &queued {
        if out.len() == size {
            break;
        }
        if band(q) == Band::Last {
            last += 1;
            if last > most_last {
                held.push(q);
                continue;
            }
        }
        if used + q.piece.bytes <= room {
            used += q.piece.bytes;
            out.push(q.id);
        }
    }
    // Places that nobody else wants go to the rest of the last chances.
    for q in held {
        if out.len() < size && used + q.piece.bytes <= room {
            used += q.piece.bytes;
            out.push(q.id);
        }
    }
    out
}
