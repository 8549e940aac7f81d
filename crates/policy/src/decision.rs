//! The names of the decisions, so that benchmarks can disable them one by one.

use serde::{Deserialize, Serialize};

/// A load management decision. A disabled decision is replaced by the simplest alternative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// Which requests are admitted.
    Admit,
    /// Which workspace is served next.
    Fair,
    /// Which request of a workspace is served next, and how many may wait.
    Queue,
    /// How a request's deadline is divided among its stages.
    Budget,
    /// Which target runs a stage.
    Route,
    /// How many calls a target runs concurrently.
    Limit,
    /// Whether a failed stage is retried.
    Retry,
    /// Whether a slow stage is started a second time on another target.
    Hedge,
    /// Which requests are refused because they crash targets.
    Poison,
    /// How fast the load of a new or returned target is raised.
    Ramp,
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 10] = [
        Self::Admit,
        Self::Fair,
        Self::Queue,
        Self::Budget,
        Self::Route,
        Self::Limit,
        Self::Retry,
        Self::Hedge,
        Self::Poison,
        Self::Ramp,
    ];

    /// The decision's name in benchmarks.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Fair => "fair",
            Self::Queue => "queue",
            Self::Budget => "budget",
            Self::Route => "route",
            Self::Limit => "limit",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Poison => "poison",
            Self::Ramp => "ramp",
        }
    }
}

/// The set of disabled decisions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DisabledDecisions(u16);

impl DisabledDecisions {
    pub(crate) fn new(disabled: &[Decision]) -> Self {
        Self(disabled.iter().fold(0, |bits, &d| bits | 1 << d as u16))
    }

    /// Whether a decision is disabled.
    pub(crate) fn contains(self, decision: Decision) -> bool {
        self.0 & (1 << decision as u16) != 0
    }
}
