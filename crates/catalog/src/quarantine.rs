//! The list of what ends targets, parts of prompts and requests as a whole, kept in the platform's
//! store.
//!
//! A host that knows of one learned it from targets that ended. Hosts that join, or that are all
//! restarted, would learn it from more. So what was found is kept in the store, where it stays until
//! an operator removes it: to find out whether it still ends targets would end targets.

use base::Suspect;
use std::collections::BTreeMap;

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

/// The list, as this host knows it.
#[derive(Debug, Default)]
pub struct Quarantine {
    position: Option<Position>,
    suspects: BTreeMap<Suspect, Standing>,
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
}

impl Quarantine {
    /// Applies the list as it was read at a position of the store. None if it is not newer than what
    /// is known.
    ///
    /// One that the store listed and no longer lists was removed by an operator, unless the store
    /// has come back from an older copy meanwhile: then it has to be listed again.
    pub fn apply(&mut self, read: Position, listed: &[Suspect]) -> Option<QuarantineChanges> {
        if self.position.is_some_and(|known| read <= known) {
            return None;
        }
        let restored = self.position.is_some_and(|known| known.era != read.era);
        self.position = Some(read);
        let mut changes = QuarantineChanges::default();
        for (suspect, standing) in &mut self.suspects {
            match standing {
                Standing::Listed if listed.contains(suspect) => {}
                Standing::Listed if restored => *standing = Standing::Found,
                Standing::Listed => changes.lifted.push(*suspect),
                Standing::Found => {}
            }
        }
        self.suspects.retain(|suspect, _| !changes.lifted.contains(suspect));
        for suspect in listed {
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
