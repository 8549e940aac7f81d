//! Decides whether results have somewhere to go before they expire.
//!
//! Large results that nothing reads in time occupy a target until they expire. The calls that made
//! them, and those that found no room beside them, are lost.

use base::Ms;

/// Whether a piece may be started whose call takes `call` and whose result is kept for `ttl` after
/// it. `wait` is the predicted time until the stage that reads the result begins, from now; without
/// a prediction the piece is started.
pub fn may_start(wait: Option<Ms>, call: Ms, ttl: Ms) -> bool {
    wait.is_none_or(|wait| wait < call + ttl)
}
