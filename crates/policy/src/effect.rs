//! What the reducer tells the host to do.

use base::{Attempt, Ms, RequestId, TargetId};
use serde::{Deserialize, Serialize};

use crate::Ran;

/// An output of the reducer. The host executes it and reports the outcome as events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Record the request's idempotency key. Nothing of the request is sent before
    /// [`crate::Event::Registered`].
    Register {
        /// The request.
        request: RequestId,
    },
    /// Send a stage to a target.
    Send {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
        /// Target to send to.
        target: TargetId,
        /// Number of tokens already received: a stream resumes from here.
        offset: u32,
        /// Time limit of the stage, ms.
        budget: Ms,
    },
    /// Cancel an attempt: release the target and discard whatever it still sends.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
    },
    /// Send the final answer to the caller and remove the request.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Record how a registered request ended. Precedes its [`Effect::Answer`].
    Finish {
        /// The request.
        request: RequestId,
        /// How the request ended.
        ending: Ending,
    },
    /// Tell the other hosts about a request that crashes targets.
    Poison {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Time until which the request is refused.
        until: Ms,
    },
    /// Send a [`crate::Event::Tick`] at this time.
    Wake {
        /// Time of the tick.
        at: Ms,
    },
}

/// How a registered request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// With a complete answer, which is stored.
    Done,
    /// No non-repeatable work was sent: the key may be granted again.
    Released,
    /// Non-repeatable work was sent and its outcome is unknown.
    Lost,
}

/// The final answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The complete result of the last stage.
    Done,
    /// The answer that the journal stored in an earlier run.
    Replayed,
    /// An error.
    Refused(Refusal),
}

/// An error, and whether any part of the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error code.
    pub code: Code,
    /// Whether any part of the request ran.
    pub ran: Ran,
    /// Delay after which a retry may succeed, ms; `None` if retrying never helps.
    pub retry_after: Option<Ms>,
}

/// Error code reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// There is no capacity within the deadline.
    Overloaded,
    /// The workspace exceeds its share while others wait.
    OverShare,
    /// The remaining time is shorter than the predicted time of the stages.
    Hopeless,
    /// The deadline passed while the request was in progress.
    DeadlinePassed,
    /// No target is available for a stage.
    NoTarget,
    /// A stage failed and can't be retried.
    StageFailed,
    /// The request crashes the targets that run it.
    Poison,
    /// Non-repeatable work was sent and its outcome is unknown.
    OutcomeUnknown,
    /// A request with the same key is running elsewhere.
    Running,
    /// The key is older than the retention window, or its time stamp is in the future.
    KeyExpired,
    /// The key could not be recorded.
    JournalUnavailable,
    /// This host is shutting down.
    Draining,
    /// The caller disconnected.
    CallerGone,
}
