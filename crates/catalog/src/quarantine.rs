//! The list of what ends targets, parts of prompts and requests as a whole, kept in the platform's
//! store.
//!
//! A host that knows of one learned it from targets that ended. Hosts that join, or that are all
//! restarted, would learn it from more. So what was found is kept in the store, where it stays until
//! an operator removes it: to find out whether it still ends targets would end targets.
//!
//! Only the removal itself, as a watch reports it, lifts one. That a list lacks it shows nothing: the store
//! may have come back from an older copy, and need not say so. It is written again then.

use base::Suspect;
use std::collections::{BTreeMap, VecDeque};

use crate::Position;

/// Largest number of parts that are kept, and of requests; more than that have another cause.
pub const MAX_QUARANTINED: usize = 1_024;

/// Where a suspect stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// This host or another one has found it, and the store is not known to list it.
    Found,
    /// The store lists it.
    Listed,
}

/// Largest number of removals that are passed on to hosts that don't watch the store.
const MAX_LIFTED: usize = 64;

/// The list, as this host knows it.
#[derive(Debug, Default)]
pub struct Quarantine {
    position: Option<Position>,
    suspects: BTreeMap<Suspect, Standing>,
    /// The last removals, the newest at the end.
    lifted: VecDeque<Suspect>,
}

/// The list as it was read at a position of the store.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineList<'a> {
    /// The position.
    pub position: Position,
    /// What the store lists.
    pub listed: &'a [Suspect],
    /// What an operator has removed, as reports of the removals show.
    pub removed: &'a [Suspect],
    /// Whether this host has read it from the store itself. The store's reads are never stale, so one from
    /// before what is known shows that the store has come back older.
    pub own: bool,
}

/// What became of a suspect that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It is refused from now on.
    New,
    /// It was known.
    Known,
    /// It is not refused: there are [`MAX_QUARANTINED`] others of its kind.
    TableFull,
}

/// What has changed by a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChanges {
    /// Those that were not known.
    pub added: Vec<Suspect>,
    /// Those that an operator has removed.
    pub lifted: Vec<Suspect>,
    /// Those that the store no longer lists, though nobody is known to have removed them.
    pub missing: Vec<Suspect>,
}

impl Quarantine {
    /// Applies the list. None if it is not newer than what is known, and another host has read it.
    pub fn apply(&mut self, read: QuarantineList<'_>) -> Option<QuarantineChanges> {
        let QuarantineList { position, listed, removed, own } = read;
        let newer = self.position.is_none_or(|known| position > known);
        if !newer && !own {
            return None;
        }
        self.position = self.position.max(Some(position));
        let mut changes = QuarantineChanges::default();
        for (suspect, standing) in &mut self.suspects {
            match standing {
                Standing::Found if listed.contains(suspect) => *standing = Standing::Listed,
                Standing::Listed if listed.contains(suspect) => {}
                Standing::Listed if removed.contains(suspect) => changes.lifted.push(*suspect),
                Standing::Listed => {
                    *standing = Standing::Found;
                    changes.missing.push(*suspect);
                }
                Standing::Found => {}
            }
        }
        self.suspects.retain(|suspect, _| !changes.lifted.contains(suspect));
        self.note_lifted(&changes.lifted, listed);
        for suspect in listed.iter().filter(|_| newer) {
            let known = self.suspects.contains_key(suspect);
            if known || !self.is_full(*suspect) {
                self.suspects.insert(*suspect, Standing::Listed);
            }
            if !known && self.contains(*suspect) {
                changes.added.push(*suspect);
            }
        }
        Some(changes)
    }

    fn note_lifted(&mut self, lifted: &[Suspect], listed: &[Suspect]) {
        self.lifted.retain(|suspect| !lifted.contains(suspect) && !listed.contains(suspect));
        self.lifted.extend(lifted);
        let excess = self.lifted.len().saturating_sub(MAX_LIFTED);
        self.lifted.drain(..excess);
    }

    /// The last removals, for hosts that don't watch the store.
    pub fn lifted(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.lifted.iter().copied()
    }

    /// Adds a suspect that was found.
    pub fn found(&mut self, suspect: Suspect) -> Finding {
        match () {
            () if self.contains(suspect) => return Finding::Known,
            () if self.is_full(suspect) => return Finding::TableFull,
            () => {}
        }
        self.suspects.insert(suspect, Standing::Found);
        Finding::New
    }

    /// Whether it ends targets.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.suspects.contains_key(&suspect)
    }

    /// Whether there is no room for another of this kind.
    fn is_full(&self, suspect: Suspect) -> bool {
        let (parts, requests) = self.count();
        let count = if suspect.part().is_some() { parts } else { requests };
        count >= MAX_QUARANTINED
    }

    /// The position up to which the list is known; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Those that the store is not known to list.
    pub fn unlisted(&self) -> Vec<Suspect> {
        self.with(Standing::Found)
    }

    /// Those that the store lists.
    pub fn listed(&self) -> Vec<Suspect> {
        self.with(Standing::Listed)
    }

    /// Number of parts, and of requests.
    pub fn count(&self) -> (usize, usize) {
        let parts = self.suspects.keys().filter(|suspect| suspect.part().is_some()).count();
        (parts, self.suspects.len() - parts)
    }

    fn with(&self, standing: Standing) -> Vec<Suspect> {
        self.suspects.iter().filter(|(_, s)| **s == standing).map(|(id, _)| *id).collect()
    }
}
