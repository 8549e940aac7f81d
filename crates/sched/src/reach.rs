//! Tells a host that can't reach the targets of a service from targets that are down.
//!
//! A host may lose its links to targets while callers, the store and the other hosts still reach
//! it. Each target then looks as if it were down, and without this module the host would refuse
//! what another host could serve. Targets that are down look the same, but seldom all at once:
//!
//! | observed | consequence |
//! |---|---|
//! | new connections fail at [`CUT_TARGETS`] targets of a service, or at all if it has fewer, within [`CUT_WINDOW`] | the host takes itself for cut off from the service |
//! | one new connection of its own is opened | it no longer does |
//!
//! Answers on open connections don't count: these may live on while new ones are refused.
//!
//! Where all targets of a service are really down, the host is wrong, and pays for it with an
//! attempt through another host.

use base::{Ms, TargetId};
use std::collections::HashMap;

/// Targets at which new connections fail before a host takes itself for cut off. Two targets often
/// crash together.
const CUT_TARGETS: usize = 3;
/// Time within which these connections fail. With a time-out of some 300 ms each, one request after
/// the other finds three such targets within it.
const CUT_WINDOW: Ms = Ms(3_000);

/// A change of what a host believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachEvent {
    /// The targets of the service can't be reached from here.
    Lost,
    /// One of them was reached.
    Regained,
}

/// Whether a host reaches the targets of one service, by the outcome of its new connections.
#[derive(Debug, Default)]
pub struct Reach {
    failed: HashMap<TargetId, Ms>,
    cut: bool,
}

impl Reach {
    /// Whether the host takes itself for cut off from the service. A belief that no failure has
    /// confirmed for a while is too old to act on.
    pub fn is_cut(&self, now: Ms) -> bool {
        self.cut && self.failed.values().any(|at| now - *at <= CUT_WINDOW)
    }

    /// Records that the host has opened a connection to a target itself.
    pub fn opened(&mut self) -> Option<ReachEvent> {
        self.failed.clear();
        std::mem::take(&mut self.cut).then_some(ReachEvent::Regained)
    }

    /// Records that the host could not open one. `known` is the number of the service's targets.
    pub fn failed(&mut self, now: Ms, target: &TargetId, known: usize) -> Option<ReachEvent> {
        self.failed.insert(target.clone(), now);
        self.failed.retain(|_, at| now - *at <= CUT_WINDOW);
        if self.cut || self.failed.len() < CUT_TARGETS.min(known) {
            return None;
        }
        self.cut = true;
        Some(ReachEvent::Lost)
    }
}
