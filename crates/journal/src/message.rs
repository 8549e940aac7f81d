//! Conversion of claims, grants and finishes to and from their messages between hosts.

use base::{Key, RequestId, WorkspaceId};
use wire::{Finish, Grant, GrantKind, RecordState};

use crate::op::ClaimReply;
use crate::{Claim, ClaimResult, Outcome};

/// Parses a claim message; `None` if it is malformed.
pub(crate) fn claim(claim: &wire::Claim) -> Option<Claim> {
    Some(Claim {
        workspace: WorkspaceId::from(claim.workspace.as_str()),
        key: Key::parse(&claim.key).ok()?,
        attempt: claim.attempt.parse::<RequestId>().ok()?,
    })
}

pub(crate) fn grant(reply: ClaimReply) -> Grant {
    let (kind, answer) = match reply.result {
        ClaimResult::Granted => (GrantKind::Granted, None),
        ClaimResult::Answered(answer) => (GrantKind::Answered, Some(answer)),
        ClaimResult::Running => (GrantKind::Running, None),
        ClaimResult::Unknown => (GrantKind::GrantUnknown, None),
        ClaimResult::Unavailable => (GrantKind::Unavailable, None),
        ClaimResult::Expired => (GrantKind::Expired, None),
    };
    Grant { kind: kind.into(), answer, open: reply.pending }
}

pub(crate) fn reply_from(grant: Grant) -> ClaimReply {
    let result = match (grant.kind(), grant.answer) {
        (GrantKind::Granted, _) => ClaimResult::Granted,
        (GrantKind::Answered, Some(answer)) => ClaimResult::Answered(answer),
        (GrantKind::Answered, None) | (GrantKind::GrantUnknown, _) => ClaimResult::Unknown,
        (GrantKind::Running, _) => ClaimResult::Running,
        (GrantKind::Unavailable, _) => ClaimResult::Unavailable,
        (GrantKind::Expired, _) => ClaimResult::Expired,
    };
    ClaimReply { result, pending: grant.open }
}

pub(crate) fn finish(claim: &Claim, outcome: &Outcome) -> Finish {
    let (state, answer) = match outcome {
        Outcome::Done(answer) => (RecordState::Done, Some(answer.clone())),
        Outcome::Released => (RecordState::Released, None),
        Outcome::Lost => (RecordState::Lost, None),
    };
    Finish {
        workspace: claim.workspace.to_string(),
        key: claim.key.to_string(),
        attempt: claim.attempt.to_string(),
        state: state.into(),
        answer,
    }
}

pub(crate) fn outcome(finish: &Finish) -> Option<Outcome> {
    match (finish.state(), &finish.answer) {
        (RecordState::Done, Some(answer)) => Some(Outcome::Done(answer.clone())),
        (RecordState::Released, _) => Some(Outcome::Released),
        (RecordState::Lost, _) => Some(Outcome::Lost),
        (RecordState::Done, None) | (RecordState::Started, _) => None,
    }
}
