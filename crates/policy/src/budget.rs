//! *Budget*: divides a request's deadline among its stages.
//!
//! One deadline covers all stages of a request. Without a budget, the first stage may use up all
//! the time, and the last stage starts when its result can only be late.
//!
//! The remaining time is divided again before each stage, so that later stages can use what an
//! earlier one saved. A stage should end within its predicted time plus its share of the slack;
//! beyond that it counts as a straggler. It must end while the remaining stages can still be
//! completed at their fastest. Beyond that the request fails, which frees its target for a request
//! that can still be answered in time.

use base::Ms;

/// Time limits of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Budget {
    /// A stage that takes longer is a straggler.
    pub(crate) soft: Ms,
    /// After a longer time the remaining stages can no longer be completed.
    pub(crate) hard: Ms,
}

/// Divides `left` between a stage predicted to take `own` ms and the remaining stages, which are
/// predicted to take `rest` ms, or `least` ms at their fastest.
pub(crate) fn split(left: Ms, own: f64, rest: f64, least: f64) -> Budget {
    let all = left.0 as f64;
    let slack = (all - own - rest).max(0.0);
    let soft = own + slack * own / (own + rest).max(1.0);
    let hard = (all - least).max(0.0);
    Budget { soft: Ms(soft.min(hard) as u64), hard: Ms(hard as u64) }
}
