//! Everything that happens to an entry host and can affect a decision.

use base::{Attempt, DomainId, Ms, PipelineId, PoolId, RequestId, TargetId, WorkspaceId};
use conf::{Plan, Priority};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An input of the reducer. The reducer's state changes only through events.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A configuration took effect. Requests in progress keep the plan under which they arrived.
    Config(Arc<Plan>),
    /// A request was received in full.
    Arrive(Arrival),
    /// The journal answered an [`crate::Effect::Register`].
    Registered {
        /// The request.
        request: RequestId,
        /// The journal's answer.
        grant: Grant,
    },
    /// The first byte of an attempt was written to a socket. Precedes all other events of the
    /// attempt.
    Sent {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
    },
    /// A chunk of a stream was accepted.
    Piece {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
        /// Number of tokens of this stage received so far, including this chunk.
        offset: u32,
    },
    /// A stage's complete result was received.
    Done {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
        /// Usage reported by the target.
        usage: Usage,
    },
    /// An attempt ended without a result.
    Failed {
        /// The request.
        request: RequestId,
        /// Index of the stage.
        stage: usize,
        /// The attempt.
        attempt: Attempt,
        /// Reason of the failure.
        fault: Fault,
    },
    /// The caller disconnected.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// A load report of a target. It may be out of date.
    Load {
        /// The target.
        target: TargetId,
        /// Number of requests that the target is running.
        running: u32,
        /// Number of requests queued at the target.
        queued: u32,
        /// Time at which the report was taken.
        at: Ms,
    },
    /// The aggregate load of a pool in another failure domain.
    DomainLoad {
        /// The failure domain.
        domain: DomainId,
        /// The pool.
        pool: PoolId,
        /// Number of requests that the pool's targets are running.
        running: u32,
        /// Number of requests queued at the pool's targets.
        queued: u32,
        /// Number of requests that the pool's targets can run concurrently.
        slots: u32,
        /// Time at which the report was taken.
        at: Ms,
    },
    /// An engine's cache stored or evicted a prompt prefix. These events arrive late, and some are
    /// lost.
    Cache {
        /// The engine.
        target: TargetId,
        /// Sequence number that the engine gave to the event.
        seq: u64,
        /// Hash of the prefix.
        prefix: u64,
        /// True if the prefix was stored, false if it was evicted.
        stored: bool,
    },
    /// A target is being taken out of service, or has returned to service.
    Leaving {
        /// The target.
        target: TargetId,
        /// False if the target has returned to service.
        leaving: bool,
    },
    /// Another host identified a request that crashes targets.
    Poisoned {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Time until which the request is refused.
        until: Ms,
    },
    /// The number of live hosts in this failure domain changed.
    Hosts {
        /// Number of live hosts, including this one; at least 1.
        live: u32,
    },
    /// This host is shutting down: it refuses new requests and finishes those in progress.
    Drain,
    /// Time has passed. Sent at least every 100 ms, and at the time of each
    /// [`crate::Effect::Wake`].
    Tick,
}

/// The properties of a request that decisions depend on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Identifier of the request on this host.
    pub request: RequestId,
    /// The workspace that sent the request. It exists in the current plan: requests of unknown
    /// workspaces are refused earlier.
    pub workspace: WorkspaceId,
    /// The requested pipeline. It exists in the current plan.
    pub pipeline: PipelineId,
    /// The priority set by the caller, if any.
    pub priority: Option<Priority>,
    /// Time by which the answer is due.
    pub deadline: Ms,
    /// Estimated number of input tokens.
    pub tokens_in: u32,
    /// Maximum number of tokens to generate; zero means the pipeline's default.
    pub max_tokens: u32,
    /// Hash of the caller's prefix key; zero if there is none.
    pub prefix: u64,
    /// Hash of workspace, pipeline and input. A request that is sent again has the same
    /// fingerprint.
    pub fingerprint: u64,
    /// Whether the request carries an idempotency key. Such a request must be registered before it
    /// runs.
    pub keyed: bool,
    /// Whether the caller states that it has sent this key before.
    pub resent: bool,
}

/// The journal's answer to the registration of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grant {
    /// The key is recorded, and only this attempt may run it.
    Granted,
    /// The key has already run, and its stored answer is available.
    Answered,
    /// Another attempt holds the key and may be running.
    Running,
    /// The key was started and its outcome is unknown.
    Unknown,
    /// The key could not be recorded, so nothing may run.
    Unavailable,
    /// The key is older than the retention window, or its time stamp is in the future.
    Expired,
}

/// Why an attempt ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection could not be established. Nothing was sent.
    Connect,
    /// The target reported that it has no capacity and did not run the attempt.
    Full,
    /// The target rejected the call as invalid.
    Rejected,
    /// The target reported an internal failure.
    Error,
    /// The connection was closed while an answer was pending: the target may have crashed.
    Broken,
    /// The connection stopped responding, but the target answers on a new connection.
    Silent,
    /// The target does not respond on new connections either.
    Dead,
    /// The answer belonged to another request, stage or attempt, or was malformed.
    Mismatch,
    /// The answer exceeds the size limit.
    TooLarge,
}

impl Fault {
    /// Whether it is certain that the target did not run the attempt.
    pub const fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Full)
    }

    /// Whether the fault indicates that the target is unhealthy.
    pub const fn counts_against_target(self) -> bool {
        matches!(self, Self::Connect | Self::Error | Self::Broken | Self::Dead)
    }
}

/// Resources used by a stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Input tokens.
    pub tokens_in: u32,
    /// Generated tokens.
    pub tokens_out: u32,
    /// Input tokens that were served from the prefix cache.
    pub cached: u32,
    /// Bytes sent and received.
    pub bytes: u64,
}
