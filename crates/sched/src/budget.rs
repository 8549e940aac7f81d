//! Limits how many retries a service gets from this host.
//!
//! When targets fail under high traffic, unlimited retries would turn every failed request into two
//! or three, and overload a service that was nearly full.
//!
//! The retry budget is defined for the fleet: a ratio of the requests in a window plus a fixed
//! slack. A host knows only its own requests, so it spends the ratio of these and its share of the
//! slack; the shares of all hosts add up to the whole. Hosts that can't see each other would each
//! take a larger share, so the slack is divided by the largest number of hosts that were ever seen
//! alive at once.
//!
//! The budget holds for the sum of a host's processes, too. One that has just started knows neither
//! what its predecessor has spent within the window nor how many hosts there are. If it took a
//! share as usual, a fleet that is restarted while its targets turn requests away would spend the
//! budget once more with each restart. So for its first window it spends only what no process
//! spends otherwise, `YOUNG_SHARE` of the ratio: together with a predecessor that has spent all
//! it could, that is the ratio of the requests of both.
//!
//! Targets count a retry when they read it. A stopped process reads late what was sent early, so
//! retries that count from their sending would be free again, and be spent elsewhere, within a window
//! of their arrival. A retry counts from when it is taken until a window after its target is shown to
//! have read it.

use base::{Ms, PoolId};
use std::collections::{HashMap, VecDeque};

/// Part of the budget that is spent. The rest covers retries in flight when a window slides, and
/// hosts that have just started and know too few of the others.
const USABLE_SHARE: f64 = 0.8;

/// Part of the ratio that a process spends while its predecessor may have spent within the window:
/// the rest.
const YOUNG_SHARE: f64 = 1.0 - USABLE_SHARE;

/// Who spends the budget of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spender {
    /// The hosts of its requests.
    Requests,
    /// The hosts that compose its calls, for pieces that they send again.
    Composers,
    /// The hosts of its requests, for pieces that they hand to a composer again.
    Submitters,
}

impl Spender {
    /// The part that it spends of what may be spent. The parts of composers and submitters add up to
    /// the whole. Composers send pieces again far more often.
    const fn part(self) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Composers => 0.75,
            Self::Submitters => 0.25,
        }
    }
}

/// What is known of the retries that this host sent before its process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Past {
    /// It sent none: the whole fleet starts for the first time.
    None,
    /// It may have sent some until its process started, at this time.
    Unknown(Ms),
}

/// The retry budget of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window in addition to that.
    pub slack: f64,
    /// Length of a window.
    pub window: Ms,
}

/// Requests to one service within the window.
#[derive(Debug, Default)]
struct Recent {
    requests: VecDeque<Ms>,
    /// Number of retries that targets may still have to read.
    unread: usize,
    /// When the others were read at the latest.
    read: VecDeque<Ms>,
}

/// This host's share of the budget.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    past: Past,
    spender: Spender,
    hosts: usize,
    recent: HashMap<PoolId, Recent>,
}

impl RetryBudget {
    /// The budget of a host that knows no other yet, for requests.
    pub fn new(allowance: Allowance, past: Past) -> Self {
        Self::of(Spender::Requests, allowance, past)
    }

    /// The same for any spender.
    pub fn of(spender: Spender, allowance: Allowance, past: Past) -> Self {
        Self { allowance, past, spender, hosts: 1, recent: HashMap::new() }
    }

    /// Changes the allowance. What has been spent still counts.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Records that `live` hosts are alive, this one included.
    pub fn hosts(&mut self, live: usize) {
        self.hosts = self.hosts.max(live);
    }

    /// The number of hosts among which the slack is divided.
    pub fn shares(&self) -> usize {
        self.hosts
    }

    /// Records that a request for the service arrived.
    pub fn request(&mut self, now: Ms, service: &PoolId) {
        self.recent(now, service).requests.push_back(now);
    }

    /// Whether there is a retry left.
    pub fn has_left(&mut self, now: Ms, service: &PoolId) -> bool {
        let Allowance { ratio, slack, window } = self.allowance;
        let share = slack / self.hosts as f64;
        let (past, part) = (self.past, self.spender.part());
        let recent = self.recent(now, service);
        let earned = ratio * recent.requests.len() as f64;
        let limit = match past {
            Past::Unknown(until) if now - until <= window => YOUNG_SHARE * earned,
            Past::Unknown(_) | Past::None => USABLE_SHARE * (earned + share),
        };
        (recent.unread + recent.read.len() + 1) as f64 <= part * limit
    }

    /// Takes one retry from the budget, if there is one left. It counts until [`Self::read`] and a
    /// window more.
    pub fn send(&mut self, now: Ms, service: &PoolId) -> bool {
        let left = self.has_left(now, service);
        if left {
            self.recent(now, service).unread += 1;
        }
        left
    }

    /// The same for a retry that its target reads at once.
    pub fn take(&mut self, now: Ms, service: &PoolId) -> bool {
        let left = self.send(now, service);
        if left {
            self.read(now, service, 1);
        }
        left
    }

    /// Records that targets have read this number of retries by now.
    pub fn read(&mut self, now: Ms, service: &PoolId, retries: usize) {
        let recent = self.recent(now, service);
        recent.unread = recent.unread.saturating_sub(retries);
        recent.read.extend(std::iter::repeat_n(now, retries));
    }

    /// Gives back this number of retries, which were not sent.
    pub fn give_back(&mut self, now: Ms, service: &PoolId, retries: usize) {
        let recent = self.recent(now, service);
        recent.unread = recent.unread.saturating_sub(retries);
    }

    fn recent(&mut self, now: Ms, service: &PoolId) -> &mut Recent {
        let window = self.allowance.window;
        let recent = self.recent.entry(service.clone()).or_default();
        for times in [&mut recent.requests, &mut recent.read] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
        recent
    }
}
