//! Pieces that are sent once more, and when targets have read the calls that hold them.
//!
//! Targets count each arrival of a piece but the first one, also in a call that they reject. So a
//! piece that a target may have had takes a retry for each further call. A stopped target reads a call
//! after it was given up: the retries of its pieces count until that is over, see [`crate::budget`].

use base::{Ms, TargetId};
use std::collections::HashMap;

use super::{Batcher, CallEnd, CallId, PieceId, Waiting};

/// The calls of one piece that targets may still have to read.
#[derive(Debug, Default)]
struct Unread {
    calls: usize,
    /// Retries that its calls have taken.
    retries: usize,
}

/// A call that was given up.
#[derive(Debug)]
struct GivenUpCall {
    target: TargetId,
    call: CallId,
    pieces: Vec<PieceId>,
}

/// Calls that targets may still have to read.
#[derive(Debug, Default)]
pub(super) struct Resends {
    unread: HashMap<PieceId, Unread>,
    given_up: Vec<GivenUpCall>,
}

impl Resends {
    fn begin(&mut self, piece: PieceId, retries: usize) {
        let unread = self.unread.entry(piece).or_default();
        unread.calls += 1;
        unread.retries += retries;
    }

    /// Ends a call of a piece. Returns the retries whose targets have read them by now.
    fn end(&mut self, piece: PieceId) -> usize {
        let Some(unread) = self.unread.get_mut(&piece) else { return 0 };
        unread.calls -= 1;
        match unread.calls {
            0 => self.unread.remove(&piece).map_or(0, |unread| unread.retries),
            _ => 0,
        }
    }

    /// Gives back a retry of a piece.
    fn give_back(&mut self, piece: PieceId) {
        if let Some(unread) = self.unread.get_mut(&piece) {
            unread.retries = unread.retries.saturating_sub(1);
        }
    }
}

impl Batcher {
    /// Whether a piece may be part of a call, if there is a retry `left`.
    pub(super) fn may_send(waiting: &Waiting, left: bool) -> bool {
        waiting.queued && (left || waiting.sends == 0)
    }

    /// Takes the retries that the pieces of a call need. Returns those that may be sent.
    pub(super) fn charge(&mut self, now: Ms, pieces: Vec<PieceId>) -> Vec<PieceId> {
        let mut out = Vec::with_capacity(pieces.len());
        for id in pieces {
            let Some(waiting) = self.pieces.get_mut(&id) else { continue };
            let retries = usize::from(waiting.sends > 0);
            if retries == 0 || self.budget.send(now, &self.service) {
                waiting.sends += 1;
                self.resends.begin(id, retries);
                out.push(id);
            }
        }
        out
    }

    /// Records what the end of a call says of when its target has read it.
    pub(super) fn call_ended(
        &mut self,
        now: Ms,
        target: &TargetId,
        call: CallId,
        pieces: &[PieceId],
        end: &CallEnd,
    ) {
        match end {
            CallEnd::Done(_) | CallEnd::Full | CallEnd::Moved => {
                self.read(now, pieces);
                self.read_given_up(now, |c| c.target == *target && c.call < call);
            }
            // The target has closed the connection, so it reads no more of it.
            CallEnd::Broken => self.read(now, pieces),
            CallEnd::Deferred(_) | CallEnd::NoConnection => self.unsent(now, pieces),
            CallEnd::Silent => {
                let (target, pieces) = (target.clone(), pieces.to_vec());
                self.resends.given_up.push(GivenUpCall { target, call, pieces });
            }
        }
    }

    /// Records that targets that are no longer known read nothing more.
    pub(super) fn drop_unread(&mut self, now: Ms) {
        let known: Vec<TargetId> = self.targets.keys().cloned().collect();
        self.read_given_up(now, |c| !known.contains(&c.target));
    }

    fn read_given_up(&mut self, now: Ms, by: impl Fn(&GivenUpCall) -> bool) {
        let read: Vec<GivenUpCall> = self.resends.given_up.extract_if(.., |c| by(c)).collect();
        read.iter().for_each(|call| self.read(now, &call.pieces));
    }

    fn read(&mut self, now: Ms, pieces: &[PieceId]) {
        let read = pieces.iter().map(|id| self.resends.end(*id)).sum();
        self.budget.read(now, &self.service, read);
    }

    fn unsent(&mut self, now: Ms, pieces: &[PieceId]) {
        for id in pieces {
            if let Some(waiting) = self.pieces.get_mut(id) {
                waiting.sends -= 1;
                if waiting.sends > 0 {
                    self.resends.give_back(*id);
                    self.budget.give_back(now, &self.service, 1);
                }
            }
        }
        self.read(now, pieces);
    }
}
