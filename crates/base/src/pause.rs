//! Measures for how long a process did not run.
//!
//! A host that was kept off the processor hears nothing meanwhile: when it runs again, answers that
//! arrived long ago wait in its sockets, while its own timers are all due. Before it judges others
//! by their silence it has to know how much of that silence was its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Clock, Ms};

/// Interval at which a process that runs calls [`PauseMeter::turn`].
pub const TURN_INTERVAL: Ms = Ms(100);
/// Lateness of a turn that isn't a pause: timers fire a little late on any machine.
const TOLERANCE: Ms = Ms(20);

/// Shortest pause that explains why an answer was not heard in time: several round trips.
const EXCUSE: Ms = Ms(200);

/// Counts the time for which a process did not run, from the lateness of its regular turns.
pub struct PauseMeter {
    clock: Arc<dyn Clock>,
    last: AtomicU64,
    lost: AtomicU64,
    /// End of the last pause that excuses; 0 before the first.
    ended: AtomicU64,
}

impl PauseMeter {
    /// A meter whose first turn is now. The clock should count the time for which the machine was
    /// suspended.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        Self {
            clock,
            last: AtomicU64::new(now.0),
            lost: AtomicU64::new(0),
            ended: AtomicU64::new(0),
        }
    }

    /// Records a turn, to be called every [`TURN_INTERVAL`]. Returns the pause that ends with it, if
    /// there was one.
    pub fn turn(&self) -> Option<Ms> {
        let now = self.clock.now();
        let pause = self.pause_at(now);
        self.last.store(now.0, Ordering::Relaxed);
        self.lost.fetch_add(pause.0, Ordering::Relaxed);
        if pause >= EXCUSE {
            self.ended.store(now.0, Ordering::Relaxed);
        }
        (pause > Ms::ZERO).then_some(pause)
    }

    /// Time for which the process has not run since the meter was created. Includes a pause that
    /// has just ended, whose turn is still to come: which of several due timers runs first is
    /// chance.
    pub fn lost(&self) -> Ms {
        Ms(self.lost.load(Ordering::Relaxed)) + self.pause_at(self.clock.now())
    }

    /// Whether a pause since `lost` was `before` explains why an answer was not heard in time.
    pub fn excuses(&self, before: Ms) -> bool {
        self.lost() - before >= EXCUSE
    }

    /// When the last pause ended that was long enough to excuse; zero before the first. A host that
    /// is short of processor has small pauses all the time, and must not wait after each.
    pub fn ended(&self) -> Ms {
        let now = self.clock.now();
        match self.pause_at(now) >= EXCUSE {
            true => now,
            false => Ms(self.ended.load(Ordering::Relaxed)),
        }
    }

    fn pause_at(&self, now: Ms) -> Ms {
        let late = now - Ms(self.last.load(Ordering::Relaxed)) - TURN_INTERVAL;
        match late > TOLERANCE {
            true => late,
            false => Ms::ZERO,
        }
    }
}
