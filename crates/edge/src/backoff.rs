//! Delays between failed calls to the platform's store.

use base::Ms;
use logs::note;

use crate::directory::DirectoryError;

/// Delay after a failed call; doubled after each further failure in a row.
const BACKOFF: Ms = Ms(100);
/// Longest such delay: hosts must reach the store again within a second of its return.
const MAX_BACKOFF: Ms = Ms(500);

/// Exponential back-off between failed calls. Logs once when the store becomes unreachable and once
/// when it is back.
#[derive(Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records that a call was answered.
    pub(crate) fn succeeded(&mut self) {
        if self.failures > 0 {
            note!(logs::Event::PlatformBack, failures = self.failures);
        }
        self.failures = 0;
    }

    /// Records that a call that reads `what` failed.
    pub(crate) fn failed(&mut self, err: &DirectoryError, what: &'static str) {
        if self.failures == 0 {
            note!(logs::Event::PlatformDown, what, why = %err);
        }
        self.failures += 1;
    }

    /// Delay until the next call. Half of it is random, so that hosts that lost the store at the
    /// same time don't all call it again at the same time.
    pub(crate) fn delay(&self, draw: u64) -> Ms {
        let delay = BACKOFF.scale(1 << self.failures.saturating_sub(1).min(8), 1).min(MAX_BACKOFF);
        delay.scale(1, 2) + Ms(draw % (delay.0 / 2 + 1))
    }
}
