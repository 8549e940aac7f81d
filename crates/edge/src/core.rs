//! State shared by all parts of an edge host.

mod builds;
mod eras;
mod known;
mod proof;
mod quarantine;
mod silence;

use arc_swap::{ArcSwap, ArcSwapOption, Guard};
use base::{Clock, Ms, PauseMeter, PoolId};
use catalog::{Builds, Catalog, Limits, Quarantine, Residency};
use logs::note;
use sched::budget::{Allowance, Past, RetryBudget, Spender};
use sched::detour::Detours;
use sched::directory::Directory as SubjectDirectory;
use sched::estimate::Estimate;
use sched::origins::Origins;
use sched::reach::Reach;
use sched::sample::Sampler;
use sched::sound::SoundParts;
use sched::store_reader::StoreReaders;
use sched::suspects::Ends;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};

pub(crate) use self::known::Source;
use self::known::StoreView;
use self::silence::SilenceDetector;
use crate::callers::Callers;
use crate::connections::Queues;
use crate::dialect::Dialect;
use crate::directory::{Declared, Directory};
use crate::ended::Suspicions;
use crate::gate::Gate;
use crate::links::{Link, Links};
use crate::liveness::LivenessProbes;
use crate::loads::Loads;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::CompressedConfig;

/// The shared state.
pub(crate) struct Core {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) metrics: Metrics,
    pub(crate) members: Members,
    /// For how long this host did not run.
    pub(crate) pauses: Arc<PauseMeter>,
    /// Evacuated failure domains, and the hosts that share the request limit of cold targets.
    pub(crate) gate: Gate,
    /// What is held for callers.
    pub(crate) callers: Callers,
    /// Requests that wait for connections.
    pub(crate) queues: Queues,
    /// Liveness checks of the hosts whose results this one waits for.
    pub(crate) liveness: LivenessProbes,
    /// Loads of the services that run stages.
    pub(crate) loads: Loads,
    /// Notifies of changes of the targets or the configuration.
    pub(crate) changed: watch::Sender<()>,
    settings: ArcSwap<Settings>,
    declared: ArcSwapOption<Declared>,
    /// The configuration's text as it is sent to other hosts.
    pub(crate) compressed: CompressedConfig,
    links: ArcSwap<Links>,
    store: Mutex<StoreView>,
    /// Notifies of registrations that have lapsed.
    pub(crate) lapses: Notify,
    budget: Mutex<RetryBudget>,
    /// The budget of stages that this host hands to a composer again.
    stage_budget: Mutex<RetryBudget>,
    quarantine: Mutex<Quarantine>,
    sound_parts: Mutex<SoundParts>,
    sound_requests: Mutex<SoundParts>,
    ends: Mutex<Ends>,
    /// Targets that may have ended under requests.
    pub(crate) suspicions: Suspicions,
    /// Notifies that there are new ends of targets.
    pub(crate) ends_due: Notify,
    /// Notifies that the cause of ends was looked for.
    pub(crate) ends_looked: Notify,
    /// Notifies of parts and requests that are refused from now on.
    suspects_found: watch::Sender<()>,
    estimate: Mutex<Estimate>,
    subjects: Mutex<SubjectDirectory>,
    builds: Mutex<Builds>,
    /// When the last successful read of the list of software versions was sent.
    pub(crate) builds_read: tokio::sync::Mutex<Ms>,
    origins: Mutex<Origins>,
    /// Whether other hosts were asked for the newest configuration, where that was needed.
    newest_asked: AtomicBool,
    /// Whether it was tried to read where streams began that earlier hosts have begun.
    origins_read: AtomicBool,
    /// Notifies that other hosts may have to be told of streams that began here.
    pub(crate) origins_due: Notify,
    store_readers: Mutex<StoreReaders>,
    /// Whether this host reads the store itself.
    store_reader: watch::Sender<bool>,
    /// When this host last began to read the store itself.
    reading_since: AtomicU64,
    /// Era of the store, since its last return from an older copy that this host has noticed.
    eras: watch::Sender<u64>,
    /// Notifies when a read of the configuration has proved that it is current, or has failed.
    proofs: watch::Sender<()>,
    /// When a read of the configuration failed last, in ms; 0 before the first failure.
    read_failed: AtomicU64,
    /// Whether this host reaches the targets of each service.
    reach: Mutex<HashMap<PoolId, Reach>>,
    detours: Mutex<Detours>,
    sampler: Mutex<Sampler>,
    silences: Mutex<SilenceDetector>,
    stopping: AtomicBool,
    /// Up to this time, in ms, stage results are kept until the engine's answer begins.
    keep_results: AtomicU64,
    open: AtomicU64,
    draws: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The fleet-wide retry budget, from the settings.
pub(crate) fn allowance(settings: &Settings) -> Allowance {
    let bounds = &settings.bounds;
    Allowance {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: Ms((bounds.retry_window_s * 1000.0) as u64),
    }
}

/// What a host's shared state is made of.
pub(crate) struct Parts {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) members: Members,
    pub(crate) pauses: Arc<PauseMeter>,
    pub(crate) metrics: Metrics,
    pub(crate) callers: Callers,
}

impl Core {
    pub(crate) fn new(settings: Settings, parts: Parts) -> Self {
        let Parts { dialect, directory, clock, members, pauses, metrics, callers } = parts;
        let revoke = settings.bounds.revoke_strict.then_some(settings.bounds.revoke_ms);
        let now = clock.now();
        let past = if settings.first_start { Past::None } else { Past::Unknown(now) };
        Self {
            dialect,
            directory,
            metrics,
            members,
            pauses,
            gate: Gate::new(now, &settings),
            callers,
            queues: Queues::default(),
            liveness: LivenessProbes::default(),
            loads: Loads::default(),
            changed: watch::Sender::new(()),
            budget: Mutex::new(RetryBudget::new(allowance(&settings), past)),
            stage_budget: Mutex::new(RetryBudget::of(
                Spender::Submitters,
                allowance(&settings),
                past,
            )),
            draws: AtomicU64::new(base::hash_parts(&[
                settings.host.as_str().as_bytes(),
                &now.0.to_le_bytes(),
            ])),
            clock,
            settings: ArcSwap::from_pointee(settings),
            declared: ArcSwapOption::empty(),
            compressed: CompressedConfig::default(),
            links: ArcSwap::from_pointee(Links::default()),
            store: Mutex::new(StoreView::new(revoke)),
            lapses: Notify::new(),
            quarantine: Mutex::default(),
            sound_parts: Mutex::default(),
            sound_requests: Mutex::default(),
            suspicions: Suspicions::default(),
            ends: Mutex::default(),
            ends_due: Notify::new(),
            ends_looked: Notify::new(),
            suspects_found: watch::Sender::new(()),
            estimate: Mutex::default(),
            subjects: Mutex::default(),
            builds: Mutex::default(),
            builds_read: tokio::sync::Mutex::new(Ms::ZERO),
            origins: Mutex::default(),
            newest_asked: AtomicBool::new(false),
            origins_read: AtomicBool::new(false),
            origins_due: Notify::new(),
            store_readers: Mutex::default(),
            store_reader: watch::Sender::new(true),
            reading_since: AtomicU64::new(now.0),
            eras: watch::Sender::new(0),
            proofs: watch::Sender::new(()),
            read_failed: AtomicU64::new(0),
            reach: Mutex::default(),
            detours: Mutex::default(),
            sampler: Mutex::default(),
            silences: Mutex::default(),
            stopping: AtomicBool::new(false),
            keep_results: AtomicU64::new(0),
            open: AtomicU64::new(0),
        }
    }

    pub(crate) fn settings(&self) -> Guard<Arc<Settings>> {
        self.settings.load()
    }

    /// Applies changed settings. Addresses that are in use stay as they were at the start.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.budgets().for_each(|mut b| b.set_allowance(allowance(&settings)));
        self.callers.apply(&settings);
        self.settings.store(Arc::new(settings));
    }

    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.declared.load().as_ref().map(|d| d.catalog.clone())
    }

    /// The configuration in force, with its text.
    pub(crate) fn declared(&self) -> Option<Arc<Declared>> {
        self.declared.load_full()
    }

    pub(crate) fn limits(&self) -> Limits {
        self.declared.load().as_ref().map(|d| d.catalog.limits.clone()).unwrap_or_default()
    }

    pub(crate) fn links(&self) -> Guard<Arc<Links>> {
        self.links.load()
    }

    /// What this host may send again of the requests of its callers, or of their stages. Composers have
    /// budgets of their own.
    pub(crate) fn budget(&self, spender: Spender) -> MutexGuard<'_, RetryBudget> {
        match spender {
            Spender::Requests => lock(&self.budget),
            Spender::Composers | Spender::Submitters => lock(&self.stage_budget),
        }
    }

    /// Both of these budgets.
    pub(crate) fn budgets(&self) -> impl Iterator<Item = MutexGuard<'_, RetryBudget>> {
        [&self.budget, &self.stage_budget].into_iter().map(lock)
    }

    pub(crate) fn estimate(&self) -> MutexGuard<'_, Estimate> {
        lock(&self.estimate)
    }

    /// Records that another host has sent an engine a prompt that takes `time` to read.
    pub(crate) fn record_remote_prompt(&self, id: &str, time: Ms) {
        if let Some(link) = self.incarnation(id) {
            link.backlog().sent(self.clock.now(), time);
        }
    }

    /// The target incarnation of this id, if it is the known one of its target.
    pub(crate) fn incarnation(&self, id: &str) -> Option<Arc<Link>> {
        // The id is the target's name and its start time, see `Link::incarnation`.
        let name = id.rsplit_once('@').map_or(id, |(name, _)| name);
        let links = self.links();
        links.named(&name.into()).filter(|l| l.incarnation().as_str() == id).cloned()
    }

    /// Engines that have read a subject, for the subjects whose list this host keeps.
    pub(crate) fn subjects(&self) -> MutexGuard<'_, SubjectDirectory> {
        lock(&self.subjects)
    }

    /// Whether a request may be processed in the region of a target.
    pub(crate) fn allows(&self, residency: &Residency, link: &Link) -> bool {
        let settings = self.settings();
        match residency {
            Residency::Anywhere => true,
            limit => limit.allows_place(settings.region_of(&link.entry.domain)),
        }
    }

    /// Reads or changes what this host knows of its connections to a service.
    pub(crate) fn reach<T>(&self, service: &PoolId, f: impl FnOnce(&mut Reach) -> T) -> T {
        f(lock(&self.reach).entry(service.clone()).or_default())
    }

    /// Hosts that could not connect to a target for this one.
    pub(crate) fn detours(&self) -> MutexGuard<'_, Detours> {
        lock(&self.detours)
    }

    /// State of choosing the host of the failure domain that reads the store.
    pub(crate) fn store_readers(&self) -> MutexGuard<'_, StoreReaders> {
        lock(&self.store_readers)
    }

    /// Sets whether this host reads the store itself.
    pub(crate) fn set_store_reader(&self, reads: bool) {
        // Before others can see that it reads: they would go by the time of an earlier reading.
        if reads && !*self.store_reader.borrow() {
            self.reading_since.store(self.clock.now().0, Ordering::Relaxed);
        }
        let changed =
            self.store_reader.send_if_modified(|reader| std::mem::replace(reader, reads) != reads);
        match reads {
            _ if !changed => {}
            true => note!(logs::Event::ReadingBegun),
            false => note!(logs::Event::ReadingEnded),
        }
    }

    /// Watches whether this host reads the store itself.
    pub(crate) fn store_reader(&self) -> watch::Receiver<bool> {
        self.store_reader.subscribe()
    }

    /// Whether a success is logged, and how many successes that line stands for. A late one is
    /// always logged, since callers complain of it as of a failure; if it isn't in the sample, its
    /// line stands for no others and the count is 0.
    pub(crate) fn sample(&self, late: bool) -> Option<u64> {
        let sampled = lock(&self.sampler).take(self.clock.now());
        sampled.or(late.then_some(0))
    }

    /// Records that a connection to a target stopped answering during a request. If that happens
    /// with several targets at about the same time, a device on the network path has lost its
    /// connection state: all idle connections are dropped, since each would fail the request that
    /// is sent on it.
    pub(crate) fn record_silence(&self, link: &Link) {
        link.pool.clear();
        let many = lock(&self.silences).record(self.clock.now(), &link.entry.id);
        if many {
            note!(logs::Event::ConnectionsDropped, target = link.name());
            self.links().all().for_each(|l| l.pool.clear());
        }
    }

    /// A pseudo-random number to spread load and retries with; each call returns another one, and
    /// hosts have different sequences.
    pub(crate) fn draw(&self) -> u64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        base::hash_parts(&[&n.to_le_bytes()])
    }

    /// Whether the platform should send callers here: there is a configuration, it is proved
    /// current if it has keys, evacuations, the versions at which streams may begin and the parts that
    /// end engines are known, there are targets, and the host isn't stopping.
    pub(crate) fn ready(&self) -> bool {
        let current = self.version().is_some() && self.keys_usable();
        let known = self.knows_evacuations() && self.knows_builds() && self.knows_quarantine();
        let known = known && self.origins_read() && self.holds_newest();
        current && known && !self.stopping() && self.links().ready() > 0
    }

    /// Up to this time stage results are kept until the engine's answer begins; after it, they are
    /// released soon after the send.
    pub(crate) fn keep_results_until(&self) -> Ms {
        Ms(self.keep_results.load(Ordering::Relaxed))
    }

    /// From now up to `until`, keeps stage results until the engine's answer begins: some were
    /// released before an engine had read them.
    pub(crate) fn set_keep_results(&self, until: Ms) {
        self.keep_results.store(until.0, Ordering::Relaxed);
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Number of open requests; a stopping host waits for them.
    pub(crate) fn open(&self) -> &AtomicU64 {
        &self.open
    }
}
