//! *Hedge*: starts a slow stage a second time on another target.
//!
//! Some calls take much longer than others of the same size. Without hedging, if each of six stages
//! is late once in a hundred times, one request in seventeen waits for a straggler.
//!
//! A stage is hedged once it has taken longer than 95 % of the stages of its size, or longer than
//! its share of the deadline. The first attempt that returns anything wins, and the other is
//! cancelled at once. Only repeatable stages are hedged, at most once, and never while anything is
//! queued for the same targets: under saturation everything is slow, and duplicate work makes it
//! slower. Hedges draw on a budget that each first attempt adds to. The default share is one hedge
//! in twenty first attempts, which matches the fraction of stages beyond the quantile.

use base::Ms;

/// Maximum number of hedges that can be accumulated.
pub(crate) const HEDGE_BURST: f64 = 10.0;
/// Minimum time before a stage is considered slow. Below this, timer resolution and network latency
/// dominate.
const MIN_DELAY: Ms = Ms(20);
/// Interval after which a hedge that was not possible is tried again.
pub(crate) const RECHECK_INTERVAL: Ms = Ms(50);

/// Time after which a running stage is a straggler: the learned quantile `high`, or its share of
/// the deadline, `soft`, if that is shorter. Returns `None` until a quantile has been learned.
pub(crate) fn delay(high: Option<f64>, soft: Option<Ms>) -> Option<Ms> {
    let high = Ms(high?.ceil() as u64);
    Some(soft.map_or(high, |soft| soft.min(high)).max(MIN_DELAY))
}
