//! Rates each target by the outcomes of the requests sent to it.
//!
//! A target may be down, unreachable, slow or failing a part of its requests while its own health
//! check still passes. Without these ratings it would go on getting a fixed part of all work.
//!
//! | observed | consequence |
//! |---|---|
//! | no connection | ejected at once: no request was lost, other targets are tried |
//! | [`MAX_BREAKS`] broken or silent connections in a row | ejected |
//! | the ejection ends | one trial request; if it fails, the next ejection lasts twice as long |
//! | failed responses | a higher cost in proportion to their share: the target gets less work, but some |

use base::Ms;

/// Broken or silent connections in a row after which a target is ejected. A single one may be
/// caused by the network link or by the request itself.
pub const MAX_BREAKS: u32 = 2;
/// First ejection: about the time that a process takes to restart.
const FIRST_EJECTION: Ms = Ms(500);
/// Longest ejection: a crashed target is back within a few seconds.
const MAX_EJECTION: Ms = Ms(4_000);
/// Weight of a new response in the failure rate: about the last twenty responses count.
const FAILURE_WEIGHT: f64 = 0.05;
/// Weight of a new response in the latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate while no response arrives, ms, so that a target that gets no
/// requests is tried again.
const FAILURE_HALF_LIFE: f64 = 3_000.0;

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A valid response after this time.
    Good(Ms),
    /// The target responded that it failed.
    Failed,
    /// The target is full and did not run the request.
    Full,
    /// No connection could be made.
    NoConnection,
    /// The connection broke, or the response was malformed.
    Broken,
    /// No response arrived before the time-out.
    Silent,
}

/// What a host knows about the health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    broken_in_row: u32,
    ejections: u32,
    ejected: Option<Ms>,
    trial_running: bool,
    failure_rate: f64,
    failure_rate_at: Ms,
    latency: Option<f64>,
}

impl Health {
    /// Records the outcome of one request.
    pub fn record(&mut self, now: Ms, outcome: Outcome) {
        self.trial_running = false;
        match outcome {
            Outcome::Good(took) => {
                self.recover();
                self.update_failure_rate(now, 0.0);
                let took = took.0 as f64;
                self.latency = Some(self.latency.map_or(took, |t| t + LATENCY_WEIGHT * (took - t)));
            }
            Outcome::Failed => {
                self.broken_in_row = 0;
                self.update_failure_rate(now, 1.0);
            }
            Outcome::Full => {}
            Outcome::NoConnection => self.eject(now),
            Outcome::Broken | Outcome::Silent => {
                self.update_failure_rate(now, 1.0);
                self.broken_in_row += 1;
                if self.broken_in_row >= MAX_BREAKS || self.ejections > 0 {
                    self.eject(now);
                }
            }
        }
    }

    /// Records that a request is over, whether its outcome was recorded or not.
    pub fn end(&mut self) {
        self.trial_running = false;
    }

    /// Ends an ejection: the failures were due to this host's own links.
    pub fn reinstate(&mut self) {
        self.recover();
    }

    /// Whether the target may get a request now: it is not ejected, or its trial request is due.
    pub fn usable(&self, now: Ms) -> bool {
        match self.ejected {
            Some(until) => now >= until && !self.trial_running,
            None => true,
        }
    }

    /// Whether the next request is a trial after an ejection.
    pub fn on_trial(&self) -> bool {
        self.ejected.is_some()
    }

    /// Records that a request is being sent.
    pub fn begin(&mut self) {
        self.trial_running = self.ejected.is_some();
    }

    /// End of the ejection, if the target is ejected.
    pub fn ejected_until(&self) -> Option<Ms> {
        self.ejected
    }

    /// Share of recent responses that were failures, 0 to 1.
    pub fn failure_rate(&self, now: Ms) -> f64 {
        self.failure_rate * 0.5f64.powf((now - self.failure_rate_at).0 as f64 / FAILURE_HALF_LIFE)
    }

    /// Moving average of the response time, ms; none before the first response.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }

    fn update_failure_rate(&mut self, now: Ms, failed: f64) {
        let old = self.failure_rate(now);
        self.failure_rate = old + FAILURE_WEIGHT * (failed - old);
        self.failure_rate_at = now;
    }

    fn eject(&mut self, now: Ms) {
        let span = FIRST_EJECTION.scale(1 << self.ejections.min(8), 1).min(MAX_EJECTION);
        self.ejections += 1;
        self.broken_in_row = 0;
        self.ejected = Some(now + span);
    }

    fn recover(&mut self) {
        self.broken_in_row = 0;
        self.ejections = 0;
        self.ejected = None;
    }
}
