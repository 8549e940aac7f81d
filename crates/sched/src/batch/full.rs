//! Backs off from targets that respond that they are full.
//!
//! A target's queue and its memory may be occupied by calls and results of a composer that is gone.
//! With a fixed pause, a new composer would send one call after another there until they expire.

use base::Ms;

/// Pause after the first such response; doubled after each further one in a row.
const FIRST_PAUSE: Ms = Ms(60);

/// Responses in a row by which a target was full.
#[derive(Debug, Default)]
pub(super) struct FullBackoff {
    rejections: u32,
    until: Ms,
}

impl FullBackoff {
    /// Records such a response. The pause is at most `call`, the duration of a full call: by then a
    /// call that was queued there has begun. Up to a quarter of it is taken off at random (`draw`),
    /// so that composers don't meet again at the same target.
    pub(super) fn rejected(&mut self, now: Ms, call: Ms, draw: u64) {
        let pause = FIRST_PAUSE.scale(1 << self.rejections.min(8), 1).min(call);
        self.rejections += 1;
        self.until = now + pause - Ms(draw % (pause.0 / 4 + 1));
    }

    /// Records that a call ran or found room.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Ends the present pause: the target reports that it would take a call. The next pause is
    /// still longer, because the report may be outdated.
    pub(super) fn end(&mut self, now: Ms) {
        self.until = self.until.min(now);
    }

    /// When the pause ends.
    pub(super) fn until(&self) -> Ms {
        self.until
    }
}
