//! *Evacuation*: failure domains whose targets get nothing.
//!
//! Answers: an operator empties a failure domain, takes that back and orders it again, while hosts
//! learn of it from the store or from each other, in any order. Without an order of what is heard,
//! word of an older state brings work back to a domain that must stay empty.
//!
//! | what is heard | what follows |
//! |---|---|
//! | the whole list, at a revision of the store that isn't older than what is held | it holds |
//! | another host's list, the same | it holds |
//! | either of an older revision | ignored, and no proof |
//!
//! What is held is proved by the *sending* of the read: a domain may have been evacuated right after
//! the store looked.

use base::{DomainId, Ms};
use std::collections::BTreeSet;

/// What became of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// Its targets get nothing from now on.
    Begun(DomainId),
    /// It was taken back: its targets may have gone cold meanwhile.
    Ended(DomainId),
}

/// The evacuated domains, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainId>,
    /// The store's revision up to which they are known; none before the first list.
    known: Option<u64>,
    /// The revision at which they last changed.
    changed: u64,
    proved: Option<Ms>,
}

impl Evacuations {
    /// Takes the whole list, read at `revision` by a call that was sent at `sent`, whether this host
    /// made it or another that tells of it.
    ///
    /// Not when a list last changed but how far it is known says which of two is the older: what was
    /// set and taken back between two looks leaves no trace.
    pub fn list(
        &mut self,
        sent: Ms,
        revision: u64,
        domains: BTreeSet<DomainId>,
    ) -> Vec<EvacuationEvent> {
        if self.known.is_some_and(|known| revision < known) {
            return Vec::new();
        }
        self.known = Some(revision);
        self.proved = self.proved.max(Some(sent));
        self.replace(revision, domains)
    }

    fn replace(&mut self, revision: u64, domains: BTreeSet<DomainId>) -> Vec<EvacuationEvent> {
        let begun = domains.difference(&self.domains).cloned().map(EvacuationEvent::Begun);
        let ended = self.domains.difference(&domains).cloned().map(EvacuationEvent::Ended);
        let events: Vec<EvacuationEvent> = begun.chain(ended).collect();
        if !events.is_empty() || self.changed == 0 {
            self.changed = revision;
        }
        self.domains = domains;
        events
    }

    /// The evacuated domains.
    pub fn domains(&self) -> &BTreeSet<DomainId> {
        &self.domains
    }

    /// The store's revision up to which they are known; none before the first list.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// The store's revision at which they last changed; none before the first list.
    pub fn changed(&self) -> Option<u64> {
        self.known.map(|_| self.changed)
    }

    /// When the read was sent that is the last proof of them; none before the first.
    pub fn proved(&self) -> Option<Ms> {
        self.proved
    }
}
