//! What all parts of an edge host share.

mod known;

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use base::{Clock, Ms, TargetId};
use catalog::{Catalog, Limits, Proof, Residency};
use logs::note;
use sched::budget::{Allowance, Budget};
use sched::directory::Directory;
use sched::estimate::Estimate;
use sched::poison::Poison;
use sched::sample::Sampler;
use sched::source::Sources;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

use self::known::Known;
use crate::dialect::Dialect;
use crate::directory::Declared;
use crate::gate::Gate;
use crate::links::{Link, Links};
use crate::liveness::LivenessProbes;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Packed;

/// The shared state.
pub(crate) struct Core {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) metrics: Metrics,
    pub(crate) members: Members,
    /// Evacuated failure domains, and who shares what cold targets stand.
    pub(crate) gate: Gate,
    /// Signs of life of the hosts that this one waits for.
    pub(crate) pulses: LivenessProbes,
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
        Self {
            dialect,
            metrics,
            members,
            gate: Gate::new(clock.now(), &settings),
            pulses: LivenessProbes::default(),
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
            known: Mutex::new(Known::new(revoke)),
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
        if let Some(link) = self.life(life) {
            link.backlog().sent(self.clock.now(), time);
        }
    }

    /// One life of a target, while it is known.
    pub(crate) fn life(&self, life: &str) -> Option<Arc<Link>> {
        // Its life follows its name.
        let name = life.rsplit_once('@').map_or(life, |(name, _)| name);
        let links = self.links();
        links.named(&name.into()).filter(|l| l.life().as_str() == life).cloned()
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
