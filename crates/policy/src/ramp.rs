//! *Ramp*: how fast the load of a new or returned target is raised.
//!
//! A target may be new, or may return to service, alone or with its whole failure domain. Without a
//! ramp, a target that has returned looks idle, so all hosts send to it at once. Its caches are
//! cold, it falls behind and is taken out of service again, and the load oscillates.
//!
//! A new target gets a quarter of its load, then a half, three quarters, and all of it; each step
//! lasts the same part of the configured time. A target that was out of service for a short time
//! starts at the last step: refusing a quarter of a domain's load costs more than running with
//! half-warm caches. A fault during the ramp restarts the current step but does not go back to an
//! earlier one, because raising the load and dropping it again is what causes oscillation. Load is
//! moved away from a target by its concurrency limit and its measured slowdown, which also change
//! in bounded steps.

use base::Ms;

/// Share of the load at each step.
const STEP_SHARES: [f64; 3] = [0.25, 0.5, 0.75];

/// The ramp-up of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RampUp {
    started: Ms,
}

impl RampUp {
    /// Starts a ramp-up at `now`.
    pub(crate) fn new(now: Ms) -> Self {
        Self { started: now }
    }

    /// Starts a ramp-up at `now` at the last step, for a target that was out of service for a short
    /// time.
    pub(crate) fn at_last_step(now: Ms, ramp_time: Ms) -> Self {
        let steps = STEP_SHARES.len() as u64;
        Self { started: now - ramp_time.scale(steps - 1, steps) }
    }

    /// Share of the load at `now`, for a ramp-up that takes `ramp_time` in total; `None` once it is
    /// complete.
    pub(crate) fn share(self, now: Ms, ramp_time: Ms) -> Option<f64> {
        let step = (now - self.started).0 * STEP_SHARES.len() as u64 / ramp_time.0.max(1);
        STEP_SHARES.get(step as usize).copied()
    }

    /// Restarts the current step, after a fault.
    pub(crate) fn restart_step(self, now: Ms, ramp_time: Ms) -> Self {
        let step_time = ramp_time.scale(1, STEP_SHARES.len() as u64).0.max(1);
        let elapsed = (now - self.started).0 % step_time;
        Self { started: self.started + Ms(elapsed) }
    }
}
