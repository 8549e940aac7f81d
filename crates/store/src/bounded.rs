//! A bound on how often one host calls the platform, and a count of its calls.

use async_trait::async_trait;
use base::{Ms, Version};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::{Duration, Instant};
use wire::{Object, ObjectList};

use crate::{Api, StoreError};

/// Calls that may follow each other at once after a quiet time, as a part of a second's calls.
const BURST: u32 = 4;
/// Longest wait for a turn, ms; a call that would wait longer is refused.
const TURN_MS: Ms = Ms(500);
/// Longest pause that the platform's own word brings about, ms.
const PAUSE_MS: Ms = Ms::secs(5);

/// Calls by what they were and how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of one object or a list.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
    /// Calls that the platform refused as too many.
    pub busy: u64,
    /// Calls that got no answer.
    pub failed: u64,
    /// Calls that this host held back, and never sent.
    pub held: u64,
}

/// An object API with a bound on calls a second.
///
/// The platform takes a few hundred writes and two thousand reads a second from the whole fleet.
/// Without a bound one host that retries in a loop takes them all, and every other host reads an
/// outage. With it, what one host can take is known, whatever goes wrong in it.
pub struct RateLimited {
    inner: Arc<dyn Api>,
    every: Duration,
    seed: u64,
    next: Mutex<Instant>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    busy: AtomicU64,
    failed: AtomicU64,
    held: AtomicU64,
}

impl RateLimited {
    /// At most `calls` a second go to `inner`; zero counts as one. `seed` must differ from host to
    /// host: hosts that were told the same time to come back must not all come at once.
    pub fn new(inner: Arc<dyn Api>, calls: u32, seed: u64) -> Self {
        let every = Duration::from_secs(1) / calls.max(1);
        Self { inner, every, seed, next: Mutex::new(Instant::now()), counts: Counts::default() }
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Counts { reads, writes, watches, busy, failed, held } = &self.counts;
        CallCounts {
            reads: read(reads),
            writes: read(writes),
            watches: read(watches),
            busy: read(busy),
            failed: read(failed),
            held: read(held),
        }
    }

    /// Waits for this call's turn.
    async fn turn(&self, count: &AtomicU64) -> Result<(), StoreError> {
        let now = Instant::now();
        let burst = Duration::from_secs(1) / BURST;
        let at = {
            let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
            let at = (*next).max(now.checked_sub(burst).unwrap_or(now));
            let wait = at.saturating_duration_since(now);
            if wait > TURN_MS.duration() {
                add(&self.counts.held);
                return Err(StoreError::Busy { retry_after: Ms(wait.as_millis() as u64) });
            }
            *next = at + self.every;
            at
        };
        add(count);
        tokio::time::sleep_until(at).await;
        Ok(())
    }

    /// Counts how a call ended. The platform's word to come back later holds for all calls.
    fn ended<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Err(StoreError::Busy { retry_after }) => {
                add(&self.counts.busy);
                let pause = (*retry_after).min(PAUSE_MS);
                let calls = self.counts.busy.load(Ordering::Relaxed);
                let draw = base::hash_parts(&[&self.seed.to_le_bytes(), &calls.to_le_bytes()]);
                let until = Instant::now() + (pause + Ms(draw % (pause.0 / 2 + 1))).duration();
                let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
                *next = (*next).max(until);
            }
            Err(StoreError::Down | StoreError::OutcomeUnknown) => add(&self.counts.failed),
            Ok(_) | Err(_) => {}
        }
        result
    }
}

#[async_trait]
impl Api for RateLimited {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.turn(&self.counts.reads).await?;
        self.ended(self.inner.get(kind, name).await)
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.turn(&self.counts.reads).await?;
        self.ended(self.inner.list(kind).await)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        self.turn(&self.counts.writes).await?;
        self.ended(self.inner.put(kind, name, expected, body).await)
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.turn(&self.counts.watches).await?;
        self.ended(self.inner.watch(kind, after, wait).await)
    }
}

fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}
