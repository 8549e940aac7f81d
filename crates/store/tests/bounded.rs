//! One host's calls stay within their bound.

use base::{Ms, Version};
use fakes::{MemFaults, MemStore};
use std::sync::Arc;
use store::{Api, RateLimited, StoreError};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn calls_beyond_the_bound_wait_or_are_held() {
    // A host retries in a loop, 200 calls at once under a bound of 50 a second. A burst goes at
    // once, the next ones wait for their turn, and those that would wait for long never leave.
    let store = MemStore::new(1);
    let api = Arc::new(RateLimited::new(store.api("a"), 50, 1));
    let start = Instant::now();
    let calls = (0..200).map(|_| {
        let api = api.clone();
        tokio::spawn(async move { api.get("kind", "name").await })
    });
    let mut held = 0;
    for call in calls.collect::<Vec<_>>() {
        held += u32::from(matches!(call.await, Ok(Err(StoreError::Busy { .. }))));
    }
    let sent = store.stats().reads;
    let most = 50 * (start.elapsed().as_millis() as u64 + 250) / 1_000 + 1;
    assert!(sent >= 25 && sent <= most, "{sent} of at most {most} calls were sent");
    assert_eq!(sent + u64::from(held), 200);
    assert_eq!((api.counts().reads, api.counts().held), (sent, u64::from(held)));
}

#[tokio::test(start_paused = true)]
async fn the_platforms_word_to_come_back_later_holds_for_all_calls() {
    // The platform is overrun and asks one call to come back later. The host's next call, of
    // another kind, waits for that too.
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
