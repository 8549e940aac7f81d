//! Defaults that apply unless an exception overrides them.

use base::Ms;
use serde::{Deserialize, Serialize};

/// Fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Defaults {
    /// Deadline of a request, counted from its arrival, ms. Applies when its pipeline sets none.
    /// Default 9000.
    pub deadline_ms: Ms,
    /// Priority of a request that gives none. Default normal.
    pub priority: Priority,
    /// Where stages may run. Default region.
    pub placement: Placement,
    /// Budget for retries and resumed streams, as a share of successful requests, 0 to 1.
    /// Default 0.1.
    pub retry_share: f64,
    /// Budget for hedged attempts, as a share of requests, 0 to 1. Default 0.05.
    pub hedge_share: f64,
    /// Maximum number of requests queued on one host. Default 2000.
    pub queue_len: u32,
    /// Total time over which the load of a new or returning target is increased in steps, ms.
    /// Default 10000.
    pub ramp_ms: Ms,
    /// How long the fingerprint of a poison request is remembered, ms. Default 600000.
    pub poison_ms: Ms,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            deadline_ms: Ms(9_000),
            priority: Priority::Normal,
            placement: Placement::Region,
            retry_share: 0.1,
            hedge_share: 0.05,
            queue_len: 2_000,
            ramp_ms: Ms(10_000),
            poison_ms: Ms(600_000),
        }
    }
}

/// Priority of a request when capacity is short.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Work that can wait.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that a person is waiting for.
    High,
}

/// Where a stage may run, relative to the host that serves the request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Placement {
    /// Only in the host's own failure domain.
    Domain,
    /// In the host's region.
    #[default]
    Region,
    /// In any region, if the gain is worth the cost of the transfer between regions.
    Anywhere,
}
