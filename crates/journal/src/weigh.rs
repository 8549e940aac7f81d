//! How the ops of one write fare against the records, without any I/O.

use base::Version;

use crate::book::{Book, Look, Put};
use crate::op::{Fate, Op, OpKind};
use crate::shared::Shared;
use crate::{ClaimResult, JournalError, Outcome};

/// What the records would be after all ops, and how each op would fare.
pub(crate) struct Weighed {
    pub(crate) book: Book,
    pub(crate) fates: Vec<Fate>,
    pub(crate) changed: bool,
}

/// Applies ops to the records that are held.
pub(crate) fn weigh(shared: &Shared, held: Option<&(Version, Book)>, ops: &[Op]) -> Weighed {
    let (version, mut book) = held.cloned().unwrap_or_default();
    let kept = shared.rules.window_ms + shared.rules.ahead_ms;
    book.forget(shared.clock.now() - kept);
    // An op that may still land under the version that is held can't be told anything that its
    // landing would belie. A write fences it, even one that changes nothing.
    let mut changed = ops.iter().any(|op| op.open.is_some_and(|at| at >= version));
    let fates = ops.iter().map(|op| apply(shared, &mut book, op, &mut changed)).collect();
    Weighed { book, fates, changed }
}

/// Whether later records can't change this answer, so that no fresh read is needed.
pub(crate) fn settled(fate: &Fate) -> bool {
    matches!(fate, Fate::Claimed(ClaimResult::Answered(_) | ClaimResult::Expired))
}

/// Applies one op to the records.
fn apply(shared: &Shared, book: &mut Book, op: &Op, changed: &mut bool) -> Fate {
    let now = shared.clock.now();
    let put = match &op.kind {
        OpKind::Start(_) => match told(shared, book, op) {
            Some(fate) => return fate,
            None if book.start(&op.claim, &op.by, now) => {
                *changed = true;
                return Fate::Claimed(ClaimResult::Granted);
            }
            None => return Fate::Claimed(ClaimResult::Unavailable),
        },
        OpKind::Finish(Outcome::Released, _) | OpKind::Abandon => {
            book.abandon(&op.claim, &op.by, now)
        }
        OpKind::Finish(outcome, _) => book.finish(&op.claim, outcome, shared.rules.answer_bytes),
    };
    // That another attempt holds the key may be what an old read says, and the holder would give
    // up its outcome for it. A write that changes nothing shows whether the read was the newest.
    let doubted = put == Put::NotHolder && !matches!(op.kind, OpKind::Abandon);
    *changed |= put == Put::Changed || doubted;
    match (&op.kind, put) {
        (OpKind::Abandon, _) => Fate::Abandoned,
        (_, Put::Changed | Put::Same) => Fate::Finished(Ok(())),
        (_, Put::NotHolder) => Fate::Finished(Err(JournalError::NotHolder)),
        (_, Put::Absent) => Fate::Later,
    }
}

/// What the records say of a claim; `None` when its key is free.
pub(crate) fn told(shared: &Shared, book: &Book, op: &Op) -> Option<Fate> {
    let granted = match book.look(&op.claim) {
        Look::Free => return None,
        Look::Mine => ClaimResult::Granted,
        Look::Abandoned => ClaimResult::Unavailable,
        Look::Forgotten => ClaimResult::Expired,
        Look::Started { by, at } if shared.running(&by, at) => ClaimResult::Running,
        Look::Started { .. } => ClaimResult::Unknown,
        Look::Ended(granted) => granted,
    };
    Some(Fate::Claimed(granted))
}
