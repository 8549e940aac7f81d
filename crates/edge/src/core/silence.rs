//! Detects that connections of several targets went silent at about the same time.

use base::{Ms, TargetId};

/// Connections of several targets that go silent within this time are taken to have a common cause.
const SILENCE_WINDOW: Ms = Ms(3_000);

/// Remembers the target whose connection went silent last, and when.
#[derive(Default)]
pub(super) struct SilenceDetector {
    last: Option<(Ms, TargetId)>,
}

impl SilenceDetector {
    /// Records a silent connection. Returns whether another target's connection went silent shortly
    /// before.
    pub(super) fn record(&mut self, now: Ms, target: &TargetId) -> bool {
        let last = self.last.replace((now, target.clone()));
        last.is_some_and(|(at, id)| id != *target && now - at <= SILENCE_WINDOW)
    }
}
