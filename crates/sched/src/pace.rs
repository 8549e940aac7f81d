//! Tracks how fast targets are at present, as they report it and as it is measured.
//!
//! Targets of a service differ in speed, and the speed of each changes many times a second.
//! Without the reported figure a host learns of a slow target only from its own slow responses,
//! one after the other; with an outdated figure it avoids a target that has long recovered. So the
//! figure counts less as it ages, and measured response times count beside it.

use base::Ms;

/// Time after which a reported pace says nothing more. It changes many times a second, so after
/// half a second the normal or usual pace is the better guess.
pub const DECAY_TIME: Ms = Ms(500);
/// Smallest factor by which a report can shorten an expected response. A target that reports
/// itself a hundred times faster by mistake would otherwise get all requests.
pub const MIN_FACTOR: f64 = 0.5;
/// Measured times count in place of the reported pace if they are this many times longer than it
/// explains. Prompts and pieces differ, so smaller deviations prove nothing.
const MISREPORT_FACTOR: f64 = 1.5;
/// Weight of a new response in the moving averages, the same as in the response time of
/// [`crate::health`], which they belong to.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Slowness that doesn't fade: a target that is slower by this factor is still used when others are
/// half full.
const MILD_FACTOR: f64 = 1.25;
/// Half-life of a greater slowness while no response arrives, ms, so that a target that gets no
/// requests is tried again.
const MEASURED_HALF_LIFE: f64 = 3_000.0;
/// Half-life of the smoothed pace that [`Watch`] compares with its bounds, ms: short peaks, of
/// which there are several a second, aren't logged.
const WATCH_HALF_LIFE: f64 = 500.0;
/// Smoothed pace from which on a target counts as slow, percent.
const SLOW_PERCENT: f64 = 150.0;
/// Smoothed pace from which on a slow target counts as normal again, percent.
const NORMAL_PERCENT: f64 = 120.0;

/// The pace that a target reported: its service time relative to the normal one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    percent: u32,
    at: Ms,
}

impl Pace {
    /// A pace of `percent`, 100 being normal, reported at `at`.
    pub const fn new(percent: u32, at: Ms) -> Self {
        Self { percent, at }
    }

    /// The factor by which the pace lengthens a response that begins now; 1 is normal.
    pub fn factor(&self, now: Ms) -> f64 {
        self.factor_from(now, 1.0)
    }

    /// The same for a target whose factor is assumed to be `usual` once the report is outdated.
    pub fn factor_from(&self, now: Ms, usual: f64) -> f64 {
        let age = (now - self.at).min(DECAY_TIME);
        let trust = 1.0 - age.0 as f64 / DECAY_TIME.0 as f64;
        usual + trust * (self.reported() - usual)
    }

    fn reported(&self) -> f64 {
        (f64::from(self.percent) / 100.0).max(MIN_FACTOR)
    }
}

/// The factor by which a queue lengthens a response at a target with `load` requests. Half full
/// costs little; beyond full, each round of slots costs a whole response time.
pub fn queue_factor(load: u32, slots: u32) -> f64 {
    let rounds = f64::from(load) / f64::from(slots.max(1));
    if rounds < 1.0 { 1.0 + rounds * rounds } else { 1.0 + rounds }
}

/// The pace and queue under which the response times of a target were measured.
///
/// Of hundreds of hosts each hears from a target once in several seconds, so its last report is
/// nearly always outdated. What it reported on average then tells a target that is always slow from
/// a normal one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    mean: Option<Means>,
    at: Ms,
}

/// Moving averages of a target's responses.
#[derive(Clone, Copy, Debug)]
struct Means {
    /// Factor that it reported.
    reported: f64,
    /// Factor under which it served the request.
    effective: f64,
    /// Factor of its queue.
    queue: f64,
}

/// A response with what the target reported.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When its request was sent.
    pub begun: Ms,
    /// The report before the response's own.
    pub before: Option<Pace>,
    /// The report in the response.
    pub pace: Pace,
    /// Factor of the queue, see [`queue_factor`].
    pub queue: f64,
}

impl Response {
    /// The factor under which the request was served. A response that reports a change was served
    /// before it: if it counted under the new pace, its ordinary response time would seem to show
    /// that the target serves requests quickly even so, and the report would have no effect.
    fn effective(&self) -> f64 {
        let own = self.pace.reported();
        self.before.map_or(own, |before| before.factor_from(self.begun, own))
    }
}

impl Usual {
    /// Records a response.
    pub fn record(&mut self, now: Ms, response: &Response) {
        let (reported, effective, queue) =
            (response.pace.reported(), response.effective(), response.queue);
        let mean = self.mean.get_or_insert(Means { reported, effective, queue });
        mean.reported += SAMPLE_WEIGHT * (reported - mean.reported);
        mean.effective += SAMPLE_WEIGHT * (effective - mean.effective);
        mean.queue += SAMPLE_WEIGHT * (queue - mean.queue);
        self.at = now;
    }

    /// Mean factor, from pace and queue. A response time divided by it is that of the idle target at
    /// the normal pace.
    pub fn stretch(&self) -> f64 {
        self.mean.map_or(1.0, |mean| mean.effective * mean.queue)
    }

    /// The factor of its pace that is assumed without a recent report. What exceeds
    /// `MILD_FACTOR` fades while there is no response, so that the target is tried again when
    /// others are half full.
    pub fn pace(&self, now: Ms) -> f64 {
        let mean = self.mean.map_or(1.0, |mean| mean.reported);
        let excess = (mean - MILD_FACTOR).max(0.0);
        mean - excess + excess * half_life(now - self.at, MEASURED_HALF_LIFE)
    }
}

fn half_life(age: Ms, half: f64) -> f64 {
    0.5f64.powf(age.0 as f64 / half)
}

/// Measured slowness of a target: its response times relative to those that are expected at the
/// normal pace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    excess: f64,
    at: Ms,
}

impl Slowness {
    /// Records a response that took `took`, where `expected` is the time at the normal pace.
    pub fn record(&mut self, now: Ms, took: Ms, expected: Ms) {
        let excess = took.0 as f64 / expected.0.max(1) as f64 - 1.0;
        let known = self.factor(now) - 1.0;
        self.excess = known + SAMPLE_WEIGHT * (excess - known);
        self.at = now;
    }

    /// The measured factor; 1 is normal.
    pub fn factor(&self, now: Ms) -> f64 {
        1.0 + self.excess * half_life(now - self.at, MEASURED_HALF_LIFE)
    }
}

/// The factor that counts: the reported one, unless measured times contradict it.
pub fn credible(reported: f64, measured: f64) -> f64 {
    match measured > MISREPORT_FACTOR * reported {
        true => measured,
        false => reported,
    }
}

/// A change in what a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceEvent {
    /// It became slow.
    Slowed,
    /// It is back to normal.
    Recovered,
}

/// Tells when a target becomes slow, and normal again, by what it reports.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    smoothed: f64,
    at: Option<Ms>,
    slow: bool,
}

impl Default for Watch {
    fn default() -> Self {
        Self { smoothed: 100.0, at: None, slow: false }
    }
}

impl Watch {
    /// Takes a reported pace in percent. Returns a change, if it is one.
    pub fn observe(&mut self, now: Ms, percent: u32) -> Option<PaceEvent> {
        let age = self.at.map_or(Ms::ZERO, |at| now - at);
        let keep = half_life(age, WATCH_HALF_LIFE);
        self.smoothed = keep * self.smoothed + (1.0 - keep) * f64::from(percent);
        self.at = Some(now);
        match self.slow {
            false if self.smoothed >= SLOW_PERCENT => {
                self.slow = true;
                Some(PaceEvent::Slowed)
            }
            true if self.smoothed <= NORMAL_PERCENT => {
                self.slow = false;
                Some(PaceEvent::Recovered)
            }
            _ => None,
        }
    }

    /// The smoothed pace, percent.
    pub fn percent(&self) -> u32 {
        self.smoothed as u32
    }
}
