//! *Limit*: how many calls of this host a target runs concurrently.
//!
//! A target may be slow, and many hosts use the same targets. Without a limit, calls accumulate at
//! the slowest target, where this host can neither reorder nor withdraw them, and all of the host's
//! capacity is tied up behind one target.
//!
//! A host may use its share of a target's slots: the slots divided by the number of live hosts in
//! the failure domain. The total is safe although no host knows what the others do. A recent load
//! report allows a host to borrow free slots; each host takes only its share of them, so the total
//! stays safe while few hosts are busy. No host is locked out: the minimum is one call, and a
//! target that has no capacity for the total of these minimums reports that it is full.
//!
//! Within that share, a factor is multiplied by [`CUT_FACTOR`] when the target reports that it is
//! full, at most once per [`CUT_INTERVAL`], so that one burst counts once. It rises by
//! [`RECOVERY_STEP`] with each success, so it recovers after tens of successes. The load of a
//! target that is more than [`SLOW_RATIO`] times slower than its peers is divided by its slowdown.
//! A single answer that is ten times slower is enough for that, and so are three races lost against
//! hedges. A slow target is probed from time to time; see [`crate::route`].

use base::Ms;

/// Multiplies the factor when a target reports that it is full.
const CUT_FACTOR: f64 = 0.7;
/// Interval within which several such reports count once.
const CUT_INTERVAL: Ms = Ms(100);
/// Added to the factor with each success.
const RECOVERY_STEP: f64 = 0.02;
/// Lower bound of the factor.
const MIN_FACTOR: f64 = 0.1;
/// Slowdown above which a target is considered slow. Within one size class, work differs by up to a
/// factor of two.
pub(crate) const SLOW_RATIO: f64 = 2.0;
/// Weight of a new sample in the slowdown. A single straggler that is six times slower leaves a
/// target below [`SLOW_RATIO`].
const SLOWER_WEIGHT: f64 = 0.15;
/// Weight of a sample that is lower and near normal. A target that was ten times slower is no
/// longer considered slow after five such samples.
const RECOVERY_WEIGHT: f64 = 0.4;
/// Minimum ratio that a lost race counts as. The losing call is cancelled, so its actual duration
/// is unknown. One such straggler does not make a target slow, but three in a row do.
const LOST_RACE_RATIO: f64 = 4.0;
/// Upper bound for the ratio of a single sample.
const MAX_RATIO: f64 = 20.0;

/// Measured speed and available concurrency of one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit {
    factor: f64,
    last_cut: Ms,
    slowdown: f64,
}

impl Limit {
    pub(crate) fn new() -> Self {
        Self { factor: 1.0, last_cut: Ms::ZERO, slowdown: 1.0 }
    }

    /// How many times slower the target is than its peers; 1 is normal.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// The target gave a result in `ms`, where its peers take `expected`.
    pub(crate) fn succeeded(&mut self, ms: f64, expected: f64) {
        self.succeeded_untimed();
        self.record_ratio(ms, expected);
    }

    /// The target gave a result, and its expected duration is unknown.
    pub(crate) fn succeeded_untimed(&mut self) {
        self.factor = (self.factor + RECOVERY_STEP).min(1.0);
    }

    fn record_ratio(&mut self, ms: f64, expected: f64) {
        let ratio = (ms / expected.max(1.0)).clamp(0.25, MAX_RATIO);
        let weight = if ratio < self.slowdown && ratio < SLOW_RATIO {
            RECOVERY_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        self.slowdown += (ratio - self.slowdown) * weight;
    }

    /// A hedge that started later on another target gave its result first, when this call had run
    /// for `ms`.
    pub(crate) fn lost_race(&mut self, ms: f64, expected: f64) {
        self.still_running(ms.max(expected * LOST_RACE_RATIO), expected);
    }

    /// A call has run for `ms` without a result, where peers take `expected`. Its final duration
    /// can only be longer.
    pub(crate) fn still_running(&mut self, ms: f64, expected: f64) {
        if ms > expected * self.slowdown {
            self.record_ratio(ms, expected);
        }
    }

    /// The target reported that it is full.
    pub(crate) fn rejected_as_full(&mut self, now: Ms) {
        if now >= self.last_cut + CUT_INTERVAL {
            self.last_cut = now;
            self.factor = (self.factor * CUT_FACTOR).max(MIN_FACTOR);
        }
    }

    /// Number of concurrent calls allowed, given this host's share of the slots.
    pub(crate) fn max_calls(&self, slots: f64) -> f64 {
        let divisor = if self.slowdown > SLOW_RATIO { self.slowdown } else { 1.0 };
        (slots * self.factor / divisor).max(1.0)
    }
}
