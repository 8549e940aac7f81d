//! Shares the connections that a target accepts among all hosts.
//!
//! A target accepts a declared number of connections from all hosts together, fewer while its queue
//! is long, and resets the others after the first request was written. Without this module each host
//! opens a connection for each concurrent request. In a burst most are reset, and the requests on
//! them, which may have run, are lost.
//!
//! No host coordinates the others; resets are the feedback:
//!
//! | observed | consequence |
//! |---|---|
//! | the number of live hosts, see [`FleetSize`] | a base quota of the declared number for each host |
//! | a request waits while the whole quota is in use, and the target has none waiting | one connection more, once in `GROWTH_INTERVAL` |
//! | a new connection is reset | half the quota, not less than the base; no opening for a backoff |
//! | a connection to any target of the service was reset | a host that has connections there opens no more for `SHORT_TIME`, see [`Hold`]: targets with a long queue serve no more requests over more connections |
//! | the base was enough for `DEMAND_MEMORY` | the base quota |
//!
//! A request that finds no connection waits in a [`WaitQueue`].

mod fleet;
mod queue;

pub use self::fleet::FleetSize;
pub use self::queue::{Place, WaitQueue};

use base::Ms;

/// Time between two steps by which a quota grows: resets of the connections of one step are known
/// before the next.
const GROWTH_INTERVAL: Ms = Ms(200);
/// First backoff after a reset: about the time in which a target serves a request.
const FIRST_BACKOFF: Ms = Ms(50);
/// Longest backoff.
const MAX_BACKOFF: Ms = Ms(1_000);
/// Time without a reset after which a target's connections are no longer short. It is longer than
/// the longest backoff, after which the next reset would show.
const SHORT_TIME: Ms = Ms::secs(5);
/// Time for which a quota above the base is kept after it was last needed.
const DEMAND_MEMORY: Ms = Ms::secs(5);
/// Part of the quota (numerator and denominator) up to which new connections need no proof.
const UNPROVED_PART: (u32, u32) = (3, 4);

/// A change of whether a target resets new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// It has reset a new connection, for the first time in a while.
    Short,
    /// It has reset none for a while.
    Restored,
}

/// Whether a host opens more connections to the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hold {
    until: Ms,
}

impl Hold {
    /// Whether a host that has `open` connections to all targets of the service may open another to
    /// a target that has reported `queued` waiting requests, and runs `slots` at once.
    pub fn may_open(&self, now: Ms, open: u32, queued: u32, slots: u32) -> bool {
        open == 0 || (now >= self.until && queued < slots.max(1))
    }

    /// Whether a new connection was reset lately, at any target of the service.
    pub fn is_active(&self, now: Ms) -> bool {
        now < self.until
    }

    /// Records that a new connection was reset.
    pub fn reset(&mut self, now: Ms) {
        self.until = now + SHORT_TIME;
    }
}

/// A host's quota of the connections to one target.
#[derive(Clone, Debug)]
pub struct Quota {
    declared: u32,
    base: u32,
    /// Connections beyond the base.
    extra: u32,
    /// When it last grew, or requests began to wait.
    grown: Ms,
    /// When a request last waited.
    wanted: Ms,
    /// Whether the target has answered a request since `grown`.
    answered: bool,
    /// When more than the base was last in use.
    needed: Ms,
    /// When a connection was last reset, while the connections are short.
    reset: Option<Ms>,
    /// No connection is opened before this time.
    resume: Ms,
    backoff: Ms,
}

impl Default for Quota {
    /// The smallest quota, until [`Quota::share`] sets one.
    fn default() -> Self {
        Self {
            declared: 1,
            base: 1,
            extra: 0,
            grown: Ms::ZERO,
            wanted: Ms::ZERO,
            answered: false,
            needed: Ms::ZERO,
            reset: None,
            resume: Ms::ZERO,
            backoff: FIRST_BACKOFF,
        }
    }
}

impl Quota {
    /// Sets the base quota: the equal share of one of `hosts` in the connections that the target
    /// accepts, at least one.
    pub fn share(&mut self, declared: u32, hosts: u32) {
        self.declared = declared.max(1);
        self.base = (declared / hosts.max(1)).max(1);
        self.extra = self.extra.min(self.declared - self.base);
    }

    /// Connections that this host may have open.
    pub fn size(&self) -> u32 {
        self.base + self.extra
    }

    /// Whether the target has lately reset new connections.
    pub fn is_short(&self) -> bool {
        self.reset.is_some()
    }

    /// Whether a connection may be opened in addition to `open` ones.
    pub fn may_open(&self, now: Ms, open: u32) -> bool {
        now >= self.resume && open < self.size()
    }

    /// Whether a new connection must prove that the target accepts it before it carries a request
    /// that is unsafe to retry. `open` includes the new one, `queued` is the number of requests that
    /// wait at the target, if it has told lately. Unless it told that none waits, it may have begun
    /// to reset connections, and the first reset must not cost a request.
    pub fn needs_proof(&self, open: u32, queued: Option<u32>) -> bool {
        let (part, whole) = UNPROVED_PART;
        self.is_short() || queued != Some(0) || open * whole > self.size() * part
    }

    /// Records that a request waits while `open` connections are in use. `queued` is the number of
    /// requests that wait at the target itself. If there are any, more connections serve no more
    /// requests, and the quotas of all hosts would grow together.
    pub fn wanted(&mut self, now: Ms, open: u32, queued: u32) {
        // A burst that is over within an interval needs no more connections.
        if now - self.wanted >= GROWTH_INTERVAL {
            (self.grown, self.answered) = (now, false);
        }
        self.wanted = now;
        let used_up = open >= self.size() && self.size() < self.declared;
        // A target that answers nothing may have a long queue that it can't tell of.
        let fast = self.answered && queued == 0;
        if !used_up || !fast || self.is_short() || now - self.grown < GROWTH_INTERVAL {
            return;
        }
        self.extra += 1;
        (self.grown, self.needed, self.answered) = (now, now, false);
    }

    /// Records that a connection was taken, the last of `in_use`.
    pub fn taken(&mut self, now: Ms, in_use: u32) {
        if in_use > self.base {
            self.needed = now;
        }
    }

    /// Records that a new connection was reset. `draw` is any number that differs between hosts, so
    /// that they don't all open again at the same moment.
    pub fn reset(&mut self, now: Ms, draw: u64) -> Option<ConnectionEvent> {
        let event = (!self.is_short()).then_some(ConnectionEvent::Short);
        self.reset = Some(now);
        // Connections that were opened together and reset together are one step.
        if now >= self.resume {
            self.extra = (self.size() / 2).saturating_sub(self.base);
            let half = self.backoff.scale(1, 2);
            self.resume = now + half + Ms(draw % (half.0 + 1));
            self.backoff = self.backoff.scale(2, 1).min(MAX_BACKOFF);
        }
        event
    }

    /// Records that the target has answered a request.
    pub fn answered(&mut self) {
        self.answered = true;
    }

    /// Records that a new connection has carried its first answer.
    pub fn proved(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }

    /// Drops a quota above the base that is no longer needed, and ends a shortage of connections
    /// after `SHORT_TIME` without a reset.
    pub fn settle(&mut self, now: Ms) -> Option<ConnectionEvent> {
        if now - self.needed >= DEMAND_MEMORY {
            self.extra = 0;
        }
        self.reset.filter(|at| now - *at >= SHORT_TIME)?;
        self.reset = None;
        self.backoff = FIRST_BACKOFF;
        Some(ConnectionEvent::Restored)
    }
}
