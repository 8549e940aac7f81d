//! *Ramp*: how fast a new or returned target gets its load.
//!
//! Answers: recovery, a new target, a returned failure domain.
//!
//! Without it: a target that has come back looks idle, so all hosts send to it at once; its caches
//! are cold, it falls behind, is taken out again, and the load swings.
//!
//! A new target gets a quarter of its load, then a half, three quarters, and all, each for the
//! same part of the configured time. One that was out for a while starts at the last step: a
//! quarter of a domain's load refused costs more than caches that are half warm. A fault while it
//! climbs holds it at its step for that part once more, and doesn't throw it back: what goes up
//! and is thrown down again is what swings. Load goes away from a target by its own limit and
//! pace, which move by bounded steps too.

use base::Ms;

/// Share of the load at each step.
const SHARES: [f64; 3] = [0.25, 0.5, 0.75];

/// A target's climb.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RampUp {
    since: Ms,
}

impl RampUp {
    /// Starts at `now`.
    pub(crate) fn new(now: Ms) -> Self {
        Self { since: now }
    }

    /// Starts at `now` at the last step: after a short outage.
    pub(crate) fn last(now: Ms, span: Ms) -> Self {
        let steps = SHARES.len() as u64;
        Self { since: now - span.scale(steps - 1, steps) }
    }

    /// Share of the load at `now` when the climb takes `span` in all; none once it is over.
    pub(crate) fn share(self, now: Ms, span: Ms) -> Option<f64> {
        let step = (now - self.since).0 * SHARES.len() as u64 / span.0.max(1);
        SHARES.get(step as usize).copied()
    }

    /// A fault: the present step starts again.
    pub(crate) fn hold(self, now: Ms, span: Ms) -> Self {
        let part = span.scale(1, SHARES.len() as u64).0.max(1);
        let into = (now - self.since).0 % part;
        Self { since: self.since + Ms(into) }
    }
}
