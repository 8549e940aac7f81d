//! *Comeback*: when a refused caller should return.
//!
//! Answers: a burst of refusals. Without it callers come back at once, or all at the same moment,
//! and the queue that was full a moment ago is full again.
//!
//! The time told is when the reason of the refusal is expected to be over, spread by half over the
//! callers, and at most a part of the time that the caller has left, so that the second try can
//! still be served.

use base::Ms;

/// Part of the remaining time that may pass until the caller returns: the rest is for the second
/// try itself.
const LEFT_SHARE: (u64, u64) = (1, 4);
/// Shortest time told, ms: under it the caller's new connection alone takes longer.
const LEAST: Ms = Ms(50);

/// Time after which to come back, ms. `over` is when the reason is expected to be gone, `left` the
/// time that the caller still has, `draw` any number that differs between callers.
pub fn retry_after(over: Ms, left: Ms, draw: u64) -> Ms {
    let spread = Ms(draw % (over.0 / 2 + 1));
    let most = left.scale(LEFT_SHARE.0, LEFT_SHARE.1);
    (over + spread).min(most).max(LEAST)
}
