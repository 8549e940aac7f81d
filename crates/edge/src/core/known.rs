//! A host's view of the platform's store, and how data that it reads itself or gets from another
//! host is applied to it.

use base::{Ms, TargetId};
use catalog::{
    ChangeLog, Delta, Entry, Freshness, Observation, Position, Registry, RegistryEvent, Update,
};
use logs::note;
use sched::evacuation::{EvacuationEvent, Evacuations};
use sched::warmup::LOST_HEARTBEATS;
use std::sync::Arc;

use super::{Core, lock};
use crate::directory::Declared;
use crate::gate;

/// How a host learned of a change of targets. It is logged with the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// A complete list from the store.
    List,
    /// A watch at the store.
    Watch,
    /// A host that reads the store told it.
    Peer,
    /// The target's own notice.
    Notice,
    /// The end of the time for which a missing target is kept.
    Expiry,
}

impl Source {
    /// The name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
            Self::Peer => "peer",
            Self::Notice => "notice",
            Self::Expiry => "expiry",
        }
    }
}

/// What a host knows of the platform's store.
pub(super) struct StoreView {
    pub(super) registry: Registry,
    pub(super) freshness: Freshness,
    /// Changes of the registry, for hosts that get them from this one.
    pub(super) log: ChangeLog,
    /// Until when missing targets are kept, since their registrations may have lapsed in an outage
    /// of the store.
    pub(super) lapse: Ms,
    /// The newest era of the store that this host has heard of; none before the first answer.
    pub(super) era: Option<u64>,
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
            era: None,
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

    /// The position of the store up to which the targets are known; none before the first list.
    pub(crate) fn position(&self) -> Option<Position> {
        lock(&self.store).log.position()
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
        source: Source,
        position: Position,
        entries: Vec<Entry>,
        names: Vec<TargetId>,
    ) {
        let now = self.clock.now();
        let mut view = lock(&self.store);
        let entries: Vec<Entry> =
            entries.into_iter().filter_map(|read| view.registry.newer(now, read)).collect();
        let updates = view.registry.diff(&entries, &names);
        view.log.append(position, updates);
        let lapse = view.lapse(now);
        let events = view.registry.apply(now, Observation::List { entries, names, lapse });
        self.handle_events(&mut view, source, events);
    }

    /// Names of all known targets.
    pub(crate) fn target_names(&self) -> Vec<TargetId> {
        lock(&self.store).registry.targets().map(|target| target.entry.id.clone()).collect()
    }

    /// Applies all changes of targets up to `position`, which is in the era of the last list.
    pub(crate) fn apply_target_updates(
        &self,
        source: Source,
        position: Position,
        updates: Vec<Update>,
    ) {
        let now = self.clock.now();
        let mut view = lock(&self.store);
        let updates: Vec<Update> = updates
            .into_iter()
            .filter_map(|update| match update {
                Update::Set(read) => view.registry.newer(now, read).map(Update::Set),
                Update::Malformed(_) | Update::Removed(_) => Some(update),
            })
            .collect();
        view.log.append(position, updates.clone());
        let lapse = view.lapse(now);
        let mut events = Vec::new();
        for update in updates {
            events.extend(view.registry.apply(now, Observation::update(update, lapse)));
        }
        self.handle_events(&mut view, source, events);
    }

    /// Changes of targets since `position`.
    pub(crate) fn changes_since(&self, position: Position) -> Delta {
        lock(&self.store).log.since(position)
    }

    /// All registered targets that are known.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        lock(&self.store).registry.targets().map(|t| t.entry.clone()).collect()
    }

    /// When the next registration that has lapsed counts as gone; none if none has lapsed.
    pub(crate) fn next_expiry(&self) -> Option<Ms> {
        lock(&self.store).registry.next_expiry()
    }

    /// Drops targets whose registration lapsed and was not renewed in time.
    pub(crate) fn expire(&self) {
        let mut view = lock(&self.store);
        let events = view.registry.expire(self.clock.now());
        self.handle_events(&mut view, Source::Expiry, events);
    }

    /// Records that this incarnation of a target has announced that it is leaving.
    pub(crate) fn mark_leaving(&self, entry: &Entry) {
        let mut view = lock(&self.store);
        let events = view.registry.mark_leaving(self.clock.now(), &entry.id, entry.born);
        self.handle_events(&mut view, Source::Notice, events);
    }

    fn handle_events(&self, view: &mut StoreView, source: Source, events: Vec<RegistryEvent>) {
        if view.registry.next_expiry().is_some() {
            self.lapses.notify_one();
        }
        if events.is_empty() {
            return;
        }
        let position = view.log.position().unwrap_or_default();
        let source = source.name();
        for event in &events {
            match event {
                RegistryEvent::Joined(id) => {
                    let build = view.registry.get(id).map(|t| t.entry.build.as_str());
                    note!(
                        logs::Event::TargetJoined,
                        target = %id,
                        source,
                        position = %position,
                        build
                    );
                }
                RegistryEvent::Draining(id) => {
                    note!(logs::Event::TargetLeaving, target = %id, source, position = %position);
                }
                RegistryEvent::Gone(id) => {
                    note!(logs::Event::TargetGone, target = %id, source, position = %position);
                }
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

    /// Time after a target was lost, or its registration, within which it has registered again if it
    /// is running. The registration of one that isn't has lapsed by then.
    pub(super) fn rejoin_time(&self) -> Ms {
        self.settings().bounds.heartbeat_ms.scale(LOST_HEARTBEATS, 1)
    }

    /// Rebuilds the links from the targets and evacuations that are known.
    fn renew_links(&self, view: &StoreView) {
        let targets = view.registry.targets();
        let evacuated = self.gate.evacuations().domains().clone();
        let rejoin_time = self.rejoin_time();
        let works = |entry: &Entry| view.registry.takes_work(entry);
        let next =
            self.links.load().renew(self.clock.now(), targets, works, evacuated, rejoin_time);
        self.links.store(Arc::new(next));
        self.changed.send_replace(());
    }
}
