//! *Sample*: which ordinary successes get a log line of their own.
//!
//! Answers: a burst in which each answer writes lines. Without it logs take the processor's time
//! when it is needed most, and push each other out of the reader's window. Failures don't come
//! this way: they are kept up to the rate that the writer's queue takes.

use base::Ms;

/// Lines a second that are always written; one takes about 20 µs, so this is a twentieth of a
/// percent of a core.
const RATE: u64 = 25;
/// Beyond that, one in this many.
const ONE_IN: u64 = 16;

/// Chooses the lines of one host.
#[derive(Debug, Default)]
pub struct Sampler {
    second: Ms,
    count: u64,
}

impl Sampler {
    /// Whether this success is written; if so, how many it stands for.
    pub fn take(&mut self, now: Ms) -> Option<u64> {
        let second = now.scale(1, 1_000);
        if second != self.second {
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        match self.count {
            count if count <= RATE => Some(1),
            count if (count - RATE).is_multiple_of(ONE_IN) => Some(ONE_IN),
            _ => None,
        }
    }
}
