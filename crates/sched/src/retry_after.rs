//! Decides when a refused caller should send its request again.
//!
//! A burst leads to many refusals. If the callers retried at once, or all at the same moment, the
//! queue that was just full would be full again.
//!
//! The delay lasts until the reason of the refusal is expected to be over. A random part of up to
//! half of that is added, to spread the callers. The delay is at most a part of the time that the
//! caller has left, so that the retry can still be served.

use base::Ms;

/// Part of the caller's remaining time that the delay may take; the rest is for the retry itself.
const MAX_SHARE: (u64, u64) = (1, 4);
/// Shortest delay: opening a new connection takes the caller at least this long anyway.
const MIN_DELAY: Ms = Ms(50);

/// Delay after which to retry. `over` is the time until the reason is expected to be gone, `left`
/// the time that the caller still has, and `draw` any number that differs between callers.
pub fn retry_after(over: Ms, left: Ms, draw: u64) -> Ms {
    let spread = Ms(draw % (over.0 / 2 + 1));
    let most = left.scale(MAX_SHARE.0, MAX_SHARE.1);
    (over + spread).min(most).max(MIN_DELAY)
}
