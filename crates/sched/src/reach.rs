//! Tells a host that has lost its links to targets from targets that are down.
//!
//! A host may lose its links to targets while callers, the store and the other hosts still reach
//! it. Each target then looks as if it were down, and without this module the host would refuse
//! what another host could serve. Only another host's word tells the two apart:
//!
//! | observed | consequence |
//! |---|---|
//! | a new connection to a target fails | others are asked to connect to it, once in `ASK_INTERVAL` |
//! | another host connects to it | it is reached by a detour; other targets of its service, as long as they weren't reached directly, are tried both ways at once |
//! | no other host does either | it is down |
//! | a new connection of the host's own is opened | the target is reached directly |
//!
//! Answers on open connections don't count: these may live on while new ones are refused.

use base::{Ms, TargetId};
use std::collections::HashMap;

/// Time between two questions to other hosts about one target: a target that is down stays so for
/// seconds, and each question costs a connection attempt.
const ASK_INTERVAL: Ms = Ms(1_000);
/// Time for which an observation counts.
const MEMORY: Ms = Ms::secs(10);

/// A change of what a host believes of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachEvent {
    /// There are targets that others reach and this host doesn't.
    Lost,
    /// There are none any more.
    Regained,
}

/// How a host reaches the targets of one service.
#[derive(Debug, Default)]
pub struct Reach {
    /// When others were last asked for each target.
    asked: HashMap<TargetId, Ms>,
    /// When each target was last reached directly.
    direct: HashMap<TargetId, Ms>,
    /// When each target was last reached through another host, since the last time directly.
    detours: HashMap<TargetId, Ms>,
    /// Whether [`ReachEvent::Lost`] was told last.
    lost: bool,
}

impl Reach {
    /// Whether a new connection to a target is tried through other hosts, too.
    pub fn needs_detour(&self, now: Ms, target: &TargetId) -> bool {
        let recent = |at: &Ms| now - *at <= MEMORY;
        match self.direct.get(target).is_some_and(recent) {
            true => self.is_lost(now, target),
            false => self.detours.values().any(recent),
        }
    }

    /// Whether this host takes its own links to a target for lost.
    pub fn is_lost(&self, now: Ms, target: &TargetId) -> bool {
        self.detours.get(target).is_some_and(|at| now - *at <= MEMORY)
    }

    /// Records that a connection of the host's own failed. Returns whether to ask others.
    pub fn failed(&mut self, now: Ms, target: &TargetId) -> bool {
        self.direct.remove(target);
        self.asked.retain(|_, at| now - *at < ASK_INTERVAL);
        let ask = !self.asked.contains_key(target);
        if ask {
            self.asked.insert(target.clone(), now);
        }
        ask
    }

    /// Records that the host has opened a connection to a target itself.
    pub fn opened(&mut self, now: Ms, target: &TargetId) -> Option<ReachEvent> {
        self.direct.retain(|_, at| now - *at <= MEMORY);
        self.direct.insert(target.clone(), now);
        self.down(now, target)
    }

    /// Records that another host has opened a connection to a target for this one.
    pub fn detoured(&mut self, now: Ms, target: &TargetId) -> Option<ReachEvent> {
        self.direct.remove(target);
        self.detours.insert(target.clone(), now);
        (!std::mem::replace(&mut self.lost, true)).then_some(ReachEvent::Lost)
    }

    /// Records that no other host reaches a target, either.
    pub fn down(&mut self, now: Ms, target: &TargetId) -> Option<ReachEvent> {
        self.detours.remove(target);
        self.detours.retain(|_, at| now - *at <= MEMORY);
        let regained = self.lost && self.detours.is_empty();
        self.lost = !self.detours.is_empty();
        regained.then_some(ReachEvent::Regained)
    }
}
