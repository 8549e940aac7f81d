//! Tracks the pieces of one submitted stage until all of them have ended in the batcher.

use base::{Ms, RegionId, TargetId};
use catalog::{MAX_RANK, Residency};
use sched::admission::load::{MAX_PIECES, WorkspaceKey};
use sched::batch::{Event, Origin, Piece, PieceEnd, PieceId, Source};
use sched::holders::{HeldResult, Holder};
use std::sync::Arc;
use tokio::sync::oneshot;
use wire::{PieceFault, PieceResult, StageRelease, StageResults, StageWork};

use super::{Composer, Service, Shared, State, lock};

/// Pieces of one stage, until all have ended.
pub(super) struct Submission {
    /// Pieces that have not ended yet.
    pub(super) unfinished: usize,
    /// Which pieces have not been part of a call yet.
    pub(super) not_started: Vec<bool>,
    /// The results that only these pieces read.
    pub(super) release: Vec<StageRelease>,
    /// The host that holds the results; none if it is not known.
    pub(super) holder: Option<Holder>,
    /// Approximate size of one result, bytes.
    pub(super) bytes: u64,
    /// Whether all pieces have been part of a call, and so have read their inputs.
    pub(super) inputs_read: bool,
    pub(super) results: Vec<PieceResult>,
    pub(super) done: Option<oneshot::Sender<StageResults>>,
}

/// When dropped, withdraws pieces that nobody waits for any more and frees the results of those
/// that are already made.
pub(super) struct Withdraw {
    pub(super) composer: Arc<Composer>,
    pub(super) service: Arc<Service>,
    pub(super) submission: Shared<Submission>,
    pub(super) ids: Vec<PieceId>,
}

impl Withdraw {
    /// Disarms the guard, once all pieces have ended.
    pub(super) fn close(mut self) {
        self.ids.clear();
    }
}

impl Drop for Withdraw {
    fn drop(&mut self) {
        if self.ids.is_empty() {
            return;
        }
        let ids = std::mem::take(&mut self.ids);
        {
            let mut state = lock(&self.service.state);
            ids.iter().for_each(|id| drop(state.waiting.remove(id)));
        }
        self.composer.feed(&self.service, Event::Withdraw(ids));
        // Results that nobody reads are freed at once: until their time to live ended they would
        // take up room that others need. The inputs are left to the host that submitted the work: it
        // may have given this one up, and another composer may be about to read them.
        let made = std::mem::take(&mut lock(&self.submission).results);
        let made = made.into_iter().filter(|r| !r.handle.is_empty());
        let unread = made.map(|r| (r.target.into(), r.handle)).collect();
        self.composer.free_results(&self.service, unread);
    }
}

/// The pieces of a stage, as the batcher takes them.
pub(super) fn pieces(now: Ms, work: &StageWork) -> Vec<Piece> {
    let source = match work.inputs.is_empty() {
        true => Source::Key(work.key.as_str().into()),
        false => Source::Inputs(work.inputs.clone().into()),
    };
    let request: Arc<str> = work.request.as_str().into();
    let home = (!work.passed_on && !work.home.is_empty()).then(|| work.home.as_str().into());
    let residency = residency(work);
    let piece = |index| Piece {
        request: request.clone(),
        stage: work.stage,
        index,
        source: source.clone(),
        due: now + Ms(work.due_ms),
        expires: now + Ms(work.expires_ms),
        rank: work.rank.min(u32::from(MAX_RANK)) as u8,
        bytes: work.bytes,
        reads: work.reads,
        home: home.clone(),
        residency: residency.clone(),
        key: work.request_key,
    };
    (0..work.pieces).map(piece).collect()
}

/// The request of a stage, as far as its load is counted.
pub(super) fn origin(work: &StageWork) -> Origin {
    let later = work.later.iter().map(|l| (l.service.as_str().into(), l.pieces.min(MAX_PIECES)));
    Origin { workspace: WorkspaceKey::of(&work.workspace), later: later.collect() }
}

/// Regions that the request of a stage may be in.
pub(super) fn residency(work: &StageWork) -> Residency {
    Residency::declared(work.regions.iter().map(|r| RegionId::from(r.as_str())))
}

/// Records that a piece is part of a call. Once that holds for all pieces of its stage, returns the
/// inputs that they have read; this happens a single time.
pub(super) fn piece_started(state: &mut State, piece: &PieceId) -> Vec<StageRelease> {
    let Some((submission, i)) = state.waiting.get(piece) else { return Vec::new() };
    let mut submission = lock(submission);
    // A piece may be retried in a second call before another is in its first.
    submission.not_started[*i] = false;
    match submission.inputs_read || submission.not_started.contains(&true) {
        true => Vec::new(),
        false => {
            submission.inputs_read = true;
            submission.release.clone()
        }
    }
}

/// Records the end of a piece, whose result is kept until `expires`. If that ends a stage that
/// failed, returns the results of its other pieces, which nobody will read.
pub(super) fn piece_ended(
    state: &mut State,
    piece: PieceId,
    end: PieceEnd,
    target: Option<TargetId>,
    expires: Ms,
) -> Vec<(TargetId, String)> {
    let Some((submission, i)) = state.waiting.remove(&piece) else { return Vec::new() };
    let mut submission = lock(&submission);
    if let (PieceEnd::Made(handle), Some(target), Some(holder)) =
        (&end, &target, &submission.holder)
    {
        let result = HeldResult { target: target.clone(), handle: handle.clone() };
        state.holders.keep(holder.clone(), result, submission.bytes, expires);
    }
    let (fault, handle) = match end {
        PieceEnd::Made(handle) => (PieceFault::None, handle),
        PieceEnd::Late => (PieceFault::Late, String::new()),
        PieceEnd::Gone => (PieceFault::Gone, String::new()),
        PieceEnd::Room => (PieceFault::Room, String::new()),
        PieceEnd::Failed => (PieceFault::Failed, String::new()),
        PieceEnd::Outside => (PieceFault::Outside, String::new()),
    };
    let target = target.map_or_else(String::new, |t| t.as_str().to_owned());
    submission.results[i] = PieceResult { fault: fault.into(), handle, target };
    submission.unfinished -= 1;
    if submission.unfinished > 0 {
        return Vec::new();
    }
    let mut results = std::mem::take(&mut submission.results);
    let mut unread = Vec::new();
    if results.iter().any(|r| r.fault() != PieceFault::None) {
        for result in results.iter_mut().filter(|r| !r.handle.is_empty()) {
            unread.push((result.target.as_str().into(), std::mem::take(&mut result.handle)));
        }
    }
    if let Some(done) = submission.done.take() {
        // The submitter may be gone; then the targets drop the results when their time to live
        // ends.
        let _ = done.send(StageResults { results, ..StageResults::default() });
    }
    unread
}
