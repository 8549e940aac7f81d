//! *Poison*: requests that crash the targets that run them.
//!
//! Answers: one request that brings down each target in turn, sent again by its caller at any
//! host. Without it a single caller takes a whole service down for seconds at a time.
//!
//! A request is known by its route, path, workspace and body, since a re-send has an identifier of
//! its own. A broken connection is evidence only: it may be a lost link. So a request is held for
//! poison after [`SUSPECT`] breaks at different targets, or different lives of one, with no good
//! answer in between, and other hosts are told of each break. A target that crashed starts another
//! life; one whose link breaks again and again doesn't.
//!
//! In a small fleet all hosts are told of each break. In a large one the crash of a few dozen
//! engines, with a handful of requests each, would have every host tell every other at the same
//! moment, some ten thousand messages, and hold up the requests that are to be sent again. There
//! one host counts the breaks of a request, and tells all others from the second on.

use base::{Ms, TargetId};
use std::collections::HashMap;

/// Different targets that must break under a request. One or two breaks happen to sound requests
/// when targets crash for their own reasons; a third within [`MEMORY`] hardly does.
pub const SUSPECT: usize = 3;
/// How long breaks are remembered, ms: longer than a crashed target takes to come back and the
/// caller takes to try again.
pub const MEMORY: Ms = Ms::secs(60);
/// Most requests that are remembered; beyond, the oldest go. About 100 bytes each.
const MOST: usize = 4_096;

/// Hosts of a fleet in which all are told of each break.
const SMALL_FLEET: usize = 24;
/// Breaks of one request of which all hosts of a larger fleet are told: one happens to each sound
/// request whose target crashes, two hardly do.
const TOLD_TO_ALL: usize = 2;

/// Who is told of a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All hosts.
    All,
    /// The host that counts the request's breaks.
    Counter,
}

/// Who is told that `breaks` targets have broken under a request, in a fleet of so many hosts.
pub fn recipients(hosts: usize, breaks: usize) -> Recipients {
    match hosts <= SMALL_FLEET || breaks >= TOLD_TO_ALL {
        true => Recipients::All,
        false => Recipients::Counter,
    }
}

#[derive(Debug, Default)]
struct Breaks {
    last: Ms,
    targets: Vec<TargetId>,
}

/// Breaks by request.
#[derive(Debug, Default)]
pub struct Poison {
    breaks: HashMap<u64, Breaks>,
}

impl Poison {
    /// A target, in this life, broke the connection while it owed the answer to this request. Says
    /// whether that is news.
    pub fn record(&mut self, now: Ms, fingerprint: u64, target: &TargetId) -> bool {
        self.forget(now);
        let breaks = self.breaks.entry(fingerprint).or_default();
        breaks.last = now;
        if breaks.targets.contains(target) || breaks.targets.len() >= SUSPECT {
            return false;
        }
        breaks.targets.push(target.clone());
        true
    }

    /// The request had a good answer: what broke before was not its doing.
    pub fn clear(&mut self, fingerprint: u64) {
        self.breaks.remove(&fingerprint);
    }

    /// Whether the request must not be sent any more.
    pub fn is_poison(&self, now: Ms, fingerprint: u64) -> bool {
        let known = self.breaks.get(&fingerprint);
        known.is_some_and(|b| b.targets.len() >= SUSPECT && now - b.last <= MEMORY)
    }

    /// Targets that broke under the request.
    pub fn broken(&self, fingerprint: u64) -> &[TargetId] {
        self.breaks.get(&fingerprint).map_or(&[], |b| b.targets.as_slice())
    }

    fn forget(&mut self, now: Ms) {
        if self.breaks.len() < MOST {
            return;
        }
        self.breaks.retain(|_, b| now - b.last <= MEMORY);
        while self.breaks.len() >= MOST {
            let oldest = self.breaks.iter().min_by_key(|(_, b)| b.last).map(|(f, _)| *f);
            let Some(oldest) = oldest else { return };
            self.breaks.remove(&oldest);
        }
    }
}
