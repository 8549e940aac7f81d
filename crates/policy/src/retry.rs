//! *Retry*: whether a failed stage is retried.
//!
//! Targets may fail, a few or most of them at once. Retries help when a tenth of the targets fail.
//! But when most of them fail and retries have no budget, each request is sent several times, and
//! the remaining targets go down under three times the load.
//!
//! Retries draw on a budget that successes add to. At the default share of 0.1 per success, they
//! increase the load by at most a tenth. [`RETRY_BURST`] covers the moment when one target fails
//! with all the calls that it runs. A retry that can't finish before the deadline is not made. Two
//! kinds of retry cost nothing but still count towards [`MAX_TRIES`]: going back to the queue when
//! a target reports that it is full, because the target ran nothing; and resuming a stream, because
//! the tokens already received need not be generated again.

/// Maximum number of retries that can be accumulated: what two targets of typical size run
/// concurrently, plus a few.
const RETRY_BURST: f64 = 20.0;
/// Maximum number of attempts of one stage.
pub(crate) const MAX_TRIES: u32 = 4;

/// A token bucket: successes or first attempts add tokens, retries or hedges spend them.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// Creates the retry budget, which starts full.
    pub(crate) fn retries() -> Self {
        Self { tokens: RETRY_BURST, capacity: RETRY_BURST }
    }

    /// Creates an empty bucket that holds at most `capacity` tokens.
    pub(crate) fn earned(capacity: f64) -> Self {
        Self { tokens: 0.0, capacity }
    }

    /// Adds `share` of a token.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.capacity);
    }

    /// Whether a token can be spent.
    pub(crate) fn available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token and returns true, or returns false if there is none.
    pub(crate) fn spend(&mut self) -> bool {
        let available = self.available();
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
