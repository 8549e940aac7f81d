//! Finds the late pieces that no longer have a chance to get into a call.
//!
//! When more work arrives than the targets of a service can do, for longer than a request's latency
//! goal, late pieces go after all pieces that can be on time. They get what is left, which may be
//! nothing. If they waited until they expire, callers would hear after ten seconds what was known
//! after one. Meanwhile the inputs of these pieces would take up room at other targets that calls
//! on time need.

use base::Ms;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::target::Target;
use super::{Batcher, Effect, PieceEnd, PieceId, Waiting};

/// Window over which the rate of late pieces is measured, in full calls of one target: long enough
/// to average over calls that hold two or three requests.
const WINDOW_CALLS: u64 = 4;
/// Time in full calls for which late pieces wait before any is given up. Short peaks are over by
/// then.
const GRACE_CALLS: u64 = 2;
/// Number of calls that have to begin before any late piece is given up, while a target is at work
/// and not overdue. A target may take several times as long as declared: then no call begins in
/// [`GRACE_CALLS`], and the rate of late pieces is zero although the next call takes them all.
const MIN_CALLS: usize = 2;

/// Late pieces of one request that wait for a call.
pub(super) struct Late<K> {
    pub(super) key: K,
    pub(super) pieces: usize,
    /// When they expire.
    pub(super) expires: Ms,
}

/// What is known of the chance of late pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LateChance {
    /// Time for which there have been late pieces at all times: at most the window, or the time since
    /// the oldest call that counts.
    pub span: Ms,
    /// Number of calls that began within it.
    pub calls: usize,
    /// Number of late pieces that those calls took.
    pub taken: usize,
}

impl LateChance {
    /// Whether this number of late pieces will get into calls within `time`.
    fn suffices(&self, pieces: usize, time: Ms) -> bool {
        let rate = self.taken as f64 / self.span.0 as f64;
        pieces as f64 <= rate * time.0 as f64
    }
}

/// Late pieces that were ended because they had no chance to get into a call, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The requests that they belong to.
    pub requests: Vec<Arc<str>>,
    /// Number of pieces.
    pub pieces: usize,
    /// What was known of their chance.
    pub chance: LateChance,
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
    /// would get into a call. `call` is the duration of a full call, and `working` whether a target
    /// is at work on a call that isn't overdue, so that the next one is only a matter of time.
    pub(super) fn hopeless<K>(
        &mut self,
        now: Ms,
        call: Ms,
        working: bool,
        waiting: impl IntoIterator<Item = Late<K>>,
    ) -> Vec<K> {
        let mut waiting = waiting.into_iter().peekable();
        if waiting.peek().is_none() {
            self.since = None;
            self.taken.clear();
            return Vec::new();
        }
        let since = *self.since.get_or_insert(now);
        self.forget(now, Ms(call.0 * WINDOW_CALLS));
        let chance = self.chance(now, call);
        let waited = now - since >= Ms(call.0 * GRACE_CALLS);
        if !waited || (working && chance.calls < MIN_CALLS) {
            return Vec::new();
        }
        let mut ahead = 0;
        let mut out = Vec::new();
        for late in waiting {
            match chance.suffices(ahead + late.pieces, late.expires - now) {
                true => ahead += late.pieces,
                false => out.push(late.key),
            }
        }
        out
    }

    /// Forgets calls that began before the window, but keeps [`MIN_CALLS`]: calls that take longer
    /// than the window would otherwise never count.
    fn forget(&mut self, now: Ms, window: Ms) {
        while self.taken.len() > MIN_CALLS
            && self.taken.front().is_some_and(|(at, _)| *at + window < now)
        {
            self.taken.pop_front();
        }
    }

    /// What is known of the chance of late pieces. `call` is the duration of a full call.
    pub(super) fn chance(&self, now: Ms, call: Ms) -> LateChance {
        let window = Ms(call.0 * WINDOW_CALLS);
        let begun = self.taken.front().map_or(Ms::ZERO, |(at, _)| now - *at);
        let waited = self.since.map_or(Ms::ZERO, |since| now - since);
        LateChance {
            span: waited.min(window.max(begun)),
            calls: self.taken.len(),
            taken: self.taken.iter().map(|(_, pieces)| pieces).sum(),
        }
    }
}

impl Batcher {
    /// Ends late pieces that won't get into a call before they expire.
    pub(super) fn give_up_late(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let mut waiting: BTreeMap<_, Late<Vec<PieceId>>> = BTreeMap::new();
        let waits = |w: &Waiting| w.queued && w.attempts == 0 && self.is_late(now, &w.piece);
        for (id, w) in self.pieces.iter().filter(|(_, w)| waits(w)) {
            let piece = &w.piece;
            let key = (piece.rank, w.since, piece.request.clone(), piece.stage);
            let late = waiting.entry(key).or_insert(Late {
                key: Vec::new(),
                pieces: 0,
                expires: piece.expires,
            });
            late.pieces += 1;
            late.key.push(*id);
        }
        let full = self.config.full();
        let working = self.targets.values().any(Target::working);
        let hopeless = self.late.hopeless(now, full, working, waiting.into_values());
        if hopeless.is_empty() {
            return;
        }
        let request =
            |ids: &Vec<PieceId>| Some(self.pieces.get(ids.first()?)?.piece.request.clone());
        self.given_up = Some(GivenUp {
            requests: hopeless.iter().filter_map(request).collect(),
            pieces: hopeless.iter().map(Vec::len).sum(),
            chance: self.late.chance(now, full),
        });
        hopeless.into_iter().flatten().for_each(|id| self.finish(id, PieceEnd::Late, out));
    }

    /// Takes the account of the late pieces that were given up since it was last taken.
    pub fn take_given_up(&mut self) -> Option<GivenUp> {
        self.given_up.take()
    }
}
