//! Changes of targets in the order of the platform's store, for hosts that follow this one.
//!
//! Each host logs all changes that it learns of, from the store or from another host. Any host can
//! therefore take over from one that was lost without reading the complete list again.

use base::TargetId;
use std::collections::{HashMap, VecDeque};

use crate::{Entry, Position};

/// Maximum number of changes kept: several minutes of a fleet in which all targets are replaced.
const MAX_CHANGES: usize = 4_096;

/// A change of one target.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It was registered, or its registration changed.
    Set(Entry),
    /// Its registration can't be decoded.
    Malformed(TargetId),
    /// Its registration was removed.
    Removed(TargetId),
}

impl Update {
    /// The target's name.
    pub fn name(&self) -> &TargetId {
        match self {
            Self::Set(entry) => &entry.id,
            Self::Malformed(id) | Self::Removed(id) => id,
        }
    }
}

/// What a host that knows the targets up to some position is missing.
#[derive(Clone, Debug, PartialEq)]
pub enum Delta {
    /// The latest change of each target since that position.
    Updates(Vec<Update>),
    /// Not all changes since that position are known here; the host needs the complete list.
    FullList,
}

/// A log of the latest changes of targets.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Position after which all changes are known; `None` before the first list.
    floor: Option<Position>,
    newest: Position,
    changes: VecDeque<(Position, Update)>,
}

impl ChangeLog {
    /// The position up to which this host knows the targets; `None` before the first list.
    pub fn position(&self) -> Option<Position> {
        self.floor.map(|_| self.newest)
    }

    /// Appends what changed since the last call, up to `position`.
    ///
    /// The first call in a new era must be for a complete list. All followers then need it too:
    /// what the store lost is no change that could be told.
    pub fn append(&mut self, position: impl Into<Position>, updates: Vec<Update>) {
        let position = position.into();
        if self.floor.is_some_and(|floor| floor.era < position.era) {
            *self = Self::default();
        }
        self.floor.get_or_insert(position);
        // A list may have no newer revision than what watches have already delivered, and yet show
        // what they have missed. Followers are past its revision and would never be sent what it
        // adds, so it gets a position after the newest.
        self.newest = match position > self.newest || updates.is_empty() {
            true => self.newest.max(position),
            false => self.newest.corrected(),
        };
        let at = self.newest;
        self.changes.extend(updates.into_iter().map(|u| (at, u)));
        while self.changes.len() > MAX_CHANGES {
            self.floor = self.changes.pop_front().map(|(position, _)| position);
        }
    }

    /// What a host that knows the targets up to `position` is missing.
    pub fn since(&self, position: impl Into<Position>) -> Delta {
        let position = position.into();
        if self.floor.is_none_or(|floor| position < floor) {
            return Delta::FullList;
        }
        let newer = || self.changes.iter().filter(|(at, _)| *at > position);
        // Only the last change of each target is sent: the earlier removal of a target that came
        // back would make the follower drop it for a moment.
        let last: HashMap<&TargetId, usize> =
            newer().enumerate().map(|(i, (_, update))| (update.name(), i)).collect();
        let newest = newer().enumerate().filter(|(i, (_, update))| last[update.name()] == *i);
        Delta::Updates(newest.map(|(_, (_, update))| update.clone()).collect())
    }
}
