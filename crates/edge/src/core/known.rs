//! What a host knows of the platform's store, and how it takes what it reads or is told.

use base::{Ms, TargetId};
use catalog::{ChangeLog, Entry, Freshness, Missing, Proof, Registry, RegistryEvent, Seen, Update};
use logs::note;
use sched::evacuation::{EvacuationEvent, Evacuations};
use sched::warmup::UNHEARD;
use std::sync::Arc;
use tokio::sync::watch;

use super::{Core, lock};
use crate::directory::Declared;
use crate::gate;

/// Part of the time after which a key that was taken away must not work, percent, after which a
/// proof is too old for a host that still reaches the store: two reads, one of them slow. What is
/// left is time to ask another.
const BLIND_KEYS: u64 = 40;
/// The same of the time in which a change must be in force: what is left is the wait of one query,
/// and a read.
const BLIND_CHANGE: u64 = 50;
/// The same of the time in which an evacuated failure domain must get nothing: two lists, and an
/// answer that is slow.
const BLIND_EVACUATION: u64 = 70;

/// What follows from the platform's store.
pub(super) struct Known {
    registry: Registry,
    freshness: Freshness,
    /// Changes of the registry, for hosts that follow this one.
    log: ChangeLog,
    /// Until when missing targets count as lapsed in an outage of the store.
    lapse: Ms,
}

impl Known {
    /// Nothing yet. `revoke` is the time within which a key that was taken away must stop working.
    pub(super) fn new(revoke: Option<Ms>) -> Self {
        Self {
            registry: Registry::default(),
            freshness: Freshness::new(revoke),
            log: ChangeLog::default(),
            lapse: Ms::ZERO,
        }
    }

    fn lapse(&self, now: Ms) -> Option<Ms> {
        (self.lapse > now).then_some(self.lapse)
    }
}

impl Core {
    /// A read that can't be stale was sent at `sent`, and `found` was the newest.
    pub(crate) fn take_catalog(&self, sent: Ms, found: Option<&Declared>) {
        self.prove(sent);
        let Some(found) = found else { return };
        let version = found.catalog.version;
        let held = self.version();
        if held.is_some_and(|held| held >= version) {
            return;
        }
        note!(
            logs::Event::ConfigInForce,
            version,
            before = held,
            age_ms = (self.clock.now() - sent).0
        );
        self.declared.store(Some(Arc::new(found.clone())));
        self.moved.send_replace(());
    }

    /// Version of the declarations in force; none before the first.
    pub(crate) fn version(&self) -> Option<u64> {
        self.declared.load().as_ref().map(|d| d.catalog.version)
    }

    /// A read that can't be stale was sent at `sent`, and nothing newer was found than what is held.
    pub(crate) fn prove(&self, sent: Ms) {
        lock(&self.known).freshness.prove(sent);
        self.proofs.send_replace(());
    }

    /// Changes when a read has proved the configuration.
    pub(crate) fn proofs(&self) -> watch::Receiver<()> {
        self.proofs.subscribe()
    }

    /// Takes what was learned of evacuated failure domains.
    pub(crate) fn take_evacuations(
        &self,
        learn: impl FnOnce(&mut Evacuations) -> Vec<EvacuationEvent>,
    ) {
        let known = lock(&self.known);
        let events = learn(&mut self.gate.evacuations());
        if events.is_empty() {
            return;
        }
        self.renew_links(&known);
        drop(known);
        for event in &events {
            match event {
                EvacuationEvent::Begun(domain) => {
                    note!(logs::Event::EvacuationBegun, domain = %domain);
                }
                EvacuationEvent::Ended(domain) => {
                    note!(logs::Event::EvacuationEnded, domain = %domain);
                    gate::mark_domain_cold(self, domain);
                }
            }
        }
    }

    /// Whether evacuated failure domains are known, as far as there may be any.
    pub(crate) fn knows_evacuations(&self) -> bool {
        let asked = self.settings().bounds.evacuate_ms.is_some();
        !asked || self.gate.evacuations().known().is_some()
    }

    /// Whether the newest proof is older than it may be on a host that the store, or one that reads
    /// it, answers.
    pub(crate) fn blind(&self) -> bool {
        let bounds = &self.settings().bounds;
        if let Some(most) = bounds.evacuate_ms.map(|bound| bound.scale(BLIND_EVACUATION, 100)) {
            let proved = self.gate.evacuations().proved();
            if proved.is_none_or(|at| self.clock.now() - at > most) {
                return true;
            }
        }
        let keys = bounds.revoke_ms.scale(BLIND_KEYS, 100);
        let most = keys.min(bounds.config_ms.scale(BLIND_CHANGE, 100));
        self.proof_age().is_none_or(|age| age > most)
    }

    /// Whether keys may be served now.
    pub(crate) fn proof(&self) -> Proof {
        lock(&self.known).freshness.check(self.clock.now())
    }

    /// When the last read was sent that proves the configuration; none before the first.
    pub(crate) fn proved(&self) -> Option<Ms> {
        lock(&self.known).freshness.proved()
    }

    /// Age of the last read that proves the configuration; none before the first.
    pub(crate) fn proof_age(&self) -> Option<Ms> {
        lock(&self.known).freshness.age(self.clock.now())
    }

    /// The store's revision up to which the targets are known; none before the first list.
    pub(crate) fn revision(&self) -> Option<u64> {
        lock(&self.known).log.revision()
    }

    /// Until `until`, targets that are missing count as lapsed.
    pub(crate) fn lapsed(&self, until: Ms) {
        let mut known = lock(&self.known);
        known.lapse = known.lapse.max(until);
    }

    /// Time for which missing targets still count as lapsed.
    pub(crate) fn lapse_rest(&self) -> Ms {
        lock(&self.known).lapse - self.clock.now()
    }

    /// Takes the list of all targets. `names` are also those of entries that can't be read.
    pub(crate) fn take_list(&self, revision: u64, entries: Vec<Entry>, names: Vec<TargetId>) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        let updates = known.registry.differs(&entries, &names);
        known.log.append(revision, updates);
        let lapse = known.lapse(now);
        let events = known.registry.learn(now, Seen::List { entries, names, lapse });
        self.note(&mut known, events);
    }

    /// Takes all changes of targets up to `revision`.
    pub(crate) fn take_updates(&self, revision: u64, updates: Vec<Update>) {
        let now = self.clock.now();
        let mut known = lock(&self.known);
        known.log.append(revision, updates.clone());
        let lapse = known.lapse(now);
        let mut events = Vec::new();
        for update in updates {
            events.extend(known.registry.learn(now, Seen::update(update, lapse)));
        }
        self.note(&mut known, events);
    }

    /// What a host lacks that knows the targets up to `revision`.
    pub(crate) fn missing(&self, revision: u64) -> Missing {
        lock(&self.known).log.since(revision)
    }

    /// All targets that are registered, as far as is known.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        lock(&self.known).registry.targets().map(|t| t.entry.clone()).collect()
    }

    /// Drops targets whose registration lapsed and didn't come back.
    pub(crate) fn expire(&self) {
        let mut known = lock(&self.known);
        let events = known.registry.expire(self.clock.now());
        self.note(&mut known, events);
    }

    /// A target has said itself, in this life, that it leaves.
    pub(crate) fn leaves(&self, entry: &Entry) {
        let mut known = lock(&self.known);
        let events = known.registry.leaves(self.clock.now(), &entry.id, entry.born);
        self.note(&mut known, events);
    }

    fn note(&self, known: &mut Known, events: Vec<RegistryEvent>) {
        if events.is_empty() {
            return;
        }
        for event in &events {
            match event {
                RegistryEvent::Joined(id) => note!(logs::Event::TargetJoined, target = %id),
                RegistryEvent::Draining(id) => note!(logs::Event::TargetLeaving, target = %id),
                RegistryEvent::Gone(id) => note!(logs::Event::TargetGone, target = %id),
                RegistryEvent::Cold(id, rest) => {
                    note!(logs::Event::TargetCold, target = %id, rest_ms = rest.0);
                }
            }
        }
        self.renew_links(known);
        let links = self.links();
        let now = self.clock.now();
        for event in events {
            match event {
                RegistryEvent::Cold(id, rest) => {
                    links.named(&id).into_iter().for_each(|l| l.warmth().cold_until(now + rest));
                }
                RegistryEvent::Joined(_) | RegistryEvent::Draining(_) | RegistryEvent::Gone(_) => {}
            }
        }
    }

    fn renew_links(&self, known: &Known) {
        let targets = known.registry.targets();
        let evacuated = self.gate.evacuations().domains().clone();
        let unheard = self.settings().bounds.heartbeat_ms.scale(UNHEARD, 1);
        let works = |entry: &Entry| known.registry.takes_work(entry);
        let next = self.links.load().renew(self.clock.now(), targets, works, evacuated, unheard);
        self.links.store(Arc::new(next));
        self.moved.send_replace(());
    }
}
