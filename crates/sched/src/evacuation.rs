//! Keeps the evacuated failure domains, whose targets get no requests.
//!
//! An operator evacuates a failure domain, lifts the evacuation and orders it again, while hosts
//! learn of it from the store or from each other, in any order. Without an order of these updates,
//! an outdated one would send work back to a domain that must stay empty.
//!
//! | what a host receives | what it does |
//! |---|---|
//! | the whole list from the store, at a revision not older than the one it holds | takes it |
//! | the same from another host | takes it |
//! | either of them at an older revision | ignores it, also as a proof |
//!
//! A list is a proof as of the time when the read was *sent*: a domain may have been evacuated
//! right after the store was read.

use base::{DomainId, Ms};
use std::collections::BTreeSet;

/// A change of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationEvent {
    /// The domain was evacuated: its targets get no requests from now on.
    Begun(DomainId),
    /// The evacuation was lifted. The domain's targets may have gone cold meanwhile.
    Ended(DomainId),
}

/// The evacuated domains, as far as this host knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<DomainId>,
    /// Revision of the store up to which they are known; none before the first list.
    known: Option<u64>,
    /// Revision at which they last changed.
    changed: u64,
    proved: Option<Ms>,
}

impl Evacuations {
    /// Takes the whole list, read at `revision` by a call that was sent at `sent`, either by this
    /// host or by another one that passes it on.
    ///
    /// Which of two lists is older is decided by the revision at which they were read, not by the
    /// one at which they last changed: an evacuation that is ordered and lifted between two reads
    /// leaves no trace in the list.
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

    /// Revision of the store up to which they are known; none before the first list.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Revision of the store at which they last changed; none before the first list.
    pub fn changed(&self) -> Option<u64> {
        self.known.map(|_| self.changed)
    }

    /// When the read was sent that last proved them; none before the first.
    pub fn proved(&self) -> Option<Ms> {
        self.proved
    }
}
