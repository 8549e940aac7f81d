//! What all parts of an edge host share.

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use base::{Clock, DomainId, Ms, TargetId};
use catalog::{
    Catalog, ChangeLog, Entry, Freshness, Limits, Missing, Proof, Registry, RegistryEvent,
    Residency, Seen, Update,
};
use logs::note;
use sched::budget::{Allowance, Budget};
use sched::directory::Directory;
use sched::estimate::Estimate;
use sched::evacuation::{EvacuationEvent, Evacuations};
use sched::place::Distance;
use sched::poison::Poison;
use sched::sample::Sampler;
use sched::source::Sources;
use sched::warmup::UNHEARD;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

use crate::choose;
use crate::dialect::Dialect;
use crate::directory::Declared;
use crate::gate::{self, Gate};
use crate::links::{Link, Links};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::pulse::Pulses;
use crate::settings::Settings;
use crate::shared::Packed;

/// What follows from the platform's store.
struct Known {
    registry: Registry,
    freshness: Freshness,
    /// Changes of the registry, for hosts that follow this one.
    log: ChangeLog,
    /// Until when missing targets count as lapsed in an outage of the store.
    lapse: Ms,
}

impl Known {
    fn lapse(&self, now: Ms) -> Option<Ms> {
        (self.lapse > now).then_some(self.lapse)
    }
}

/// The shared state.
pub(crate) struct Core {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) metrics: Metrics,
    pub(crate) members: Members,
    /// Evacuated failure domains, and who shares what cold targets stand.
    pub(crate) gate: Gate,
    /// Signs of life of the hosts that this one waits for.
    pub(crate) pulses: Pulses,
    /// Changes when targets or the configuration do.
    pub(crate) moved: watch::Sender<()>,
    settings: ArcSwap<Settings>,
    declared: ArcSwapOption<Declared>,
    /// The declarations as they go to other hosts.
    pub(crate) packed: Packed,
    links: ArcSwap<Links>,
    known: Mutex<Known>,
    budget: Mutex<Budget>,
    poison: Mutex<Poison>,
    estimate: Mutex<Estimate>,
    directory: Mutex<Directory>,
    sources: Mutex<Sources>,
    /// Whether this host reads the store itself.
    reading: watch::Sender<bool>,
    /// Changes when a read has proved the configuration.
    proofs: watch::Sender<()>,
    sampler: Mutex<Sampler>,
    distrust: Mutex<Distrust>,
    stopping: AtomicBool,
    cautious: AtomicU64,
    open: AtomicU64,
    draws: AtomicU64,
}

/// Part of the time after which a key that was taken away must not work, percent, after which a
/// proof is too old for a host that still reaches the store: two reads, one of them slow. What is
/// left is time to ask another.
const BLIND_KEYS: u64 = 40;
/// The same of the time in which a change must be in force: what is left is the wait of one query,
/// and a read.
const BLIND_CHANGE: u64 = 50;
/// The same of the time in which an evacuated failure domain must get nothing: one watch, and an
/// answer that is lost.
const BLIND_EVACUATION: u64 = 70;
/// Time within which connections of several targets that go silent have one cause, ms.
const SILENT_TOGETHER: Ms = Ms(3_000);

/// The target whose connection went silent last, and when.
#[derive(Default)]
struct Distrust {
    last: Option<(Ms, TargetId)>,
}

impl Distrust {
    /// Whether another target's connection went silent shortly before.
    fn silent(&mut self, now: Ms, target: &TargetId) -> bool {
        let last = self.last.replace((now, target.clone()));
        last.is_some_and(|(at, id)| id != *target && now - at <= SILENT_TOGETHER)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The fleet's allowance for second sends, from the settings.
pub(crate) fn allowance(settings: &Settings) -> Allowance {
    let bounds = &settings.bounds;
    Allowance {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: Ms((bounds.retry_window_s * 1000.0) as u64),
    }
}

impl Core {
    pub(crate) fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        clock: Arc<dyn Clock>,
        members: Members,
        metrics: Metrics,
    ) -> Self {
        let revoke = settings.bounds.revoke_strict.then_some(settings.bounds.revoke_ms);
        let known = Known {
            registry: Registry::default(),
            freshness: Freshness::new(revoke),
            log: ChangeLog::default(),
            lapse: Ms::ZERO,
        };
        Self {
            dialect,
            metrics,
            members,
            gate: Gate::new(clock.now(), &settings),
            pulses: Pulses::default(),
            moved: watch::Sender::new(()),
            budget: Mutex::new(Budget::new(allowance(&settings))),
            draws: AtomicU64::new(base::hash_parts(&[
                settings.host.as_str().as_bytes(),
                &clock.now().0.to_le_bytes(),
            ])),
            clock,
            settings: ArcSwap::from_pointee(settings),
            declared: ArcSwapOption::empty(),
            packed: Packed::default(),
            links: ArcSwap::from_pointee(Links::default()),
            known: Mutex::new(known),
            poison: Mutex::default(),
            estimate: Mutex::default(),
            directory: Mutex::default(),
            sources: Mutex::default(),
            reading: watch::Sender::new(true),
            proofs: watch::Sender::new(()),
            sampler: Mutex::default(),
            distrust: Mutex::default(),
            stopping: AtomicBool::new(false),
            cautious: AtomicU64::new(0),
            open: AtomicU64::new(0),
        }
    }

    pub(crate) fn settings(&self) -> Guard<Arc<Settings>> {
        self.settings.load()
    }

    /// Takes changed settings; addresses stay as they were at the start.
    pub(crate) fn set_settings(&self, settings: Settings) {
        *lock(&self.budget) = Budget::new(allowance(&settings));
        self.settings.store(Arc::new(settings));
    }

    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.declared.load().as_ref().map(|d| d.catalog.clone())
    }

    /// The declarations in force, with their text.
    pub(crate) fn declared(&self) -> Option<Arc<Declared>> {
        self.declared.load_full()
    }

    pub(crate) fn limits(&self) -> Limits {
        self.declared.load().as_ref().map(|d| d.catalog.limits.clone()).unwrap_or_default()
    }

    pub(crate) fn links(&self) -> Guard<Arc<Links>> {
        self.links.load()
    }

    pub(crate) fn distance(&self, domain: &DomainId) -> Distance {
        choose::distance(self, domain)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        lock(&self.budget)
    }

    pub(crate) fn poison(&self) -> MutexGuard<'_, Poison> {
        lock(&self.poison)
    }

    pub(crate) fn estimate(&self) -> MutexGuard<'_, Estimate> {
        lock(&self.estimate)
    }

    /// Another host has sent an engine a prompt that takes `time` to read.
    pub(crate) fn read_elsewhere(&self, life: &str, time: Ms) {
        let links = self.links();
        // Its life follows its name.
        let name = life.rsplit_once('@').map_or(life, |(name, _)| name);
        let link = links.named(&name.into()).filter(|l| l.life().as_str() == life);
        if let Some(link) = link {
            link.backlog().sent(self.clock.now(), time);
        }
    }

    /// Engines by the subjects that they have read, for those that this host keeps the list of.
    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        lock(&self.directory)
    }

    /// Whether a request may be at a target.
    pub(crate) fn allows(&self, residency: &Residency, link: &Link) -> bool {
        let settings = self.settings();
        match residency {
            Residency::Anywhere => true,
            limit => limit.allows_place(settings.region_of(&link.entry.domain)),
        }
    }

    /// Which hosts read the store.
    pub(crate) fn sources(&self) -> MutexGuard<'_, Sources> {
        lock(&self.sources)
    }

    /// Whether this host reads the store itself from now on.
    pub(crate) fn set_reading(&self, reads: bool) {
        let changed =
            self.reading.send_if_modified(|reading| std::mem::replace(reading, reads) != reads);
        match reads {
            _ if !changed => {}
            true => note!(logs::Event::ReadingBegun),
            false => note!(logs::Event::ReadingEnded),
        }
    }

    /// Whether this host reads the store itself, and changes of that.
    pub(crate) fn reading(&self) -> watch::Receiver<bool> {
        self.reading.subscribe()
    }

    /// Whether a success gets a log line, and for how many it stands. A late one always does, for
    /// none but itself where the sample passes over it: callers complain of it as of a failure.
    pub(crate) fn sample(&self, late: bool) -> Option<u64> {
        let sampled = lock(&self.sampler).take(self.clock.now());
        sampled.or(late.then_some(0))
    }

    /// A connection to a target went silent under a request. When those to several targets do at
    /// about the same time, something on the way has lost track of connections: all idle ones are
    /// dropped, since each would cost the request that is sent on it.
    pub(crate) fn silent(&self, link: &Link) {
        link.pool.clear();
        let many = lock(&self.distrust).silent(self.clock.now(), &link.entry.id);
        if many {
            note!(logs::Event::ConnectionsDropped, target = link.name());
            self.links().all().for_each(|l| l.pool.clear());
        }
    }

    /// A number that no other call of any host gets, for spreading.
    pub(crate) fn draw(&self) -> u64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        base::hash_parts(&[&n.to_le_bytes()])
    }

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
                    gate::cool_domain(self, domain);
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
        let next = self.links.load().renew(self.clock.now(), targets, evacuated, unheard);
        self.links.store(Arc::new(next));
        self.moved.send_replace(());
    }

    /// Whether the platform should send callers here: there is a configuration, it is known to be
    /// current, there are targets, and the host isn't stopping.
    pub(crate) fn ready(&self) -> bool {
        let current = match self.declared.load().as_ref() {
            Some(declared) if declared.catalog.needs_keys() => self.proof() == Proof::Current,
            Some(_) => true,
            None => false,
        };
        current && self.knows_evacuations() && !self.stopping() && self.links().ready() > 0
    }

    /// Until when results are kept until an engine's answer begins.
    pub(crate) fn cautious_until(&self) -> Ms {
        Ms(self.cautious.load(Ordering::Relaxed))
    }

    /// Results were given up before an engine had read them.
    pub(crate) fn be_cautious(&self, until: Ms) {
        self.cautious.store(until.0, Ordering::Relaxed);
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Requests under way, for the stop.
    pub(crate) fn open(&self) -> &AtomicU64 {
        &self.open
    }
}
