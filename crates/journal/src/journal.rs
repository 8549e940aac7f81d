//! The interface between the journal and the entry host.

use async_trait::async_trait;
use base::{Key, RequestId, WorkspaceId};
use wire::Answer;

use crate::JournalError;

/// A request's claim on its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The workspace that owns the key: workspaces can't read or block each other's keys.
    pub workspace: WorkspaceId,
    /// The key that the caller chose.
    pub key: Key,
    /// The attempt that makes the claim: the request's identifier, different for each re-send.
    pub attempt: RequestId,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// This attempt, and no other, may run.
    Granted,
    /// The request ran; this is its recorded answer.
    Answered(Answer),
    /// Another attempt holds the key, on a host that may be alive.
    Running,
    /// The request was started and its outcome is unknown.
    Unknown,
    /// The claim could not be recorded; this attempt must not run.
    Unavailable,
    /// The key is older than the window, or lies too far in the future.
    Expired,
}

/// How a granted attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It ended with this answer. An answer larger than the configured limit is dropped, and
    /// re-sends are told that the outcome is unknown.
    Done(Answer),
    /// Nothing was sent that must not be repeated: the key may be granted again.
    Released,
    /// The request was sent and its outcome is unknown.
    Lost,
}

/// At-most-once records.
#[async_trait]
pub trait Journal: Send + Sync {
    /// Claims a key. A repeated call with the same attempt returns the same result.
    async fn register(&self, claim: &Claim) -> ClaimResult;

    /// Records how a granted attempt ended.
    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError>;

    /// Writes what is still queued, and stops.
    async fn close(&self);
}
