//! What a shard's writer is asked to do.

use base::{Ms, Version};
use tokio::sync::oneshot;

use crate::book::Holder;
use crate::{Claim, ClaimResult, JournalError, Outcome};

/// What became of a claim, and whether its record may still be made.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Claimed {
    pub(crate) granted: ClaimResult,
    /// A write that holds the claim was sent and its outcome is open.
    pub(crate) open: bool,
}

impl Claimed {
    pub(crate) const fn refused(open: bool) -> Self {
        Self { granted: ClaimResult::Unavailable, open }
    }
}

/// One thing to record.
pub(crate) struct Op {
    pub(crate) claim: Claim,
    pub(crate) by: Holder,
    /// When to give up.
    pub(crate) until: Ms,
    /// When it came in.
    pub(crate) since: Ms,
    /// A write that holds it was sent under the condition of this version. It is not known to be
    /// lost, and whoever asked wasn't told that it took effect.
    pub(crate) open: Option<Version>,
    pub(crate) kind: OpKind,
}

/// What to record, and whom to tell.
pub(crate) enum OpKind {
    /// That an attempt starts.
    Start(oneshot::Sender<Claimed>),
    /// How it ended.
    Finish(Outcome, oneshot::Sender<Result<(), JournalError>>),
    /// That its own host has given it up.
    Abandon,
}

impl Op {
    /// Whether somebody waits for it before work goes on.
    pub(crate) fn urgent(&self) -> bool {
        matches!(self.kind, OpKind::Start(_))
    }

    /// Ends it without a record.
    pub(crate) fn fail(self) {
        // Whoever asked may have gone.
        match self.kind {
            OpKind::Start(reply) => _ = reply.send(Claimed::refused(self.open.is_some())),
            OpKind::Finish(_, reply) => _ = reply.send(Err(JournalError::Unavailable)),
            OpKind::Abandon => {}
        }
    }
}

/// How one op fares against the records.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fate {
    /// A claim's answer.
    Claimed(ClaimResult),
    /// A finish's answer.
    Finished(Result<(), JournalError>),
    /// An abandoned claim can't be made any more.
    Abandoned,
    /// There is nothing to end yet; the claim may still be on its way.
    Later,
}

impl Op {
    /// Tells whoever asked. Gives the op back when it has to wait.
    pub(crate) fn answer(self, fate: Fate) -> Option<Self> {
        match (self.kind, fate) {
            (OpKind::Start(reply), Fate::Claimed(granted)) => {
                _ = reply.send(Claimed { granted, open: false });
                None
            }
            (OpKind::Finish(_, reply), Fate::Finished(result)) => {
                _ = reply.send(result);
                None
            }
            (OpKind::Abandon, _) => None,
            (kind, _) => Some(Self { kind, ..self }),
        }
    }
}
