//! A host's view of the platform's store, and how data that it reads itself or gets from another
//! host is applied to it.

use base::{Ms, TargetId};
use catalog::{
    ChangeLog, Delta, Entry, Freshness, Observation, Proof, Registry, RegistryEvent, Update,
};
use logs::note;
use sched::evacuation::{EvacuationEvent, Evacuations};
use sched::warmup::LOST_HEARTBEATS;
use std::sync::Arc;
use tokio::sync::watch;

use super::{Core, lock};
use crate::directory::Declared;
use crate::gate;

/// Age at which a proof is overdue, in percent of the time within which a revoked key must stop
/// working. A host that reaches the store has a younger proof: this is the time of two reads, one
/// of them slow. The rest is left for asking another host.
const OVERDUE_KEYS_PERCENT: u64 = 40;
/// The same in percent of the time within which a change must be in force. The rest is left for the
/// wait of one query, and a read.
const OVERDUE_CHANGE_PERCENT: u64 = 50;
/// The same in percent of the time within which an evacuated failure domain must get no new
/// requests: the time of two lists and a slow answer.
const OVERDUE_EVACUATION_PERCENT: u64 = 70;

/// Time after a pause within which a host that reaches the store, or a host that reads it, has a
/// new proof: a few round trips.
const PROOF_TIME: Ms = Ms(200);

/// What a host knows of the platform's store.
pub(super) struct StoreView {
    registry: Registry,
    freshness: Freshness,
    /// Changes of the registry, for hosts that get them from this one.
    log: ChangeLog,
    /// Until when missing targets are kept, since their registrations may have lapsed in an outage
    /// of the store.
    lapse: Ms,
    /// Time for which this host had not run when the newest proof arrived.
    paused: Ms,
}

impl StoreView {
    /// An empty view. `revoke` is the time within which a revoked key must stop working; none if
    /// there is no such bound.
    pub(super) fn new(revoke: Option<Ms>) -> Self {
        Self {
            registry: Registry::default(),
            freshness: Freshness::new(revoke),
            log: ChangeLog::default(),
            lapse: Ms::ZERO,
            paused: Ms::ZERO,
        }
    }

    fn lapse(&self, now: Ms) -> Option<Ms> {
        (self.lapse > now).then_some(self.lapse)
    }
}

impl Core {
    /// Applies the result of a linearizable read that was sent at `sent`: `found` is the newest
    /// configuration, if it is newer than the one held.
    pub(crate) fn apply_catalog(&self, sent: Ms, found: Option<&Declared>) {
        if let Some(found) = found {
            self.apply_declared(sent, found);
        }
        // Last: another thread that saw the new proof beside the old configuration would serve
        // keys that the new one revokes.
        self.record_proof(sent);
    }

    fn apply_declared(&self, sent: Ms, found: &Declared) {
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
        self.changed.send_replace(());
    }

    /// Version of the configuration in force; none before the first.
    pub(crate) fn version(&self) -> Option<u64> {
        self.declared.load().as_ref().map(|d| d.catalog.version)
    }

    /// Records that a linearizable read, sent at `sent`, found nothing newer than what is held.
    pub(crate) fn record_proof(&self, sent: Ms) {
        let mut view = lock(&self.store);
        view.freshness.prove(sent);
        view.paused = self.pauses.lost();
        drop(view);
        self.notify_proof();
    }

    /// Notifies of the end of a read of the configuration.
    pub(super) fn notify_proof(&self) {
        self.proofs.send_replace(());
    }

    /// Notifies when a read of the configuration has proved that it is current, or has failed.
    pub(crate) fn proofs(&self) -> watch::Receiver<()> {
        self.proofs.subscribe()
    }

    /// Applies what `learn` tells of evacuated failure domains.
    pub(crate) fn apply_evacuations(
        &self,
        learn: impl FnOnce(&mut Evacuations) -> Vec<EvacuationEvent>,
    ) {
        let view = lock(&self.store);
        let events = learn(&mut self.gate.evacuations());
        if events.is_empty() {
            return;
        }
        self.renew_links(&view);
        drop(view);
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

    /// Whether it is known which failure domains are evacuated; true if they are never evacuated.
    pub(crate) fn knows_evacuations(&self) -> bool {
        let needed = self.settings().bounds.evacuate_ms.is_some();
        !needed || self.gate.evacuations().known().is_some()
    }

    /// Whether the newest proof is older than it can be while the store, or a host that reads it,
    /// answers this host.
    pub(crate) fn proof_overdue(&self) -> bool {
        self.proof_overdue_at(self.clock.now())
    }

    /// Whether the newest proof is overdue at `at`.
    pub(crate) fn proof_overdue_at(&self, at: Ms) -> bool {
        let bounds = &self.settings().bounds;
        let overdue = |proved: Option<Ms>, most| proved.is_none_or(|proved| at - proved > most);
        let evacuation = bounds.evacuate_ms.is_some_and(|bound| {
            let most = bound.scale(OVERDUE_EVACUATION_PERCENT, 100);
            overdue(self.gate.evacuations().proved(), most)
        });
        let keys = bounds.revoke_ms.scale(OVERDUE_KEYS_PERCENT, 100);
        let change = bounds.config_ms.scale(OVERDUE_CHANGE_PERCENT, 100);
        evacuation || overdue(self.proved(), keys.min(change))
    }

    /// Whether the newest proof is overdue even without the time for which this host did not run. If
    /// not, its own reads of the store are only late, and say nothing of the store.
    pub(crate) fn store_silent(&self) -> bool {
        let paused = self.pauses.lost() - lock(&self.store).paused;
        self.proof_overdue_at(self.clock.now() - paused)
    }

    /// Whether the configuration needs no keys, or keys may be served now.
    pub(crate) fn keys_usable(&self) -> bool {
        let needed = self.catalog().is_some_and(|catalog| catalog.needs_keys());
        !needed || self.proof() == Proof::Current
    }

    /// Whether keys may be served now.
    pub(crate) fn proof(&self) -> Proof {
        lock(&self.store).freshness.check(self.clock.now())
    }

    /// Waits until the proof satisfies `current`, if this host has just been paused.
    ///
    /// After a pause the proof is old, and the read that renews it is under way. A caller that is
    /// refused at this moment could come back no sooner than that read is answered; a host that is
    /// told the old proof would look for another reader. Returns at once if the host has run long
    /// enough for a read.
    pub(crate) async fn renewed_after_pause(&self, current: impl Fn(&Self) -> bool) {
        let mut proofs = self.proofs();
        while !current(self) {
            let rest = self.pauses.ended() + PROOF_TIME - self.clock.now();
            if rest == Ms::ZERO {
                return;
            }
            // The sender lives in `self`; a time-out is noticed above.
            let _ = tokio::time::timeout(rest.duration(), proofs.changed()).await;
        }
    }

    /// When the last read was sent that proved the configuration; none before the first.
    pub(crate) fn proved(&self) -> Option<Ms> {
        lock(&self.store).freshness.proved()
    }

    /// Age of the last read that proved the configuration; none before the first.
    pub(crate) fn proof_age(&self) -> Option<Ms> {
        lock(&self.store).freshness.age(self.clock.now())
    }

    /// The store's revision up to which the targets are known; none before the first list.
    pub(crate) fn revision(&self) -> Option<u64> {
        lock(&self.store).log.revision()
    }

    /// Keeps targets that are missing from the store until `until`: their registrations may have
    /// lapsed while the store was away.
    pub(crate) fn keep_missing_until(&self, until: Ms) {
        let mut view = lock(&self.store);
        view.lapse = view.lapse.max(until);
    }

    /// Time for which missing targets are still kept.
    pub(crate) fn keep_missing_for(&self) -> Ms {
        lock(&self.store).lapse - self.clock.now()
    }

    /// Applies a list of all targets. `names` includes those of entries that can't be read.
    pub(crate) fn apply_target_list(
        &self,
        revision: u64,
        entries: Vec<Entry>,
        names: Vec<TargetId>,
    ) {
        let now = self.clock.now();
        let mut view = lock(&self.store);
        let updates = view.registry.diff(&entries, &names);
        view.log.append(revision, updates);
        let lapse = view.lapse(now);
        let events = view.registry.apply(now, Observation::List { entries, names, lapse });
        self.handle_events(&mut view, events);
    }

    /// Applies all changes of targets up to `revision`.
    pub(crate) fn apply_target_updates(&self, revision: u64, updates: Vec<Update>) {
        let now = self.clock.now();
        let mut view = lock(&self.store);
        view.log.append(revision, updates.clone());
        let lapse = view.lapse(now);
        let mut events = Vec::new();
        for update in updates {
            events.extend(view.registry.apply(now, Observation::update(update, lapse)));
        }
        self.handle_events(&mut view, events);
    }

    /// Changes of targets since `revision`.
    pub(crate) fn changes_since(&self, revision: u64) -> Delta {
        lock(&self.store).log.since(revision)
    }

    /// All registered targets that are known.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        lock(&self.store).registry.targets().map(|t| t.entry.clone()).collect()
    }

    /// Drops targets whose registration lapsed and was not renewed in time.
    pub(crate) fn expire(&self) {
        let mut view = lock(&self.store);
        let events = view.registry.expire(self.clock.now());
        self.handle_events(&mut view, events);
    }

    /// Records that this incarnation of a target has announced that it is leaving.
    pub(crate) fn mark_leaving(&self, entry: &Entry) {
        let mut view = lock(&self.store);
        let events = view.registry.mark_leaving(self.clock.now(), &entry.id, entry.born);
        self.handle_events(&mut view, events);
    }

    fn handle_events(&self, view: &mut StoreView, events: Vec<RegistryEvent>) {
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
        self.renew_links(view);
        let links = self.links();
        let now = self.clock.now();
        for event in events {
            match event {
                RegistryEvent::Cold(id, rest) => {
                    links.named(&id).into_iter().for_each(|l| l.warmup().cold_until(now + rest));
                }
                RegistryEvent::Joined(_) | RegistryEvent::Draining(_) | RegistryEvent::Gone(_) => {}
            }
        }
    }

    /// Rebuilds the links from the targets and evacuations that are known.
    fn renew_links(&self, view: &StoreView) {
        let targets = view.registry.targets();
        let evacuated = self.gate.evacuations().domains().clone();
        let rejoin_time = self.settings().bounds.heartbeat_ms.scale(LOST_HEARTBEATS, 1);
        let works = |entry: &Entry| view.registry.takes_work(entry);
        let next =
            self.links.load().renew(self.clock.now(), targets, works, evacuated, rejoin_time);
        self.links.store(Arc::new(next));
        self.changed.send_replace(());
    }
}
