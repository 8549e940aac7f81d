//! *Admit*: which requests are admitted.
//!
//! Load can exceed capacity, for a long time (saturation) or for a moment (a burst). Without
//! admission control, every request is queued, targets work on requests whose callers have given
//! up, and goodput falls to zero while all targets are busy.
//!
//! A request is admitted if the predicted waits before its stages take at most [`MAX_SLACK_SHARE`]
//! of its slack, which is the time left after the predicted time of the stages themselves. The wait
//! at a stage is modelled as a fluid queue: the work ahead of the request, less what the stage
//! completes before the request gets there. If the age of the request at the front of the queue
//! indicates a longer wait, that is used instead, up to twice the time that all work in the queue
//! takes. Less urgent work does not count by itself, so that short requests are not refused because
//! of long ones that they overtake.
//!
//! The other half of the slack allows for errors in both predictions. A larger share admits
//! requests that wait until they can no longer be answered in time: hardly more are answered, and
//! the others are refused seconds later. A refusal states after which time the same request would
//! be admitted.
//!
//! A wrong prediction could refuse every request, so that nothing new is learned and the prediction
//! stays wrong. So one request per [`PROBE_INTERVAL`] is admitted against the prediction.

use base::Ms;

/// Share of the slack that predicted waits may use.
const MAX_SLACK_SHARE: f64 = 0.5;
/// Minimum interval between requests that are admitted against the prediction.
pub(crate) const PROBE_INTERVAL: Ms = Ms(1_000);

/// Predicted time and wait of one stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StageWait {
    /// Predicted time of the stage, ms.
    pub(crate) time: f64,
    /// Time that the work ahead of the request takes at this stage, ms.
    pub(crate) wait: f64,
}

/// The outcome of an admission check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Assessment {
    /// The request is expected to finish in time.
    Fits,
    /// The request would be admitted if it arrived this much later.
    FitsLater(Ms),
    /// The request would be too late even with empty queues.
    Hopeless,
}

/// Checks whether the stages are expected to finish within `left`.
pub(crate) fn assess(left: Ms, stages: impl Iterator<Item = StageWait>) -> Assessment {
    let (mut total, mut work) = (0.0, 0.0);
    for stage in stages {
        total += (stage.wait - total).max(0.0) + stage.time;
        work += stage.time;
    }
    let slack = (left.0 as f64 - work).max(0.0);
    let limit = work + slack * MAX_SLACK_SHARE;
    match () {
        () if work > left.0 as f64 => Assessment::Hopeless,
        () if total > limit => Assessment::FitsLater(Ms((total - limit).ceil() as u64)),
        () => Assessment::Fits,
    }
}
