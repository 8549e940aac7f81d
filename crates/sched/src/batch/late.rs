//! Finds the late pieces that no longer have a chance to get into a call.
//!
//! When more work arrives than the targets of a service can do, for longer than a request's latency
//! goal, late pieces go after all pieces that can be on time. They get what is left, which may be
//! nothing. If they waited until they expire, callers would hear after ten seconds what was known
//! after one. Meanwhile the inputs of these pieces would take up room at other targets that calls
//! on time need.

use base::Ms;
use std::collections::VecDeque;

/// Window over which the rate of late pieces is measured, in full calls of one target: long enough
/// to average over calls that hold two or three requests.
const WINDOW_CALLS: u64 = 4;
/// Time in full calls for which late pieces wait before any is given up. Short peaks are over by
/// then.
const GRACE_CALLS: u64 = 2;

/// Late pieces of one request that wait for a call.
pub(super) struct Late<K> {
    pub(super) key: K,
    pub(super) pieces: usize,
    /// When they expire.
    pub(super) expires: Ms,
}

/// Measures how fast late pieces get into calls while some are waiting.
#[derive(Debug, Default)]
pub(super) struct LateQueue {
    /// Since when there have been late pieces at all times.
    since: Option<Ms>,
    taken: VecDeque<(Ms, usize)>,
}

impl LateQueue {
    /// Records that a call took `pieces` late pieces.
    pub(super) fn record(&mut self, now: Ms, pieces: usize) {
        self.taken.push_back((now, pieces));
    }

    /// Takes out a time for which this host did not run: no call could take pieces meanwhile, which
    /// says nothing of their chance.
    pub(super) fn extend(&mut self, pause: Ms) {
        self.since.iter_mut().for_each(|at| *at += pause);
        self.taken.iter_mut().for_each(|(at, _)| *at += pause);
    }

    /// Keys of the waiting requests that have no chance. They are passed in the order in which they
    /// would get into a call. `call` is the duration of a full call.
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
        let window = Ms(call.0 * WINDOW_CALLS);
        let span = (now - since).min(window);
        while self.taken.front().is_some_and(|(at, _)| *at + window < now) {
            self.taken.pop_front();
        }
        if span < Ms(call.0 * GRACE_CALLS) {
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
