//! The list of prompt parts that end engines, kept in the platform's store.
//!
//! A host that knows of one learned it from engines that ended. Hosts that join, or that are all
//! restarted, would learn it from more. So a part that was found is kept in the store, where it stays
//! until an operator removes it: to find out whether it still ends engines would end engines.

use std::collections::BTreeMap;

use crate::Position;

/// Largest number of parts that are kept; more than that have another cause than parts.
pub const MAX_POISON_PARTS: usize = 1_024;

/// Where a part stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// This host or another one has found it, and the store is not known to list it.
    Found,
    /// The store lists it.
    Listed,
}

/// The list, as this host knows it.
#[derive(Debug, Default)]
pub struct PoisonParts {
    position: Option<Position>,
    parts: BTreeMap<u64, Standing>,
}

/// What became of a part that was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It is refused from now on.
    New,
    /// It was known.
    Known,
    /// It is not refused: there are [`MAX_POISON_PARTS`] others.
    TableFull,
}

/// What has changed by a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartChanges {
    /// Parts that were not known.
    pub added: Vec<u64>,
    /// Parts that an operator has removed.
    pub lifted: Vec<u64>,
}

impl PoisonParts {
    /// Applies the list as it was read at a position of the store. None if it is not newer than what
    /// is known.
    ///
    /// A part that the store listed and no longer lists was removed by an operator, unless the store
    /// has come back from an older copy meanwhile: then it has to be listed again.
    pub fn apply(&mut self, read: Position, listed: &[u64]) -> Option<PartChanges> {
        if self.position.is_some_and(|known| read <= known) {
            return None;
        }
        let restored = self.position.is_some_and(|known| known.era != read.era);
        self.position = Some(read);
        let mut changes = PartChanges::default();
        for (part, standing) in &mut self.parts {
            match standing {
                Standing::Listed if listed.contains(part) => {}
                Standing::Listed if restored => *standing = Standing::Found,
                Standing::Listed => changes.lifted.push(*part),
                Standing::Found => {}
            }
        }
        self.parts.retain(|part, _| !changes.lifted.contains(part));
        for part in listed.iter().take(MAX_POISON_PARTS) {
            if self.parts.insert(*part, Standing::Listed).is_none() {
                changes.added.push(*part);
            }
        }
        Some(changes)
    }

    /// Adds a part that was found.
    pub fn found(&mut self, part: u64) -> Finding {
        match () {
            () if self.parts.contains_key(&part) => return Finding::Known,
            () if self.parts.len() >= MAX_POISON_PARTS => return Finding::TableFull,
            () => {}
        }
        self.parts.insert(part, Standing::Found);
        Finding::New
    }

    /// Whether a part ends engines.
    pub fn contains(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// The position up to which the list is known; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// The parts that the store is not known to list.
    pub fn unlisted(&self) -> Vec<u64> {
        self.with(Standing::Found)
    }

    /// The parts that the store lists.
    pub fn listed(&self) -> Vec<u64> {
        self.with(Standing::Listed)
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn with(&self, standing: Standing) -> Vec<u64> {
        self.parts.iter().filter(|(_, s)| **s == standing).map(|(part, _)| *part).collect()
    }
}
