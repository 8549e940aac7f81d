//! *Health*: what a target's answers say of it.
//!
//! Answers: a target that is down, dark, slow or fails a part of its requests while its own health
//! check is good. Without it a fixed part of all work goes on flowing to it.
//!
//! | seen | what follows |
//! |---|---|
//! | no connection | ejected at once: nothing was lost, others are tried |
//! | [`BREAKS`] broken or silent connections in a row | ejected |
//! | end of the ejection | one trial; a failure doubles the next ejection |
//! | failures among the answers | a higher cost, by their share: it gets less, not nothing |

use base::Ms;

/// Broken or silent connections in a row that eject: one may be the link's or the request's own.
pub const BREAKS: u32 = 2;
/// First ejection, ms: about the time a process takes to start again.
const EJECT: Ms = Ms(500);
/// Longest ejection, ms: a crashed target is back within some seconds.
const EJECT_MOST: Ms = Ms(4_000);
/// Weight of a new answer in the share of failures: twenty answers are remembered.
const FAIL_WEIGHT: f64 = 0.05;
/// Weight of a new answer in the typical time.
const TIME_WEIGHT: f64 = 0.15;
/// Time after which an old share of failures has halved without any answer, ms, so that a target
/// that is passed over gets another chance.
const FAIL_HALF: f64 = 3_000.0;

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A sound answer after this long, ms.
    Good(Ms),
    /// The target answered that it failed.
    Failed,
    /// The target is full and did not run it.
    Full,
    /// No connection could be made.
    NoConnection,
    /// The connection broke, or what came made no sense.
    Broken,
    /// Nothing came for too long.
    Silent,
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    breaks: u32,
    ejections: u32,
    ejected: Option<Ms>,
    trial: bool,
    fails: f64,
    fails_at: Ms,
    time: Option<f64>,
}

impl Health {
    /// Takes the end of one send.
    pub fn record(&mut self, now: Ms, outcome: Outcome) {
        self.trial = false;
        match outcome {
            Outcome::Good(took) => {
                self.recover();
                self.fail(now, 0.0);
                let took = took.0 as f64;
                self.time = Some(self.time.map_or(took, |t| t + TIME_WEIGHT * (took - t)));
            }
            Outcome::Failed => {
                self.breaks = 0;
                self.fail(now, 1.0);
            }
            Outcome::Full => {}
            Outcome::NoConnection => self.eject(now),
            Outcome::Broken | Outcome::Silent => {
                self.fail(now, 1.0);
                self.breaks += 1;
                if self.breaks >= BREAKS || self.ejections > 0 {
                    self.eject(now);
                }
            }
        }
    }

    /// Whether it may get work now: it isn't ejected, or its trial is due.
    pub fn usable(&self, now: Ms) -> bool {
        match self.ejected {
            Some(until) => now >= until && !self.trial,
            None => true,
        }
    }

    /// Whether the next send is a trial after an ejection.
    pub fn on_trial(&self) -> bool {
        self.ejected.is_some()
    }

    /// A send begins.
    pub fn begin(&mut self) {
        self.trial = self.ejected.is_some();
    }

    /// Until when it is ejected.
    pub fn ejected_until(&self) -> Option<Ms> {
        self.ejected
    }

    /// Share of its answers that failed lately, 0 to 1.
    pub fn failure_rate(&self, now: Ms) -> f64 {
        self.fails * 0.5f64.powf((now - self.fails_at).0 as f64 / FAIL_HALF)
    }

    /// Typical time of an answer, ms; none before the first.
    pub fn latency(&self) -> Option<f64> {
        self.time
    }

    fn fail(&mut self, now: Ms, failed: f64) {
        let old = self.failure_rate(now);
        self.fails = old + FAIL_WEIGHT * (failed - old);
        self.fails_at = now;
    }

    fn eject(&mut self, now: Ms) {
        let span = EJECT.scale(1 << self.ejections.min(8), 1).min(EJECT_MOST);
        self.ejections += 1;
        self.breaks = 0;
        self.ejected = Some(now + span);
    }

    fn recover(&mut self) {
        self.breaks = 0;
        self.ejections = 0;
        self.ejected = None;
    }
}
