//! Handles the end of a call.

use base::{Ms, TargetId, hash_parts};

use super::{Batcher, CallEnd, CallId, Effect, MAX_ATTEMPTS, PieceEnd, PieceId};

impl Batcher {
    pub(super) fn ended(&mut self, now: Ms, call: CallId, end: CallEnd, out: &mut Vec<Effect>) {
        let Some((id, pieces)) = self.calls.remove(&call) else { return };
        self.call_ended(now, &id, call, &pieces, &end);
        let no_room = matches!(&end, CallEnd::Done(ends) if ends.contains(&PieceEnd::Room));
        if let Some(target) = self.targets.get_mut(&id) {
            target.learn_room(now, &end, self.config.room);
            target.ended(now, call, &end);
            if end == CallEnd::Full {
                let draw = [id.as_str().as_bytes(), &call.0.to_le_bytes(), &now.0.to_le_bytes()];
                target.rejected(now, self.config.full(), hash_parts(&draw));
            }
        }
        self.take_end(now, &id, pieces, end, out);
        match self.targets.get_mut(&id) {
            // What was made in the same call counts as the composer's own.
            Some(target) if no_room => target.learn_foreign(now, self.config.room),
            _ => {}
        }
    }

    pub(super) fn take_end(
        &mut self,
        now: Ms,
        id: &TargetId,
        pieces: Vec<PieceId>,
        end: CallEnd,
        out: &mut Vec<Effect>,
    ) {
        match end {
            CallEnd::Done(ends) => {
                let valid = ends.len() == pieces.len();
                let ends = ends.into_iter().map(Some).chain(std::iter::repeat(None));
                for (piece, end) in pieces.into_iter().zip(ends) {
                    match end {
                        Some(PieceEnd::Made(handle)) if valid => {
                            self.complete(now, id, piece, handle, out);
                        }
                        Some(PieceEnd::Gone) if valid => self.finish(piece, PieceEnd::Gone, out),
                        Some(PieceEnd::Late) if valid => self.finish(piece, PieceEnd::Late, out),
                        Some(PieceEnd::Room) if valid => self.requeue(now, piece, false, out),
                        _ => self.requeue(now, piece, true, out),
                    }
                }
            }
            CallEnd::Full | CallEnd::Deferred(_) | CallEnd::Moved | CallEnd::NoConnection => {
                pieces.into_iter().for_each(|p| self.requeue(now, p, false, out));
            }
            CallEnd::Broken | CallEnd::Silent => {
                pieces.into_iter().for_each(|p| self.requeue(now, p, true, out));
            }
        }
    }

    pub(super) fn complete(
        &mut self,
        now: Ms,
        target: &TargetId,
        piece: PieceId,
        handle: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(waiting) = self.pieces.remove(&piece) else {
            // The piece was withdrawn or made twice: nobody reads this result.
            out.push(Effect::Free { target: target.clone(), handle });
            return;
        };
        if let Some(target) = self.targets.get_mut(target) {
            target.room.keep(
                now,
                handle.clone(),
                waiting.piece.bytes,
                now + self.config.result_ttl,
            );
        }
        let target = Some(target.clone());
        out.push(Effect::End { piece, end: PieceEnd::Made(handle), target });
    }

    pub(super) fn finish(&mut self, piece: PieceId, end: PieceEnd, out: &mut Vec<Effect>) {
        if self.pieces.remove(&piece).is_some() {
            out.push(Effect::End { piece, end, target: None });
        }
    }

    /// Queues a piece again or ends it, after a call ended without its result. `counts` tells
    /// whether the call counts as an attempt, because the target may have run it.
    pub(super) fn requeue(&mut self, now: Ms, piece: PieceId, counts: bool, out: &mut Vec<Effect>) {
        let Some(waiting) = self.pieces.get_mut(&piece) else { return };
        // Another call may be making it, if this call was overdue.
        let elsewhere = self.calls.values().any(|(_, pieces)| pieces.contains(&piece));
        if waiting.queued || elsewhere {
            return;
        }
        if !counts {
            waiting.attempts -= 1;
        }
        if waiting.attempts >= MAX_ATTEMPTS || (counts && !self.budget.has_left(now, &self.service))
        {
            self.finish(piece, PieceEnd::Failed, out);
            return;
        }
        waiting.queued = true;
    }
}
