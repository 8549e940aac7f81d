//! Late pieces that still have a chance of a call.
//!
//! Load: arrivals beyond what a service's targets can do, for longer than an aim. Pieces that are
//! late go after all that can be on time, so they get what is left, and that may be nothing. Left
//! to wait for their deadlines, callers hear ten seconds later what was known after one, and the
//! results that late pieces read lie at other targets and take the room of calls that are on time.

use base::Ms;
use std::collections::VecDeque;

/// Full calls of one target over which the rate of late pieces is taken, so that calls of two
/// requests and of three average out.
const WINDOW: u64 = 4;
/// Full calls for which late pieces wait before any is given up. A short peak is over then.
const TRIAL: u64 = 2;

/// Pieces of one request that are late and wait for a call.
pub(super) struct Late<K> {
    pub(super) key: K,
    pub(super) pieces: usize,
    /// When they are of no use any more.
    pub(super) expires: Ms,
}

/// How fast late pieces get into calls while some wait.
#[derive(Debug, Default)]
pub(super) struct LateQueue {
    /// Since when some have waited at each moment.
    since: Option<Ms>,
    taken: VecDeque<(Ms, usize)>,
}

impl LateQueue {
    /// So many late pieces went into a call.
    pub(super) fn record(&mut self, now: Ms, pieces: usize) {
        self.taken.push_back((now, pieces));
    }

    /// Requests without a chance, of those that wait, in the order in which they would be taken.
    /// `call` is the time of a full call.
    pub(super) fn hopeless<K>(
        &mut self,
        now: Ms,
        call: Ms,
        waiting: impl IntoIterator<Item = Late<K>>,
    ) -> Vec<K> {
        let mut waiting = waiting.into_iter().peekable();
        if waiting.peek().is_none() {
            self.since = None;
            self.taken.clear();
            return Vec::new();
        }
        let since = *self.since.get_or_insert(now);
        let window = Ms(call.0 * WINDOW);
        let span = (now - since).min(window);
        while self.taken.front().is_some_and(|(at, _)| *at + window < now) {
            self.taken.pop_front();
        }
        if span < Ms(call.0 * TRIAL) {
            return Vec::new();
        }
        let taken: usize = self.taken.iter().map(|(_, pieces)| pieces).sum();
        let rate = taken as f64 / span.0 as f64;
        let mut ahead = 0;
        let mut out = Vec::new();
        for late in waiting {
            match (ahead + late.pieces) as f64 <= rate * (late.expires - now).0 as f64 {
                true => ahead += late.pieces,
                false => out.push(late.key),
            }
        }
        out
    }
}
