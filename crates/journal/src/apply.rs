//! Applies the ops of one write to a shard's records. No I/O happens here.

use base::Version;

use crate::op::{Op, OpKind, OpResult};
use crate::records::{KeyState, ShardRecords, UpdateResult};
use crate::shared::Shared;
use crate::{ClaimResult, JournalError, Outcome};

/// The records after all ops, and the result of each op.
pub(crate) struct Applied {
    pub(crate) records: ShardRecords,
    pub(crate) results: Vec<OpResult>,
    pub(crate) changed: bool,
}

/// Applies ops to the records that were read last.
pub(crate) fn apply_all(
    shared: &Shared,
    latest: Option<&(Version, ShardRecords)>,
    ops: &[Op],
) -> Applied {
    let (version, mut records) = latest.cloned().unwrap_or_default();
    let retention = shared.rules.window_ms + shared.rules.ahead_ms;
    records.drop_before(shared.clock.now() - retention);
    // If an earlier write with an op may still take effect at this version, no result may be
    // reported that it would contradict. Another write at this version rules that out, even one
    // that changes nothing.
    let mut changed = ops.iter().any(|op| op.pending.is_some_and(|expected| expected >= version));
    let results = ops.iter().map(|op| apply(shared, &mut records, op, &mut changed)).collect();
    Applied { records, results, changed }
}

/// Whether the result stays true whatever happens to the records later, so that no new read is
/// needed.
pub(crate) fn is_final(result: &OpResult) -> bool {
    matches!(result, OpResult::Claimed(ClaimResult::Answered(_) | ClaimResult::Expired))
}

/// Applies one op to the records.
fn apply(shared: &Shared, records: &mut ShardRecords, op: &Op, changed: &mut bool) -> OpResult {
    let now = shared.clock.now();
    let update = match &op.kind {
        OpKind::Start(_) => match recorded_result(shared, records, op) {
            Some(result) => return result,
            None if records.start(&op.claim, &op.holder, now) => {
                *changed = true;
                return OpResult::Claimed(ClaimResult::Granted);
            }
            None => return OpResult::Claimed(ClaimResult::Unavailable),
        },
        OpKind::Finish(Outcome::Released, _) | OpKind::Abandon => {
            records.abandon(&op.claim, &op.holder, now)
        }
        OpKind::Finish(outcome, _) => records.finish(&op.claim, outcome, shared.rules.answer_bytes),
    };
    // A stale read may show that another attempt holds the key, and the holder would then give up
    // its outcome. A write that changes nothing shows whether the read was the newest version.
    let unverified = update == UpdateResult::NotHolder && !matches!(op.kind, OpKind::Abandon);
    *changed |= update == UpdateResult::Changed || unverified;
    match (&op.kind, update) {
        (OpKind::Abandon, _) => OpResult::Abandoned,
        (_, UpdateResult::Changed | UpdateResult::Unchanged) => OpResult::Finished(Ok(())),
        (_, UpdateResult::NotHolder) => OpResult::Finished(Err(JournalError::NotHolder)),
        (_, UpdateResult::Absent) => OpResult::Deferred,
    }
}

/// The result of a claim by the records; `None` if its key is free.
pub(crate) fn recorded_result(
    shared: &Shared,
    records: &ShardRecords,
    op: &Op,
) -> Option<OpResult> {
    let result = match records.key_state(&op.claim) {
        KeyState::Free => return None,
        KeyState::OwnAttempt => ClaimResult::Granted,
        KeyState::Abandoned => ClaimResult::Unavailable,
        KeyState::Dropped => ClaimResult::Expired,
        KeyState::Started { holder, started } if shared.may_be_running(&holder, started) => {
            ClaimResult::Running
        }
        KeyState::Started { .. } => ClaimResult::Unknown,
        KeyState::Ended(result) => result,
    };
    Some(OpResult::Claimed(result))
}
