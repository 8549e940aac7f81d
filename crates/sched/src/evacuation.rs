//! Keeps the evacuated failure domains, whose targets get no requests.
//!
//! An operator evacuates a failure domain, lifts the evacuation and orders it again, while hosts
//! learn of it from the store or from each other, in any order. Without an order of these updates,
//! an outdated one would send work back to a domain that must stay empty.
//!
//! | what a host receives | what it does |
//! |---|---|
//! | the whole list from the store, at a position not older than the one it holds | takes it |
//! | the same from another host | takes it |
//! | either of them at an older position | ignores it, also as a proof |
//! | the first list since the store came back from an older copy | takes it, and keeps evacuated domains that it lacks for [`KEEP_TIME`] or until they have been listed again |
//!
//! The copy may be older than an evacuation that was acknowledged. Without the last rule, the
//! domain's targets would get requests until the operator has ordered it again.
//!
//! A list is a proof as of the time when the read was *sent*: a domain may have been evacuated
//! right after the store was read.

use base::{DomainId, Ms};
use catalog::Position;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which an evacuation is kept that the store has lost, ms. Operators order it again within
/// seconds; one that was lifted meanwhile leaves its domain empty for so much longer.
pub const KEEP_TIME: Ms = Ms::secs(10);

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
    /// Domains among them that the store has lost, and until when they are kept.
    kept: BTreeMap<DomainId, Ms>,
    /// Position of the store up to which they are known; none before the first list.
    known: Option<Position>,
    /// Position at which they last changed.
    changed: Position,
    proved: Option<Ms>,
}

impl Evacuations {
    /// Takes the whole list, read at `position` by a call that was sent at `sent`, either by this
    /// host or by another one that passes it on.
    ///
    /// Which of two lists is older is decided by the position at which they were read, not by the
    /// one at which they last changed: an evacuation that is ordered and lifted between two reads
    /// leaves no trace in the list.
    pub fn list(
        &mut self,
        sent: Ms,
        position: impl Into<Position>,
        domains: BTreeSet<DomainId>,
    ) -> Vec<EvacuationEvent> {
        let position = position.into();
        if self.known.is_some_and(|known| position < known) {
            return Vec::new();
        }
        if self.known.is_some_and(|known| known.era < position.era) {
            let until = sent + KEEP_TIME;
            self.kept.extend(self.domains.iter().map(|domain| (domain.clone(), until)));
        }
        self.kept.retain(|domain, until| *until > sent && !domains.contains(domain));
        self.known = Some(position);
        self.proved = self.proved.max(Some(sent));
        let kept = self.kept.keys().cloned().collect();
        self.replace(position, &domains | &kept)
    }

    fn replace(&mut self, position: Position, domains: BTreeSet<DomainId>) -> Vec<EvacuationEvent> {
        let begun = domains.difference(&self.domains).cloned().map(EvacuationEvent::Begun);
        let ended = self.domains.difference(&domains).cloned().map(EvacuationEvent::Ended);
        let events: Vec<EvacuationEvent> = begun.chain(ended).collect();
        if !events.is_empty() || self.changed == Position::default() {
            self.changed = position;
        }
        self.domains = domains;
        events
    }

    /// The evacuated domains.
    pub fn domains(&self) -> &BTreeSet<DomainId> {
        &self.domains
    }

    /// Position of the store up to which they are known; none before the first list.
    pub fn known(&self) -> Option<Position> {
        self.known
    }

    /// Position of the store at which they last changed; none before the first list.
    pub fn changed(&self) -> Option<Position> {
        self.known.map(|_| self.changed)
    }

    /// When the read was sent that last proved them; none before the first.
    pub fn proved(&self) -> Option<Ms> {
        self.proved
    }
}
