//! The millisecond time type and the clocks that produce it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a span, in whole milliseconds.
///
/// Points count from the Unix epoch. Subtraction saturates at zero: with a clock that steps back,
/// it would otherwise underflow and turn a short wait into one of centuries.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ms(pub u64);

impl Ms {
    /// The Unix epoch as a point, or an empty span.
    pub const ZERO: Self = Self(0);
    /// Later than any point in use.
    pub const MAX: Self = Self(u64::MAX);

    /// A span of whole seconds.
    pub const fn secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// This span times `num / den`, rounded down. `den` must not be zero.
    pub const fn scale(self, num: u64, den: u64) -> Self {
        Self(((self.0 as u128 * num as u128) / den as u128) as u64)
    }

    /// The span as the standard library's type, for timers.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Ms {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Ms {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Ms {
    type Output = Self;
    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A source of the current time.
pub trait Clock: Send + Sync {
    /// Milliseconds since the Unix epoch. Never goes back within one process.
    fn now(&self) -> Ms;
}

/// Wall-clock time, read once at start and advanced by the monotonic clock.
///
/// If the wall clock were read each time and stepped back, deadlines that have passed would be in
/// the future again.
#[derive(Debug)]
pub struct SystemClock {
    epoch: Ms,
    start: Instant,
}

impl SystemClock {
    /// Reads the wall clock once.
    pub fn new() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { epoch: Ms(elapsed.as_millis() as u64), start: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Ms {
        self.epoch + Ms(self.start.elapsed().as_millis() as u64)
    }
}

/// Wall-clock time, read once at start and advanced by the boot-time clock, which also counts the
/// time that the machine is suspended.
///
/// The monotonic clock stops during suspension. With it, a host's data would look as fresh after
/// resuming as before, although keys were revoked and targets left in the meantime.
#[derive(Debug)]
pub struct BootClock {
    epoch: Ms,
    start: Ms,
}

impl BootClock {
    /// Reads the wall clock once.
    pub fn new() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { epoch: Ms(elapsed.as_millis() as u64), start: boot_time() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Ms {
        self.epoch + (boot_time() - self.start)
    }
}

fn boot_time() -> Ms {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Ms(now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000)
}

/// A clock that a test or simulation sets explicitly.
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Starts at `now`.
    pub fn new(now: Ms) -> Self {
        Self(AtomicU64::new(now.0))
    }

    /// Advances to `now`; an earlier point is ignored.
    pub fn set(&self, now: Ms) {
        self.0.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Advances by `span`.
    pub fn advance(&self, span: Ms) {
        self.0.fetch_add(span.0, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Ms {
        Ms(self.0.load(Ordering::Relaxed))
    }
}
