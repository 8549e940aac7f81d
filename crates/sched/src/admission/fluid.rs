//! The fluid model of a chain of stages.
//!
//! Each stage serves the work ahead of a request at a constant rate, from now on. A request that
//! gets to a stage later than that work is completed doesn't wait there, so the stage with the
//! longest wait decides, and waits don't add up.

use base::Ms;

/// Share of the slack that the predicted waits of a new request may use.
///
/// The other half is for errors of the prediction: requests of higher ranks, of other workspaces
/// and at other hosts arrive later and go first. With all of the slack, requests are admitted that
/// wait until they are late: hardly more are on time, and the work on the others is wasted.
pub const MAX_SLACK_SHARE: f64 = 0.5;

/// Predicted time and wait of one stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageWait {
    /// Predicted time of the stage, ms.
    pub time: f64,
    /// Time that the work ahead of the request takes at this stage, ms.
    pub wait: f64,
}

/// When a part of a chain of stages ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Completion {
    /// Time until it ends, ms.
    pub total: f64,
    /// Time until it would end if all queues were empty, ms.
    pub work: f64,
    /// Index of the stage with the longest wait; none if there is no wait.
    pub bottleneck: Option<usize>,
}

impl Completion {
    /// The completion of a stage that begins when this part has ended. `index` names the stage.
    pub fn then(self, index: usize, stage: StageWait) -> Self {
        let waits = stage.wait > self.total;
        Self {
            total: self.total + ((stage.wait - self.total).max(0.0) + stage.time),
            work: self.work + stage.time,
            bottleneck: if waits { Some(index) } else { self.bottleneck },
        }
    }

    /// The completion of both parts.
    pub fn join(self, other: Self) -> Self {
        let later = if other.total > self.total { other } else { self };
        Self { work: self.work.max(other.work), ..later }
    }
}

/// The outcome of an admission check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assessment {
    /// The request is expected to finish in time.
    Fits,
    /// The request would be admitted if it arrived this much later.
    FitsLater(Ms),
    /// The request would be too late even with empty queues.
    Hopeless,
}

/// Checks whether a chain of stages is expected to finish within `left`. Waits may use this share of
/// the slack, the time that is left after the predicted time of the stages themselves.
pub fn assess(left: Ms, chain: Completion, slack_share: f64) -> Assessment {
    let slack = (left.0 as f64 - chain.work).max(0.0);
    let limit = chain.work + slack * slack_share;
    match () {
        () if chain.work > left.0 as f64 => Assessment::Hopeless,
        () if chain.total > limit => Assessment::FitsLater(Ms((chain.total - limit).ceil() as u64)),
        () => Assessment::Fits,
    }
}
