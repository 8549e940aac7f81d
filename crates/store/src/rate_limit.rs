//! Limits the rate at which one host calls the platform, and counts its calls.

use async_trait::async_trait;
use base::{Ms, Version};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::{Duration, Instant};
use wire::{Object, ObjectList};

use crate::{Api, StoreError};

/// After an idle period, calls for up to 1/`BURST_DIVISOR` of a second may be sent at once.
const BURST_DIVISOR: u32 = 4;
/// Longest time that a call waits for its slot; a call that would wait longer is rejected.
const MAX_WAIT_MS: Ms = Ms(500);
/// Upper bound on a `retry_after` of the platform.
const MAX_PAUSE_MS: Ms = Ms::secs(5);

/// Number of calls by type and result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of one object or a list.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Calls that the platform rejected because of its load.
    pub busy: u64,
    /// Calls that got no response.
    pub failed: u64,
    /// Calls that this limit rejected, so that they were never sent.
    pub throttled: u64,
}

/// An object API with a limit on calls per second.
///
/// The platform serves a few hundred writes and two thousand reads a second for the whole fleet.
/// Without a limit, one host that retries in a loop would use them all, and to every other host it
/// would look like an outage. The limit bounds the share of one host, whatever fails in it.
pub struct RateLimited {
    inner: Arc<dyn Api>,
    interval: Duration,
    seed: u64,
    next_slot: Mutex<Instant>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    busy: AtomicU64,
    failed: AtomicU64,
    throttled: AtomicU64,
}

impl RateLimited {
    /// Passes at most `calls` a second on to `inner`; zero counts as one. `seed` must differ
    /// between hosts, so that hosts that got the same `retry_after` don't all retry at once.
    pub fn new(inner: Arc<dyn Api>, calls: u32, seed: u64) -> Self {
        let interval = Duration::from_secs(1) / calls.max(1);
        Self {
            inner,
            interval,
            seed,
            next_slot: Mutex::new(Instant::now()),
            counts: Counts::default(),
        }
    }

    /// Calls since the start.
    pub fn counts(&self) -> CallCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Counts { reads, writes, watches, busy, failed, throttled } = &self.counts;
        CallCounts {
            reads: read(reads),
            writes: read(writes),
            watches: read(watches),
            busy: read(busy),
            failed: read(failed),
            throttled: read(throttled),
        }
    }

    /// Waits for a slot for this call, or rejects it if the wait would be too long.
    async fn acquire(&self, count: &AtomicU64) -> Result<(), StoreError> {
        let now = Instant::now();
        let burst = Duration::from_secs(1) / BURST_DIVISOR;
        let slot = {
            let mut next_slot = self.next_slot.lock().unwrap_or_else(PoisonError::into_inner);
            let slot = (*next_slot).max(now.checked_sub(burst).unwrap_or(now));
            let wait = slot.saturating_duration_since(now);
            if wait > MAX_WAIT_MS.duration() {
                increment(&self.counts.throttled);
                return Err(StoreError::Busy { retry_after: Ms(wait.as_millis() as u64) });
            }
            *next_slot = slot + self.interval;
            slot
        };
        increment(count);
        tokio::time::sleep_until(slot).await;
        Ok(())
    }

    /// Counts the result of a call. A `retry_after` of the platform delays all later calls.
    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Err(StoreError::Busy { retry_after }) => {
                increment(&self.counts.busy);
                let pause = (*retry_after).min(MAX_PAUSE_MS);
                let count = self.counts.busy.load(Ordering::Relaxed);
                let jitter = base::hash_parts(&[&self.seed.to_le_bytes(), &count.to_le_bytes()]);
                let until = Instant::now() + (pause + Ms(jitter % (pause.0 / 2 + 1))).duration();
                let mut next_slot = self.next_slot.lock().unwrap_or_else(PoisonError::into_inner);
                *next_slot = (*next_slot).max(until);
            }
            Err(StoreError::Down | StoreError::OutcomeUnknown) => increment(&self.counts.failed),
            Ok(_) | Err(_) => {}
        }
        result
    }
}

#[async_trait]
impl Api for RateLimited {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.acquire(&self.counts.reads).await?;
        self.record_result(self.inner.get(kind, name).await)
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.acquire(&self.counts.reads).await?;
        self.record_result(self.inner.list(kind).await)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        self.acquire(&self.counts.writes).await?;
        self.record_result(self.inner.put(kind, name, expected, body).await)
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.acquire(&self.counts.watches).await?;
        self.record_result(self.inner.watch(kind, after, wait).await)
    }
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}
