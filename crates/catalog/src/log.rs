//! Changes of targets in the order of the platform's store, for hosts that follow this one.
//!
//! Each host keeps the log of what it learns, whoever it learns it from, so that any of them can
//! take over from one that was lost without reading the whole list again.

use base::TargetId;
use std::collections::{HashMap, VecDeque};

use crate::Entry;

/// Most changes that are kept: some minutes of a fleet whose targets are all replaced.
const MOST: usize = 4_096;

/// What became of a target.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It is registered so.
    Set(Entry),
    /// Its registration can't be read.
    Malformed(TargetId),
    /// Its registration was removed.
    Removed(TargetId),
}

impl Update {
    /// Whose.
    pub fn name(&self) -> &TargetId {
        match self {
            Self::Set(entry) => &entry.id,
            Self::Malformed(id) | Self::Removed(id) => id,
        }
    }
}

/// What a host that holds the targets up to some revision lacks.
#[derive(Clone, Debug, PartialEq)]
pub enum Delta {
    /// The last change of each target since then.
    Updates(Vec<Update>),
    /// What happened since then isn't known here: it needs the whole list.
    FullList,
}

/// The log.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which all changes are known; none before the first list.
    floor: Option<u64>,
    newest: u64,
    changes: VecDeque<(u64, Update)>,
}

impl ChangeLog {
    /// The revision up to which this host knows the targets; none before the first list.
    pub fn revision(&self) -> Option<u64> {
        self.floor.map(|_| self.newest)
    }

    /// Takes what changed up to `revision` since the last call.
    pub fn append(&mut self, revision: u64, updates: Vec<Update>) {
        self.floor.get_or_insert(revision);
        self.newest = self.newest.max(revision);
        // A list may be of an older revision than what a watch has told: what differs was found
        // now, and whoever follows must hear of it.
        let at = self.newest;
        self.changes.extend(updates.into_iter().map(|u| (at, u)));
        while self.changes.len() > MOST {
            self.floor = self.changes.pop_front().map(|(revision, _)| revision);
        }
    }

    /// What a host lacks that holds the targets up to `revision`.
    pub fn since(&self, revision: u64) -> Delta {
        if self.floor.is_none_or(|floor| revision < floor) {
            return Delta::FullList;
        }
        let news = || self.changes.iter().filter(|(at, _)| *at > revision);
        // An older change of a target that came back would take it away for a moment.
        let last: HashMap<&TargetId, usize> =
            news().enumerate().map(|(i, (_, update))| (update.name(), i)).collect();
        let newest = news().enumerate().filter(|(i, (_, update))| last[update.name()] == *i);
        Delta::Updates(newest.map(|(_, (_, update))| update.clone()).collect())
    }
}
