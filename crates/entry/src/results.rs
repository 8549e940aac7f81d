//! Matches what targets return with the requests, and reports it to the reducer.

use logs::note;
use policy::{Event, Fault, Usage};
use wire::Piece;

use crate::active::{ActiveRequest, PieceCheck};
use crate::attempt::Job;
use crate::core::{Core, State};
use crate::reply::Reply;

/// Whether more of a stream is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamProgress {
    More,
    End,
}

impl Core {
    /// Records that the first byte of an attempt is about to be written to a socket. Returns false
    /// if the attempt was cancelled meanwhile: the caller may have been told already that nothing
    /// ran, so nothing may be sent any more.
    pub(crate) fn mark_sent(&self, job: &Job) -> bool {
        let Job { request, stage, attempt, .. } = *job;
        let mut state = self.lock();
        let current = current_request(&mut state, job).is_some();
        if current {
            self.reduce(&mut state, Event::Sent { request, stage, attempt });
        }
        current
    }

    /// Reports that an attempt ended without a result.
    pub(crate) fn attempt_failed(&self, job: &Job, fault: Fault) {
        let Job { request, stage, attempt, .. } = *job;
        let mut state = self.lock();
        if let Some(active) = state.active.get_mut(&request) {
            active.attempts.remove(&attempt);
            if active.buffer.source == Some(attempt) {
                active.buffer.source = None;
            }
        }
        self.reduce(&mut state, Event::Failed { request, stage, attempt, fault });
    }

    /// Accepts the whole result of an attempt.
    pub(crate) fn attempt_done(&self, job: &Job, output: String, usage: Usage) {
        let mut state = self.lock();
        if current_request(&mut state, job).is_some() {
            self.finish_stage(&mut state, job, output, usage);
        }
    }

    /// Accepts a piece of an attempt's stream.
    pub(crate) fn accept_piece(
        &self,
        job: &Job,
        piece: &Piece,
        bytes: u64,
    ) -> Result<StreamProgress, Fault> {
        let Job { request, stage, attempt, .. } = *job;
        let mut state = self.lock();
        let Some(active) = current_request(&mut state, job) else { return Ok(StreamProgress::End) };
        match active.buffer.check(attempt, piece) {
            PieceCheck::Next => {}
            PieceCheck::Stale => {
                note!(logs::Event::PieceDropped, request = %request, offset = piece.offset);
                self.metrics.dropped();
                return Ok(StreamProgress::More);
            }
            PieceCheck::Invalid => return Err(Fault::Mismatch),
        }
        let offset = active.buffer.tokens;
        active.buffer.append(attempt, piece);
        if active.is_last() {
            let text = piece.text.clone();
            active.outbox.push(Reply::Piece { offset, tokens: piece.tokens, text });
        }
        let received = active.buffer.tokens;
        self.reduce(&mut state, Event::Piece { request, stage, attempt, offset: received });
        if !piece.end {
            return Ok(StreamProgress::More);
        }
        let Some(active) = current_request(&mut state, job) else { return Ok(StreamProgress::End) };
        let output = std::mem::take(&mut active.buffer.text);
        let usage = Usage {
            tokens_in: piece.tokens_in,
            tokens_out: received,
            cached: piece.cached_tokens,
            bytes,
        };
        self.finish_stage(&mut state, job, output, usage);
        Ok(StreamProgress::End)
    }

    /// Whether the target has generated more of a stream than this host has received. In that case
    /// the connection is at fault, and not the target.
    pub(crate) fn stream_behind(&self, job: &Job, tokens: u32) -> bool {
        let mut state = self.lock();
        current_request(&mut state, job).is_none_or(|active| tokens > active.buffer.tokens)
    }

    /// Logs and counts a response that was dropped because it belongs to another request or
    /// attempt.
    pub(crate) fn report_mismatch(&self, job: &Job, got: &str) {
        self.metrics.mismatch();
        note!(
            logs::Event::AnswerMismatch,
            request = %job.request,
            got,
            target = %job.addr
        );
    }

    fn finish_stage(&self, state: &mut State, job: &Job, output: String, usage: Usage) {
        let Job { request, stage, attempt, .. } = *job;
        let now = self.now();
        let Some(active) = state.active.get_mut(&request) else { return };
        active.advance(now, attempt, output, usage);
        active.attempts.remove(&attempt);
        if let Some(cost) = active.costs.last() {
            let pipeline = active.plan.pipeline_name(active.pipeline).as_str();
            self.metrics.stage(pipeline, cost);
        }
        self.reduce(state, Event::Done { request, stage, attempt, usage });
    }
}

/// The request of a job, if the job's attempt is still running and belongs to the current stage.
fn current_request<'a>(state: &'a mut State, job: &Job) -> Option<&'a mut ActiveRequest> {
    let active = state.active.get_mut(&job.request)?;
    (active.stage == job.stage && active.attempts.contains_key(&job.attempt)).then_some(active)
}
