//! Chooses which ordinary successes get a log line of their own.
//!
//! During a burst each response would write log lines. Logging would then use up the processor time
//! just when it is needed most, and the lines would push each other out of the window that a reader
//! sees. Failures don't pass through this sampling: they are kept up to the rate that the log
//! writer's queue accepts.

use base::Ms;

/// Lines that are always written in a second. One takes about 20 µs, so this is a twentieth of a
/// percent of a core.
const FULL_RATE: u64 = 25;
/// Beyond that rate, one in this many lines is written.
const SAMPLE_INTERVAL: u64 = 16;

/// The log sampler of one host.
#[derive(Debug, Default)]
pub struct Sampler {
    second: Ms,
    count: u64,
}

impl Sampler {
    /// Whether this success is written; if so, the number of successes that the line stands for.
    pub fn take(&mut self, now: Ms) -> Option<u64> {
        let second = now.scale(1, 1_000);
        if second != self.second {
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        match self.count {
            count if count <= FULL_RATE => Some(1),
            count if (count - FULL_RATE).is_multiple_of(SAMPLE_INTERVAL) => Some(SAMPLE_INTERVAL),
            _ => None,
        }
    }
}
