//! Pieces of one stage between whoever submits them and the batcher.

use base::{Ms, RegionId, TargetId};
use catalog::Residency;
use sched::batch::{Event, Piece, PieceEnd, PieceId, Source};
use std::sync::Arc;
use tokio::sync::oneshot;
use wire::{PieceFault, PieceResult, StageRelease, StageResults, StageWork};

use super::{Composer, Service, Shared, State, lock};

/// Pieces of one stage, until all have ended.
pub(super) struct Submission {
    pub(super) left: usize,
    /// Which pieces were never in a call.
    pub(super) unread: Vec<bool>,
    /// What they read and nobody else does.
    pub(super) release: Vec<StageRelease>,
    /// Whether all pieces have read it.
    pub(super) read: bool,
    pub(super) results: Vec<PieceResult>,
    pub(super) done: Option<oneshot::Sender<StageResults>>,
}

/// Withdraws pieces that nobody waits for any more, and gives up those that are made.
pub(super) struct Withdraw {
    pub(super) composer: Arc<Composer>,
    pub(super) service: Arc<Service>,
    pub(super) submission: Shared<Submission>,
    pub(super) ids: Vec<PieceId>,
}

impl Withdraw {
    /// They have all ended.
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
        // Left to their time to live, results that nobody reads would take others' room.
        let (made, release) = {
            let mut submission = lock(&self.submission);
            (std::mem::take(&mut submission.results), std::mem::take(&mut submission.release))
        };
        self.composer.release(Ms::ZERO, release);
        let made = made.into_iter().filter(|r| !r.handle.is_empty());
        let unread = made.map(|r| (r.target.into(), r.handle)).collect();
        self.composer.free_results(&self.service, unread);
    }
}

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
        rank: work.rank.min(9) as u8,
        bytes: work.bytes,
        reads: work.reads,
        home: home.clone(),
        residency: residency.clone(),
    };
    (0..work.pieces).map(piece).collect()
}

/// Regions that the request of a stage may be in.
pub(super) fn residency(work: &StageWork) -> Residency {
    Residency::declared(work.regions.iter().map(|r| RegionId::from(r.as_str())))
}

/// Notes that a piece is in a call. Gives what all pieces of its stage have read then, once.
pub(super) fn begun(state: &mut State, piece: &PieceId) -> Vec<StageRelease> {
    let Some((submission, i)) = state.waiting.get(piece) else { return Vec::new() };
    let mut submission = lock(submission);
    // A piece may be in a second call before another is in its first.
    submission.unread[*i] = false;
    match submission.read || submission.unread.contains(&true) {
        true => Vec::new(),
        false => {
            submission.read = true;
            submission.release.clone()
        }
    }
}

/// Notes the end of a piece. Gives the results that nobody reads: those of a stage that failed.
pub(super) fn ended(
    state: &mut State,
    piece: PieceId,
    end: PieceEnd,
    target: Option<TargetId>,
) -> Vec<(TargetId, String)> {
    let Some((submission, i)) = state.waiting.remove(&piece) else { return Vec::new() };
    let (fault, handle) = match end {
        PieceEnd::Made(handle) => (PieceFault::None, handle),
        PieceEnd::Late => (PieceFault::Late, String::new()),
        PieceEnd::Gone => (PieceFault::Gone, String::new()),
        PieceEnd::Room => (PieceFault::Room, String::new()),
        PieceEnd::Failed => (PieceFault::Failed, String::new()),
        PieceEnd::Outside => (PieceFault::Outside, String::new()),
    };
    let target = target.map_or_else(String::new, |t| t.as_str().to_owned());
    let mut submission = lock(&submission);
    submission.results[i] = PieceResult { fault: fault.into(), handle, target };
    submission.left -= 1;
    if submission.left > 0 {
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
        // Its submitter may have gone; then the results go when their time to live is over.
        let _ = done.send(StageResults { results, ..StageResults::default() });
    }
    unread
}
