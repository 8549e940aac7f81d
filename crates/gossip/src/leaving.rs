//! Targets that are leaving, whoever said so first.
//!
//! Of two words on one target the one with the higher `since_ms` wins on every host, so all end
//! with the same. A word is only taken back by the source that gave it, or by an operator.

use base::{Ms, hash_parts};
use std::collections::BTreeMap;
use wire::{LeavingSource, LeavingTarget};

/// Most targets that are kept; the fleet has 600.
const MAX_MARKS: usize = 4096;

/// The marks.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    marks: BTreeMap<String, LeavingTarget>,
    hash: u64,
}

fn rank(m: &LeavingTarget) -> (u64, bool, i32, u64) {
    (m.since_ms, m.leaving, -m.source, m.version)
}

impl Leaving {
    /// Takes a mark. True when it is newer than what was known.
    pub(crate) fn merge(&mut self, mark: &LeavingTarget, newest_wins: bool) -> bool {
        match self.marks.get(&mark.target) {
            Some(known) if known == mark => return false,
            Some(known) if newest_wins && rank(mark) <= rank(known) => return false,
            None if self.marks.len() >= MAX_MARKS => return false,
            _ => {}
        }
        self.marks.insert(mark.target.clone(), mark.clone());
        self.hash = self.marks.values().fold(0, |hash, m| {
            let since = m.since_ms.to_le_bytes();
            hash ^ hash_parts(&[m.target.as_bytes(), &since, &[u8::from(m.leaving)]])
        });
        true
    }

    pub(crate) fn get(&self, target: &str) -> Option<&LeavingTarget> {
        self.marks.get(target)
    }

    /// Whether the target is leaving.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        self.get(target).is_some_and(|m| m.leaving)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &LeavingTarget> {
        self.marks.values()
    }

    /// Hash of all marks.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// What the target's own word adds: a mark to spread, if any.
    pub(crate) fn own_mark(&self, target: &str, leaving: bool, now: Ms) -> Option<LeavingTarget> {
        let known = self.get(target);
        let revocable = known.is_some_and(|m| m.leaving && m.source() == LeavingSource::Own);
        match leaving {
            true if !self.is_leaving(target) => {}
            false if revocable => {}
            _ => return None,
        }
        Some(self.new_mark(target, leaving, LeavingSource::Own, 0, now))
    }

    /// What an entry of the platform's list at `version` adds. An entry that is no longer leaving
    /// takes back what an earlier version of the list said, and nothing else.
    pub(crate) fn listed_mark(
        &self,
        target: &str,
        leaving: bool,
        version: u64,
        now: Ms,
    ) -> Option<LeavingTarget> {
        let known = self.get(target);
        let revocable = known.is_some_and(|m| {
            m.leaving && m.source() == LeavingSource::Listed && m.version < version
        });
        match leaving {
            true if !self.is_leaving(target) => {}
            false if revocable => {}
            _ => return None,
        }
        Some(self.new_mark(target, leaving, LeavingSource::Listed, version, now))
    }

    fn new_mark(
        &self,
        target: &str,
        leaving: bool,
        source: LeavingSource,
        version: u64,
        now: Ms,
    ) -> LeavingTarget {
        // Another host's clock may be ahead; the new word must still win.
        let since = self.get(target).map_or(0, |m| m.since_ms + 1).max(now.0);
        LeavingTarget {
            target: target.to_owned(),
            since_ms: since,
            leaving,
            source: source.into(),
            version,
        }
    }
}
