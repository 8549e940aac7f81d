//! The border between the journal and the entry host.

use async_trait::async_trait;
use base::{Key, RequestId, WorkspaceId};
use wire::Answer;

use crate::JournalError;

/// A request's claim on its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Whose key it is: workspaces can't read or block each other's.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: Key,
    /// The claiming attempt: the request's identifier, different for each re-send.
    pub attempt: RequestId,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// This attempt, and no other, may run.
    Granted,
    /// It ran; this is the kept answer.
    Answered(Answer),
    /// Another attempt holds it, on a host that may be alive.
    Running,
    /// It started and its outcome can't be told.
    Unknown,
    /// The record could not be made; this attempt must not run.
    Unavailable,
    /// The key is older than the window, or from the future.
    Expired,
}

/// How a granted attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With this answer; one larger than the setting is dropped and later told as unknown.
    Done(Answer),
    /// Nothing that may not be repeated was sent: the key may be granted again.
    Released,
    /// It was sent and what became of it can't be told.
    Lost,
}

/// At-most-once records.
#[async_trait]
pub trait Journal: Send + Sync {
    /// Claims a key. Asked again with the same attempt, it gives the same grant.
    async fn register(&self, claim: &Claim) -> ClaimResult;

    /// Records how a granted attempt ended.
    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError>;

    /// Writes what is still to be written, and stops.
    async fn close(&self);
}
