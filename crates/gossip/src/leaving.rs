//! Marks of targets that are leaving, from all sources.
//!
//! Of two marks of one target, every host keeps the one with the higher `since_ms`, so all hosts
//! converge on the same mark. A mark can be revoked only by the source that set it, or by an
//! operator.

use base::{Ms, hash_parts};
use std::collections::BTreeMap;
use wire::{LeavingSource, LeavingTarget};

/// Most marks that are stored; the fleet has 600 targets.
const MAX_MARKS: usize = 4096;

/// The newest mark of each target.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    marks: BTreeMap<String, LeavingTarget>,
    hash: u64,
}

fn rank(m: &LeavingTarget) -> (u64, bool, i32, u64) {
    (m.since_ms, m.leaving, -m.source, m.version)
}

impl Leaving {
    /// Stores a mark. Returns true if it changes what was known. With `newest_wins` off, older
    /// marks replace newer ones as well.
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

    /// Whether the target is marked as leaving.
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

    /// The new mark that follows from the target's own report, if any.
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

    /// The new mark that follows from an entry of the platform's list at `version`, if any. An
    /// entry that is no longer leaving revokes only a mark that came from an earlier version of the
    /// list.
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
        // The known mark may come from a host whose clock is ahead; the new mark must still win.
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
