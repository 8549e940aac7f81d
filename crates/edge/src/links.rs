//! The targets that take work, with this host's connections to each and what it knows of its health
//! and load.

use base::{DomainId, Ms, PoolId, TargetId};
use catalog::{Entry, Target};
use link::{Pool, PoolConfig};
use sched::health::{Health, Outcome};
use sched::limit::Limit;
use sched::prefill::{Backlog, CachedSubjects};
use sched::warmup::WarmupState;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::connections::Connections;
use crate::exposures::Exposures;
use crate::reports::Reports;
use crate::unread::Unread;

/// Time-out for opening a connection. Round trips take up to about 40 ms; a target that does not
/// accept a connection in this time is down or full, and another is tried, since nothing was sent.
const CONNECT_TIMEOUT: Ms = Ms(300);
/// How long an idle connection may be reused, unless the target announces a shorter time.
const IDLE_TIMEOUT: Ms = Ms::secs(20);
/// Receive buffer of a connection to a target, bytes. What waits there for a caller that doesn't read its
/// stream counts as memory of this host; [`memory::BLOCKED_BYTES`] contains it.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Most idle connections kept to one target.
const MAX_IDLE: usize = 32;

/// One incarnation of a target, from its start to its end, as this host sees it.
pub(crate) struct Link {
    /// Its registration.
    pub(crate) entry: Entry,
    /// Connections to it.
    pub(crate) pool: Pool,
    /// This host's share of the connections that it accepts.
    pub(crate) connections: Connections,
    health: Mutex<Health>,
    open: AtomicU32,
    /// Its load and pace, as it reports them.
    pub(crate) reports: Reports,
    limit: Mutex<Limit>,
    leaving: AtomicBool,
    /// Whether it was known to take no more work, so that its end is planned.
    retiring: AtomicBool,
    /// Until when it has asked this host to send nothing, ms.
    paused: AtomicU64,
    backlog: Mutex<Backlog>,
    subjects: Mutex<CachedSubjects>,
    warmup: Mutex<WarmupState>,
    exposures: Mutex<Exposures>,
    unread: Mutex<Unread>,
    /// When its process started, as last reported; none while nothing is known of the one that runs.
    started: Mutex<Option<u64>>,
    /// When it was last checked whether it still runs, ms.
    checked: AtomicU64,
    /// Until when it may have started again without being registered, since a connection ended, ms.
    restarted: AtomicU64,
    /// Time after a failed connection within which it would register again if it had been
    /// restarted.
    rejoin_time: Ms,
}

/// Counts a request as open at a target until it is dropped.
pub(crate) struct OpenRequest(Arc<Link>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        // A request that was dropped has no outcome, and must not block the next trial.
        self.0.health().end();
    }
}

impl Link {
    fn new(now: Ms, entry: Entry, rejoin_time: Ms) -> Self {
        let mut warmup = WarmupState::default();
        warmup.cold_until(now + entry.warmup);
        let config = PoolConfig {
            connect_ms: CONNECT_TIMEOUT,
            idle: MAX_IDLE,
            idle_ms: IDLE_TIMEOUT,
            receive_bytes: Some(RECEIVE_BUFFER_BYTES),
        };
        Self {
            pool: Pool::new(entry.addr, config),
            connections: Connections::default(),
            health: Mutex::default(),
            open: AtomicU32::new(0),
            reports: Reports::default(),
            limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            retiring: AtomicBool::new(false),
            paused: AtomicU64::new(0),
            backlog: Mutex::default(),
            subjects: Mutex::default(),
            warmup: Mutex::new(warmup),
            exposures: Mutex::default(),
            unread: Mutex::default(),
            started: Mutex::new(Some(entry.born)),
            entry,
            checked: AtomicU64::new(0),
            restarted: AtomicU64::new(0),
            rejoin_time,
        }
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        self.entry.id.as_str()
    }

    /// Id of this incarnation: the target's name and start time.
    pub(crate) fn incarnation(&self) -> TargetId {
        TargetId::from(format!("{}@{}", self.entry.id, self.entry.born))
    }

    /// The version of its software.
    pub(crate) fn build(&self) -> &str {
        self.entry.build.as_str()
    }

    /// Records that a request to it begins.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenRequest {
        self.health().begin();
        self.open.fetch_add(1, Ordering::Relaxed);
        self.reports.begin();
        OpenRequest(self.clone())
    }

    /// Its health, as learned from the outcomes of requests.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prompts that it has been sent and has yet to read.
    pub(crate) fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subjects of the prompts that it has read.
    pub(crate) fn subjects(&self) -> MutexGuard<'_, CachedSubjects> {
        self.subjects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it is cold, and the requests that it got lately.
    pub(crate) fn warmup(&self) -> MutexGuard<'_, WarmupState> {
        self.warmup.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the outcome of a request.
    pub(crate) fn record(&self, now: Ms, outcome: Outcome) {
        self.health().record(now, outcome);
        match outcome {
            Outcome::Good(took) => self.reports.record_response(now, took, self.entry.slots),
            // It may have been restarted, and be cold before its new registration is known.
            Outcome::NoConnection | Outcome::Broken | Outcome::Silent => {
                self.warmup().suspect_until(now + self.rejoin_time);
                self.suspect_restart(now);
            }
            Outcome::Failed | Outcome::Full => {}
        }
    }

    /// Forgets failures that were due to this host's own links.
    pub(crate) fn reinstate(&self) {
        self.health().reinstate();
        self.warmup().clear_suspicion();
    }

    /// Whether it may have started again since it registered: a connection has ended, and if it was
    /// restarted, its new registration may not be known yet.
    pub(crate) fn restart_suspected(&self, now: Ms) -> bool {
        if self.pool.prune() {
            self.suspect_restart(now);
        }
        now < Ms(self.restarted.load(Ordering::Relaxed))
    }

    /// Records that it is the registered incarnation.
    pub(crate) fn clear_restart(&self) {
        self.restarted.store(0, Ordering::Relaxed);
    }

    fn suspect_restart(&self, now: Ms) {
        self.restarted.fetch_max((now + self.rejoin_time).0, Ordering::Relaxed);
    }

    /// Requests that it may have begun to run and has not answered.
    pub(crate) fn exposures(&self) -> MutexGuard<'_, Exposures> {
        self.exposures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends that it is not known to have read.
    pub(crate) fn unread(&self) -> MutexGuard<'_, Unread> {
        self.unread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets when its process started, as it reports; none if none runs. Returns what was known before.
    pub(crate) fn set_started(&self, started: Option<u64>) -> Option<u64> {
        let mut known = self.started.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *known, started)
    }

    /// Whether it may be checked now: the last check was at least `interval` ago. If so, this counts as
    /// a check.
    pub(crate) fn begin_check(&self, now: Ms, interval: Ms) -> bool {
        let last = Ms(self.checked.load(Ordering::Relaxed));
        let due = last == Ms::ZERO || now - last >= interval;
        if due {
            self.checked.store(now.0, Ordering::Relaxed);
        }
        due
    }

    /// Records that it announced that it is leaving. Returns whether that was unknown before.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether it has announced that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether it was known to take no more work, so that its end is planned.
    pub(crate) fn is_retiring(&self) -> bool {
        self.retiring.load(Ordering::Relaxed)
    }

    /// Sends it nothing until `until`, as it asked.
    pub(crate) fn pause(&self, until: Ms) {
        self.paused.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Time for which it must still get nothing from this host.
    pub(crate) fn paused(&self, now: Ms) -> Ms {
        Ms(self.paused.load(Ordering::Relaxed)) - now
    }

    /// The limit on requests from all hosts together, while it announces one.
    pub(crate) fn limit(&self) -> MutexGuard<'_, Limit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of requests that it has waiting, as it last reported; none if that is too long ago.
    pub(crate) fn queued(&self, now: Ms) -> u32 {
        self.reports.queued(now)
    }

    /// Number of requests it runs or has queued, as far as is known.
    pub(crate) fn load(&self, now: Ms) -> u32 {
        self.reports.load(now, self.open.load(Ordering::Relaxed))
    }

    /// The same, with the requests that this host sent since the last report.
    pub(crate) fn expected_load(&self, now: Ms) -> u32 {
        self.reports.expected_load(now, self.open.load(Ordering::Relaxed))
    }
}

/// All known targets, and those that take work by service.
#[derive(Default)]
pub(crate) struct Links {
    by_service: HashMap<PoolId, Vec<Arc<Link>>>,
    by_name: HashMap<TargetId, Arc<Link>>,
    /// Failure domains whose targets get no requests.
    evacuated: BTreeSet<DomainId>,
    /// Services that have targets there.
    evacuated_services: BTreeSet<PoolId>,
}

impl Links {
    /// Rebuilds the links from the known targets. A target of the same incarnation as before keeps
    /// its link, with its connections and what was learned of it.
    pub(crate) fn renew<'a>(
        &self,
        now: Ms,
        targets: impl Iterator<Item = &'a Arc<Target>>,
        takes_work: impl Fn(&Entry) -> bool,
        evacuated: BTreeSet<DomainId>,
        rejoin_time: Ms,
    ) -> Self {
        let mut next = Self { evacuated, ..Self::default() };
        for target in targets {
            let entry = &target.entry;
            let known = self.by_name.get(&entry.id).filter(|l| same_incarnation(&l.entry, entry));
            let link = known
                .cloned()
                .unwrap_or_else(|| Arc::new(Link::new(now, entry.clone(), rejoin_time)));
            next.by_name.insert(entry.id.clone(), link.clone());
            match takes_work(entry) {
                true if next.evacuated(&entry.domain) => {
                    next.evacuated_services.insert(entry.service.clone());
                }
                true => next.by_service.entry(entry.service.clone()).or_default().push(link),
                false => link.retiring.store(true, Ordering::Relaxed),
            }
        }
        for links in next.by_service.values_mut() {
            links.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        }
        next
    }

    /// Targets of a service that take new work.
    pub(crate) fn of(&self, service: &PoolId) -> &[Arc<Link>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a failure domain is evacuated: its targets get no requests.
    pub(crate) fn evacuated(&self, domain: &DomainId) -> bool {
        self.evacuated.contains(domain)
    }

    /// Whether a service has targets in evacuated failure domains.
    pub(crate) fn has_evacuated_targets(&self, service: &PoolId) -> bool {
        self.evacuated_services.contains(service)
    }

    /// A target by name, including one that is leaving.
    pub(crate) fn named(&self, id: &TargetId) -> Option<&Arc<Link>> {
        self.by_name.get(id)
    }

    /// All known targets.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.by_name.values()
    }

    /// Whether the registrations name another process in the place of a target than the one that is
    /// known to have run there last.
    pub(crate) fn supersedes(&self, link: &Link) -> bool {
        let same_name =
            self.by_name.get(&link.entry.id).filter(|l| l.entry.born != link.entry.born);
        let renamed =
            |l: &&Arc<Link>| l.entry.addr == link.entry.addr && l.entry.born > link.entry.born;
        let Some(next) = same_name.or_else(|| self.all().find(renamed)) else { return false };
        // Its end may have been counted when it was found out.
        let before = link.set_started(Some(next.entry.born));
        before.is_some_and(|before| before != next.entry.born)
    }

    /// Number of targets that take work.
    pub(crate) fn ready(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }
}

fn same_incarnation(a: &Entry, b: &Entry) -> bool {
    a.born == b.born && a.addr == b.addr && a.service == b.service
}
