//! The platform's object API in memory, timed by the tokio clock, with faults drawn from a seed.
//!
//! One [`MemStore`] is the platform; each host calls it through its own [`MemApi`], so that single
//! hosts can be cut off. With a paused tokio clock the same seed and calls give the same history.

use async_trait::async_trait;
use base::{Ms, Version};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::{Api, StoreError};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use wire::{Object, ObjectList};

use crate::{Objects, PlatformStats};

/// Number of older versions per object that stale reads choose from.
const MAX_OLD_VERSIONS: usize = 4;

/// Faults of a [`MemStore`]. Shares are percent of calls, drawn from the seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemFaults {
    /// No call reaches the store.
    pub down: bool,
    /// Every call is rejected with a retry time.
    pub busy: bool,
    /// Minimum duration of a call.
    pub min_ms: Ms,
    /// Maximum duration of a call.
    pub max_ms: Ms,
    /// Writes that take effect although their answer is lost, percent.
    pub lost_answers: u8,
    /// Writes whose answer is lost and that take effect up to `late_ms` later, percent.
    pub late_writes: u8,
    /// Maximum delay of late writes.
    pub late_ms: Ms,
    /// Reads of one object that return an older version, percent.
    pub stale_reads: u8,
    /// How long a caller waits for a lost answer.
    pub timeout_ms: Ms,
}

impl Default for MemFaults {
    fn default() -> Self {
        Self {
            down: false,
            busy: false,
            min_ms: Ms(2),
            max_ms: Ms(6),
            lost_answers: 0,
            late_writes: 0,
            late_ms: Ms::secs(2),
            stale_reads: 0,
            timeout_ms: Ms(200),
        }
    }
}

/// A platform in memory.
pub struct MemStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

struct Inner {
    objects: Objects,
    older: BTreeMap<(String, String), Vec<Object>>,
    faults: MemFaults,
    cut: BTreeSet<String>,
    rng: ChaCha8Rng,
    stats: PlatformStats,
}

/// One caller's access to a [`MemStore`].
pub struct MemApi {
    store: Arc<MemStore>,
    caller: String,
}

/// Outcome of one write.
enum WriteOutcome {
    Answered,
    Lost,
    Late(Ms),
}

impl MemStore {
    /// Creates an empty store.
    pub fn new(seed: u64) -> Arc<Self> {
        let inner = Inner {
            objects: Objects::default(),
            older: BTreeMap::new(),
            faults: MemFaults::default(),
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            stats: PlatformStats::default(),
        };
        Arc::new(Self { inner: Mutex::new(inner), changed: watch::Sender::new(0) })
    }

    /// The API for one caller; `caller` is the name for [`MemStore::cut`].
    pub fn api(self: &Arc<Self>, caller: &str) -> Arc<MemApi> {
        Arc::new(MemApi { store: self.clone(), caller: caller.to_owned() })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: MemFaults) {
        self.lock().faults = faults;
    }

    /// Cuts a caller off from the store, or reconnects it.
    pub fn cut(&self, caller: &str, cut: bool) {
        let mut inner = self.lock();
        if cut {
            inner.cut.insert(caller.to_owned());
        } else {
            inner.cut.remove(caller);
        }
    }

    /// Number of calls that reached the store so far.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    /// The actual content, for test oracles.
    pub fn all(&self, kind: &str) -> ObjectList {
        self.lock().objects.list(kind, Version(0))
    }

    fn put_now(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        let mut inner = self.lock();
        let old = inner.objects.get(kind, name).cloned();
        let version = inner.objects.put(kind, name, expected, body)?;
        let older = inner.older.entry((kind.to_owned(), name.to_owned())).or_default();
        older.extend(old);
        if older.len() > MAX_OLD_VERSIONS {
            older.remove(0);
        }
        drop(inner);
        self.changed.send_replace(version.0);
        Ok(version)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn chance(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn outcome(&mut self) -> WriteOutcome {
        let MemFaults { lost_answers, late_writes, late_ms, .. } = self.faults;
        match () {
            () if self.chance(lost_answers) => WriteOutcome::Lost,
            () if self.chance(late_writes) => {
                WriteOutcome::Late(Ms(self.rng.random_range(0..=late_ms.0)))
            }
            () => WriteOutcome::Answered,
        }
    }

    fn read(&mut self, kind: &str, name: &str) -> Option<Object> {
        let stale = self.faults.stale_reads;
        let current = self.objects.get(kind, name).cloned();
        if !self.chance(stale) {
            return current;
        }
        let older = self.older.get(&(kind.to_owned(), name.to_owned()));
        let count = older.map_or(0, Vec::len);
        match self.rng.random_range(0..=count) {
            n if n < count => older.map(|o| o[n].clone()),
            _ => current,
        }
    }
}

impl MemApi {
    /// Waits for the duration of a call, then fails if the platform can't be reached.
    async fn reach(&self) -> Result<(), StoreError> {
        let (duration, timeout_ms, down) = {
            let mut inner = self.store.lock();
            let MemFaults { min_ms, max_ms, timeout_ms, .. } = inner.faults;
            let duration = Ms(inner.rng.random_range(min_ms.0..=max_ms.0.max(min_ms.0)));
            (duration, timeout_ms, self.is_cut(&inner))
        };
        if down || duration > timeout_ms {
            sleep(duration.min(timeout_ms).duration()).await;
            return Err(StoreError::Down);
        }
        sleep(duration.duration()).await;
        let inner = self.store.lock();
        match () {
            () if self.is_cut(&inner) => Err(StoreError::Down),
            () if inner.faults.busy => Err(StoreError::Busy { retry_after: Ms(100) }),
            () => Ok(()),
        }
    }

    fn is_cut(&self, inner: &Inner) -> bool {
        inner.faults.down || inner.cut.contains(&self.caller)
    }
}

#[async_trait]
impl Api for MemApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.reach().await?;
        let mut inner = self.store.lock();
        inner.stats.reads += 1;
        Ok(inner.read(kind, name))
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.reach().await?;
        let mut inner = self.store.lock();
        inner.stats.reads += 1;
        Ok(inner.objects.list(kind, Version(0)))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        self.reach().await?;
        let (outcome, timeout_ms) = {
            let mut inner = self.store.lock();
            inner.stats.writes += 1;
            (inner.outcome(), inner.faults.timeout_ms)
        };
        match outcome {
            WriteOutcome::Answered => self.store.put_now(kind, name, expected, body),
            WriteOutcome::Lost => {
                let _ = self.store.put_now(kind, name, expected, body);
                sleep(timeout_ms.duration()).await;
                Err(StoreError::OutcomeUnknown)
            }
            WriteOutcome::Late(after) => {
                let store = self.store.clone();
                let (kind, name, body) = (kind.to_owned(), name.to_owned(), body.to_owned());
                tokio::spawn(async move {
                    sleep(after.duration()).await;
                    let _ = store.put_now(&kind, &name, expected, &body);
                });
                sleep(timeout_ms.duration()).await;
                Err(StoreError::OutcomeUnknown)
            }
        }
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.reach().await?;
        self.store.lock().stats.watches += 1;
        let mut changed = self.store.changed.subscribe();
        let newer = async {
            loop {
                let list = self.store.lock().objects.list(kind, after);
                if !list.objects.is_empty() || changed.changed().await.is_err() {
                    return list;
                }
            }
        };
        let list = timeout(wait.duration(), newer).await;
        if self.is_cut(&self.store.lock()) {
            return Err(StoreError::Down);
        }
        Ok(list.unwrap_or(ObjectList { version: after.0, objects: vec![] }))
    }
}
