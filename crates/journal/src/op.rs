//! Operations that are queued for a shard's writer.

use base::{Ms, Version};
use tokio::sync::oneshot;

use crate::records::Holder;
use crate::{Claim, ClaimResult, JournalError, Outcome};

/// The reply to a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimReply {
    pub(crate) result: ClaimResult,
    /// A write with the claim was sent and may have taken effect, or may still do so.
    pub(crate) pending: bool,
}

impl ClaimReply {
    pub(crate) const fn refused(pending: bool) -> Self {
        Self { result: ClaimResult::Unavailable, pending }
    }
}

/// One change to record.
pub(crate) struct Op {
    pub(crate) claim: Claim,
    pub(crate) holder: Holder,
    /// When the writer gives up.
    pub(crate) deadline: Ms,
    /// When it was queued; set anew when it has to wait for a record.
    pub(crate) queued: Ms,
    /// The expected version of a write with this op that was sent, isn't known to have failed, and
    /// whose success wasn't reported to the requester.
    pub(crate) pending: Option<Version>,
    pub(crate) kind: OpKind,
}

/// What to record, and where to send the reply.
pub(crate) enum OpKind {
    /// An attempt starts.
    Start(oneshot::Sender<ClaimReply>),
    /// An attempt ended.
    Finish(Outcome, oneshot::Sender<Result<(), JournalError>>),
    /// An attempt was given up by its own host.
    Abandon,
}

impl Op {
    /// Whether a caller is waiting for it.
    pub(crate) fn urgent(&self) -> bool {
        matches!(self.kind, OpKind::Start(_))
    }

    /// Replies that nothing could be recorded.
    pub(crate) fn fail(self) {
        // The requester may no longer wait for the reply.
        match self.kind {
            OpKind::Start(reply) => _ = reply.send(ClaimReply::refused(self.pending.is_some())),
            OpKind::Finish(_, reply) => _ = reply.send(Err(JournalError::Unavailable)),
            OpKind::Abandon => {}
        }
    }
}

/// The result of applying one op to the records.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OpResult {
    /// The result of a claim.
    Claimed(ClaimResult),
    /// The result of a finish.
    Finished(Result<(), JournalError>),
    /// The claim is abandoned and can no longer be granted.
    Abandoned,
    /// There is no record to finish yet; the claim may still be on its way.
    Deferred,
}

impl Op {
    /// Replies to the requester. Returns the op if it has to wait.
    pub(crate) fn reply(self, op_result: OpResult) -> Option<Self> {
        match (self.kind, op_result) {
            (OpKind::Start(reply), OpResult::Claimed(result)) => {
                _ = reply.send(ClaimReply { result, pending: false });
                None
            }
            (OpKind::Finish(_, reply), OpResult::Finished(result)) => {
                _ = reply.send(result);
                None
            }
            (OpKind::Abandon, _) => None,
            (kind, _) => Some(Self { kind, ..self }),
        }
    }
}
