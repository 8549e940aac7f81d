//! The targets that take work, with their connections, health and load.

use base::{DomainId, Ms, PoolId, TargetId};
use catalog::{Entry, Target};
use link::{Pool, PoolConfig};
use sched::health::{Health, Outcome};
use sched::limit::Limit;
use sched::reading::{Backlog, Subjects};
use sched::warmup::Warmth;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::dialect::Load;

/// Time to connect, ms. Links take up to some 40 ms there and back; a target that does not take a
/// connection in this time is dark or full, and another is tried, since nothing was sent.
const CONNECT: Ms = Ms(300);
/// An idle connection is used again for this long, ms, unless the target says less.
const IDLE: Ms = Ms::secs(20);
/// Idle connections kept to one target.
const IDLE_KEPT: usize = 32;
/// A target's word on its load counts for this long, ms: the time in which about half of what it
/// runs is done.
const LOAD_AGE: Ms = Ms(500);

/// One life of a target.
pub(crate) struct Link {
    /// What it registered.
    pub(crate) entry: Entry,
    /// Connections to it.
    pub(crate) pool: Pool,
    health: Mutex<Health>,
    open: AtomicU32,
    load: Mutex<Option<(Ms, Load)>>,
    limit: Mutex<Limit>,
    leaving: AtomicBool,
    /// Until when it wants nothing from this host, ms.
    paused: AtomicU64,
    backlog: Mutex<Backlog>,
    subjects: Mutex<Subjects>,
    warmth: Mutex<Warmth>,
    /// Time in which it would have registered again, had it been lost, ms.
    unheard: Ms,
}

/// Counts a request as open at a target until it is dropped.
pub(crate) struct OpenAt(Arc<Link>);

impl Drop for OpenAt {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    fn new(now: Ms, entry: Entry, unheard: Ms) -> Self {
        let mut warmth = Warmth::default();
        warmth.cold_until(now + entry.warmup);
        let config = PoolConfig { connect_ms: CONNECT, idle: IDLE_KEPT, idle_ms: IDLE };
        Self {
            pool: Pool::new(entry.addr, config),
            entry,
            health: Mutex::default(),
            open: AtomicU32::new(0),
            load: Mutex::default(),
            limit: Mutex::default(),
            leaving: AtomicBool::new(false),
            paused: AtomicU64::new(0),
            backlog: Mutex::default(),
            subjects: Mutex::default(),
            warmth: Mutex::new(warmth),
            unheard,
        }
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        self.entry.id.as_str()
    }

    /// Its name with the start of this life.
    pub(crate) fn incarnation(&self) -> TargetId {
        TargetId::from(format!("{}@{}", self.entry.id, self.entry.born))
    }

    /// A request begins there.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenAt {
        self.health().begin();
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenAt(self.clone())
    }

    /// What its answers say of it.
    pub(crate) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Prompts that it has yet to read.
    pub(crate) fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the prompts were about that it has read.
    pub(crate) fn subjects(&self) -> MutexGuard<'_, Subjects> {
        self.subjects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether it is cold, and what it got lately.
    pub(crate) fn warmth(&self) -> MutexGuard<'_, Warmth> {
        self.warmth.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How a send ended.
    pub(crate) fn record(&self, now: Ms, outcome: Outcome) {
        self.health().record(now, outcome);
        match outcome {
            // It may have been lost, and come back cold before it is heard of.
            Outcome::NoConnection | Outcome::Broken | Outcome::Silent => {
                self.warmth().cold_until(now + self.unheard);
            }
            Outcome::Good(_) | Outcome::Failed | Outcome::Full => {}
        }
    }

    /// What it says of its load.
    pub(crate) fn set_load(&self, now: Ms, load: Load) {
        *self.load.lock().unwrap_or_else(PoisonError::into_inner) = Some((now, load));
    }

    /// It says that it leaves. Gives whether that is news.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::Relaxed)
    }

    /// Whether it has said that it leaves.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// It wants nothing from this host until `until`.
    pub(crate) fn pause(&self, until: Ms) {
        self.paused.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Time for which it wants nothing from this host.
    pub(crate) fn paused(&self, now: Ms) -> Ms {
        Ms(self.paused.load(Ordering::Relaxed)) - now
    }

    /// What it takes from all hosts together, while it says so.
    pub(crate) fn limit(&self) -> MutexGuard<'_, Limit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests there, as far as is known.
    pub(crate) fn load(&self, now: Ms) -> u32 {
        let open = self.open.load(Ordering::Relaxed);
        match *self.load.lock().unwrap_or_else(PoisonError::into_inner) {
            Some((at, load)) if now - at <= LOAD_AGE => open.max(load.running + load.waiting),
            _ => open,
        }
    }
}

/// All targets that take work, by service.
#[derive(Default)]
pub(crate) struct Links {
    by_service: HashMap<PoolId, Vec<Arc<Link>>>,
    by_name: HashMap<TargetId, Arc<Link>>,
    /// Failure domains whose targets get nothing.
    evacuated: BTreeSet<DomainId>,
    /// Services that have targets there.
    barred: BTreeSet<PoolId>,
}

impl Links {
    /// From the targets that are known; what is the same life of a target as before keeps its
    /// connections and what was learned of it.
    pub(crate) fn renew<'a>(
        &self,
        now: Ms,
        targets: impl Iterator<Item = &'a Arc<Target>>,
        takes_work: impl Fn(&Entry) -> bool,
        evacuated: BTreeSet<DomainId>,
        unheard: Ms,
    ) -> Self {
        let mut next = Self { evacuated, ..Self::default() };
        for target in targets {
            let entry = &target.entry;
            let known = self.by_name.get(&entry.id).filter(|l| same_life(&l.entry, entry));
            let link =
                known.cloned().unwrap_or_else(|| Arc::new(Link::new(now, entry.clone(), unheard)));
            next.by_name.insert(entry.id.clone(), link.clone());
            match takes_work(entry) {
                true if next.evacuated(&entry.domain) => {
                    next.barred.insert(entry.service.clone());
                }
                true => next.by_service.entry(entry.service.clone()).or_default().push(link),
                false => {}
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

    /// Whether the targets of a failure domain get nothing.
    pub(crate) fn evacuated(&self, domain: &DomainId) -> bool {
        self.evacuated.contains(domain)
    }

    /// Whether a service has targets in evacuated failure domains.
    pub(crate) fn barred(&self, service: &PoolId) -> bool {
        self.barred.contains(service)
    }

    /// A target by name, also one that is leaving.
    pub(crate) fn named(&self, id: &TargetId) -> Option<&Arc<Link>> {
        self.by_name.get(id)
    }

    /// All targets.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.by_name.values()
    }

    /// How many take work.
    pub(crate) fn ready(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }
}

fn same_life(a: &Entry, b: &Entry) -> bool {
    a.born == b.born && a.addr == b.addr && a.service == b.service
}
