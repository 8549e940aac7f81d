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
use sched::admission::fluid::{Completion, MAX_SLACK_SHARE};

pub(crate) use sched::admission::fluid::{Assessment, StageWait};

/// Minimum interval between requests that are admitted against the prediction.
pub(crate) const PROBE_INTERVAL: Ms = Ms(1_000);

/// Checks whether the stages are expected to finish within `left`.
pub(crate) fn assess(left: Ms, stages: impl Iterator<Item = StageWait>) -> Assessment {
    let chain = stages.enumerate().fold(Completion::default(), |c, (i, s)| c.then(i, s));
    sched::admission::fluid::assess(left, chain, MAX_SLACK_SHARE)
}
