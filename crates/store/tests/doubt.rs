//! Writers that race over an object API that loses answers are told the truth.

use base::{ChangeId, Ms, Version};
use fakes::{MemFaults, MemStore};
use std::sync::{Arc, Mutex};
use store::{Api, Change, WriteOutcome};
use tokio::time::sleep;

const WRITERS: u128 = 4;
const WRITES: u128 = 6;

/// Appends a line to the object, over what it reads.
async fn append(api: &dyn Api, id: ChangeId) -> Option<WriteOutcome> {
    let read = api.get("list", "one").await.ok()?;
    let expected = Version(read.as_ref().map_or(0, |o| o.version));
    let body = format!("{}{id}\n", read.map(|o| o.body).unwrap_or_default());
    let change = Change { kind: "list", name: "one", expected, id, body: &body };
    let written = store::write(api, change, |o, id| o.body.contains(&id.to_string())).await.ok();
    if let Some(WriteOutcome::Conflict { current: Some(now) }) = &written {
        assert!(now.version > expected.0, "{id} lost to a version that is older than its own");
    }
    written
}

async fn race(seed: u64) -> (u32, u32, u32) {
    let store = MemStore::new(seed);
    store.set_faults(MemFaults {
        lost_answers: 25,
        late_writes: 25,
        stale_reads: 25,
        ..MemFaults::default()
    });
    let told = Arc::new(Mutex::new(Vec::new()));
    let writers = (0..WRITERS).map(|writer| {
        let (api, told) = (store.api(&writer.to_string()), told.clone());
        tokio::spawn(async move {
            for n in 0..WRITES {
                let id = ChangeId::from_u128(1 + writer * WRITES + n);
                let written = append(api.as_ref(), id).await;
                told.lock().expect("what was told").push((id, written));
            }
        })
    });
    for writer in writers.collect::<Vec<_>>() {
        writer.await.expect("a writer");
    }
    sleep(Ms::secs(60).duration()).await;
    let body = store.all("list").objects.pop().map(|o| o.body).unwrap_or_default();
    let (mut done, mut lost, mut open) = (0, 0, 0);
    for (id, written) in told.lock().expect("what was told").iter() {
        let there = body.contains(&id.to_string());
        match written {
            Some(WriteOutcome::Committed(_)) => {
                assert!(there, "seed {seed}: {id} is told as done and isn't there");
                done += 1;
            }
            Some(WriteOutcome::Conflict { .. }) | None => {
                assert!(!there, "seed {seed}: {id} is told as lost and is there");
                lost += 1;
            }
            Some(WriteOutcome::Unknown) => open += 1,
        }
    }
    (done, lost, open)
}

#[test]
fn what_is_told_of_a_write_stays_true() {
    // Four writers change one object. Answers are lost, writes land late and reads lag. When
    // all has settled, each change that was told as done is there, each that was told as lost
    // isn't, and only those told as open may be either.
    let (mut done, mut lost, mut open) = (0, 0, 0);
    for seed in 0..300 {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (d, l, o) = runtime.block_on(race(seed));
        (done, lost, open) = (done + d, lost + l, open + o);
    }
    println!("{done} done, {lost} lost, {open} open");
    assert!(done > 1_000 && lost > 500 && open > 0, "{done} done, {lost} lost, {open} open");
}
