//! The calls of one host stay within their rate limit.

use base::{Ms, Version};
use fakes::{MemFaults, MemStore};
use std::sync::Arc;
use store::{Api, RateLimited, StoreError};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn calls_above_the_rate_wait_or_are_rejected() {
    // A host that retries in a loop makes 200 calls at once, with a limit of 50 a second. A burst
    // is sent at once, the next calls wait for their slot, and those that would wait too long are
    // rejected and never sent.
    let store = MemStore::new(1);
    let api = Arc::new(RateLimited::new(store.api("a"), 50, 1));
    let start = Instant::now();
    let calls = (0..200).map(|_| {
        let api = api.clone();
        tokio::spawn(async move { api.get("kind", "name").await })
    });
    let mut throttled = 0;
    for call in calls.collect::<Vec<_>>() {
        throttled += u32::from(matches!(call.await, Ok(Err(StoreError::Busy { .. }))));
    }
    let sent = store.stats().reads;
    let most = 50 * (start.elapsed().as_millis() as u64 + 250) / 1_000 + 1;
    assert!(sent >= 25 && sent <= most, "{sent} of at most {most} calls were sent");
    assert_eq!(sent + u64::from(throttled), 200);
    assert_eq!((api.counts().reads, api.counts().throttled), (sent, u64::from(throttled)));
}

#[tokio::test(start_paused = true)]
async fn retry_after_of_the_platform_delays_all_calls() {
    // The platform is overloaded and rejects one call with a `retry_after`. The host's next call
    // waits for that time too, although it is of another type.
    let store = MemStore::new(1);
    let api = RateLimited::new(store.api("a"), 1_000, 1);
    store.set_faults(MemFaults { busy: true, ..MemFaults::default() });
    let first = api.put("kind", "name", Version(0), "body").await;
    assert_eq!(first, Err(StoreError::Busy { retry_after: Ms(100) }));
    store.set_faults(MemFaults::default());
    let start = Instant::now();
    api.get("kind", "name").await.expect("a read");
    assert!(start.elapsed() >= Ms(100).duration(), "{:?}", start.elapsed());
    assert_eq!(api.counts().busy, 1);
}
