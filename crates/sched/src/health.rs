//! Rates each target by the outcomes of the requests sent to it.
//!
//! A target may be down, unreachable, slow or failing a part of its requests while its own health
//! check still passes. Without these ratings it would go on getting a fixed part of all work.
//!
//! | observed | consequence |
//! |---|---|
//! | no connection | ejected at once: no request was lost, other targets are tried |
//! | [`MAX_BREAKS`] broken or silent connections in a row | ejected |
//! | a plain request unanswered for long, and no other answer since it was sent | avoided while others answer, except for one request at a time; ejected once that lasts for `MAX_SILENCE` |
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

/// Silence after which a target counts as down. A sound one may be silent for a second or so, and go
/// on.
const MAX_SILENCE: Ms = Ms(2_000);
/// Time for which a silent target is avoided while others answer.
const AVOID_TIME: Ms = Ms(500);
/// Interval between checks whether a silent target answers on a new connection.
const CHECK_INTERVAL: Ms = Ms(1_000);

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

/// What a request without an answer says of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// It is slow: it has answered others in the latter half of the time since this one was sent.
    Slow,
    /// It has answered nothing meanwhile.
    Silent {
        /// Whether it is due to check whether the target answers on a new connection.
        check: bool,
    },
    /// It has answered nothing for longer than a sound target is silent.
    Down,
}

/// A span in which a target answers nothing.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first request without an answer was sent, or the last answer before the silence
    /// came, whichever is later.
    since: Ms,
    /// When a request was last found to be unanswered.
    seen: Ms,
    /// When a check was last due.
    checked: Ms,
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
    answered: Option<Ms>,
    silence: Option<Silence>,
}

impl Health {
    /// Records the outcome of one request.
    pub fn record(&mut self, now: Ms, outcome: Outcome) {
        self.trial_running = false;
        if matches!(outcome, Outcome::Good(_) | Outcome::Failed | Outcome::Full) {
            self.answered = Some(now);
            self.silence = None;
        }
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

    /// Records that a request that was sent at `sent` has no answer yet.
    pub fn unanswered(&mut self, now: Ms, sent: Ms) -> Unanswered {
        // It may have fallen silent just after it got the request.
        let half = sent + (now - sent).scale(1, 2);
        if self.answered_since(half) {
            return Unanswered::Slow;
        }
        // Between two that are far apart, the target may just have had no request.
        let joins = |s: &Silence| self.ejections > 0 || sent - s.seen <= MAX_SILENCE;
        let old = self.silence.filter(joins);
        let begun = self.answered.map_or(sent, |at| at.max(sent));
        let check = old.is_none_or(|s| now - s.checked >= CHECK_INTERVAL);
        let since = old.map_or(begun, |s| s.since.min(begun));
        let checked = old.filter(|_| !check).map_or(now, |s| s.checked);
        self.silence = Some(Silence { since, seen: now, checked });
        match now - since >= MAX_SILENCE {
            true => Unanswered::Down,
            false => Unanswered::Silent { check },
        }
    }

    /// Like [`Self::unanswered`], for a request that was given up. It counts as a failure unless the
    /// target is down, which the caller records.
    pub fn given_up(&mut self, now: Ms, sent: Ms) -> Unanswered {
        let unanswered = self.unanswered(now, sent);
        if unanswered != Unanswered::Down {
            self.update_failure_rate(now, 1.0);
        }
        unanswered
    }

    /// Whether it has answered a request after this time.
    pub fn answered_since(&self, time: Ms) -> bool {
        self.answered.is_some_and(|at| at > time)
    }

    /// Whether the target is silent, and other targets should get its requests if they answer.
    pub fn avoided(&self, now: Ms) -> bool {
        self.silence.is_some_and(|s| self.trial_running || now - s.seen < AVOID_TIME)
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
        self.trial_running = self.ejected.is_some() || self.silence.is_some();
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
        self.silence = None;
    }
}
