//! The platform's object API in memory and in tokio's time, with seeded faults.
//!
//! One [`MemStore`] is the platform; each host calls it through a [`MemApi`] of its own, so that
//! one host can be cut off while others are not. Under a paused tokio clock the same seed and
//! calls give the same history.

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

/// Older versions of each object that stale reads choose from.
const HISTORY: usize = 4;

/// What a [`MemStore`] does wrong. Shares are percent of calls, drawn from the seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemFaults {
    /// Nothing is reached and nothing done.
    pub down: bool,
    /// Asks to come back later; nothing is done.
    pub busy: bool,
    /// Least time of a call, ms.
    pub least_ms: Ms,
    /// Most time of a call, ms.
    pub most_ms: Ms,
    /// Writes that take effect though their answer is lost, percent.
    pub lost_answers: u8,
    /// Writes whose answer is lost and that land `late_ms` later, percent.
    pub late_writes: u8,
    /// How much later at most, ms.
    pub late_ms: Ms,
    /// Reads of one object that give an older version, percent.
    pub stale_reads: u8,
    /// How long a caller waits for an answer that was lost, ms.
    pub silence_ms: Ms,
}

impl Default for MemFaults {
    fn default() -> Self {
        Self {
            down: false,
            busy: false,
            least_ms: Ms(2),
            most_ms: Ms(6),
            lost_answers: 0,
            late_writes: 0,
            late_ms: Ms::secs(2),
            stale_reads: 0,
            silence_ms: Ms(200),
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

/// One caller's way to a [`MemStore`].
pub struct MemApi {
    store: Arc<MemStore>,
    caller: String,
}

/// What becomes of one write.
enum Fate {
    Answered,
    Lost,
    Late(Ms),
}

impl MemStore {
    /// An empty one.
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

    /// A caller's way to it; `caller` is what [`MemStore::cut`] names.
    pub fn api(self: &Arc<Self>, caller: &str) -> Arc<MemApi> {
        Arc::new(MemApi { store: self.clone(), caller: caller.to_owned() })
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: MemFaults) {
        self.lock().faults = faults;
    }

    /// Cuts a caller off, or joins it again.
    pub fn cut(&self, caller: &str, cut: bool) {
        let mut inner = self.lock();
        if cut {
            inner.cut.insert(caller.to_owned());
        } else {
            inner.cut.remove(caller);
        }
    }

    /// Calls that reached it so far.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    /// Its true content, for oracles.
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
        if older.len() > HISTORY {
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

    fn fate(&mut self) -> Fate {
        let MemFaults { lost_answers, late_writes, late_ms, .. } = self.faults;
        match () {
            () if self.chance(lost_answers) => Fate::Lost,
            () if self.chance(late_writes) => Fate::Late(Ms(self.rng.random_range(0..=late_ms.0))),
            () => Fate::Answered,
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
    /// Spends the call's time, then fails it if the platform can't be reached.
    async fn reach(&self) -> Result<(), StoreError> {
        let (span, silence, down) = {
            let mut inner = self.store.lock();
            let MemFaults { least_ms, most_ms, silence_ms, .. } = inner.faults;
            let span = Ms(inner.rng.random_range(least_ms.0..=most_ms.0.max(least_ms.0)));
            (span, silence_ms, self.is_cut(&inner))
        };
        if down || span > silence {
            sleep(span.min(silence).duration()).await;
            return Err(StoreError::Down);
        }
        sleep(span.duration()).await;
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
        let (fate, silence) = {
            let mut inner = self.store.lock();
            inner.stats.writes += 1;
            (inner.fate(), inner.faults.silence_ms)
        };
        match fate {
            Fate::Answered => self.store.put_now(kind, name, expected, body),
            Fate::Lost => {
                let _ = self.store.put_now(kind, name, expected, body);
                sleep(silence.duration()).await;
                Err(StoreError::OutcomeUnknown)
            }
            Fate::Late(after) => {
                let store = self.store.clone();
                let (kind, name, body) = (kind.to_owned(), name.to_owned(), body.to_owned());
                tokio::spawn(async move {
                    sleep(after.duration()).await;
                    let _ = store.put_now(&kind, &name, expected, &body);
                });
                sleep(silence.duration()).await;
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
