//! What one target reports about its load and pace, and how its measured times compare.

use base::Ms;
use sched::pace::{self, Pace, Response, Slowness, Usual, Watch};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::dialect::Load;

/// Age up to which the load that a target reported is used: in this time about half of what it runs
/// is done.
const LOAD_MAX_AGE: Ms = Ms(500);

/// The reports of one target.
#[derive(Default)]
pub(crate) struct Reports {
    latest: Mutex<Latest>,
    /// Requests of this host that began since the last report.
    unreported: AtomicU32,
    speed: Mutex<Speed>,
}

/// The latest reports, each with its time.
#[derive(Clone, Copy, Default)]
struct Latest {
    last: Option<(Ms, Load)>,
    before: Option<(Ms, Load)>,
}

/// How fast a target is, by its reports and by measured response times.
#[derive(Default)]
pub(crate) struct Speed {
    /// Tells when it becomes slow by its reports.
    pub(crate) watch: Watch,
    /// Under which pace and queue its response times were measured.
    pub(crate) usual: Usual,
    /// For engines: its times to the first event, relative to the expected ones.
    pub(crate) slowness: Slowness,
}

impl Reports {
    /// Sets the load that the target reported.
    pub(crate) fn set(&self, now: Ms, load: Load) {
        {
            let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
            *latest = Latest { last: Some((now, load)), before: latest.last };
        }
        self.unreported.store(0, Ordering::Relaxed);
    }

    /// Records that a request to it begins.
    pub(crate) fn begin(&self) {
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }

    /// The pace that it reported last; none if its last report had none.
    pub(crate) fn pace(&self) -> Option<Pace> {
        reported_pace(self.latest().last)
    }

    /// How fast it is.
    pub(crate) fn speed(&self) -> MutexGuard<'_, Speed> {
        self.speed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of requests that it runs or has queued, as far as is known. `open` of them are this
    /// host's.
    pub(crate) fn load(&self, now: Ms, open: u32) -> u32 {
        self.fresh(now).map_or(open, |load| open.max(load.running + load.waiting))
    }

    /// The same, with the requests that this host sent since the last report.
    pub(crate) fn expected_load(&self, now: Ms, open: u32) -> u32 {
        let sent = self.unreported.load(Ordering::Relaxed);
        self.fresh(now).map_or(open, |load| open.max(load.running + load.waiting + sent))
    }

    /// Number of requests that it has waiting, as it last reported; none if that is too long ago.
    pub(crate) fn queued(&self, now: Ms) -> Option<u32> {
        self.fresh(now).map(|load| load.waiting)
    }

    /// Records under which pace and queue the response time `took` was measured. The target has
    /// `slots`.
    pub(crate) fn record_response(&self, now: Ms, took: Ms, slots: u32) {
        let Latest { last, before } = self.latest();
        let (Some(pace), Some((_, load))) = (reported_pace(last), last) else { return };
        let queue = pace::queue_factor(load.running + load.waiting, slots);
        let response = Response { begun: now - took, before: reported_pace(before), pace, queue };
        self.speed().usual.record(now, &response);
    }

    fn latest(&self) -> Latest {
        *self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fresh(&self, now: Ms) -> Option<Load> {
        self.latest().last.filter(|(at, _)| now - *at <= LOAD_MAX_AGE).map(|(_, load)| load)
    }
}

/// The pace in a report; none if it has none.
fn reported_pace(report: Option<(Ms, Load)>) -> Option<Pace> {
    let (at, load) = report?;
    Some(Pace::new(load.pace?, at))
}
