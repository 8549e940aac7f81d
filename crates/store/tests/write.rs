//! Concurrent writers get correct outcomes from an object API that loses responses.

use base::{ChangeId, Ms, Version};
use fakes::{MemFaults, MemStore};
use std::sync::{Arc, Mutex};
use store::{Api, Change, WriteOutcome};
use tokio::time::sleep;

const WRITERS: u128 = 4;
const WRITES: u128 = 6;

/// Appends a line to the object, at the version that it reads.
async fn append(api: &dyn Api, id: ChangeId) -> Option<WriteOutcome> {
    let read = api.get("list", "one").await.ok()?;
    let expected = Version(read.as_ref().map_or(0, |o| o.version));
    let body = format!("{}{id}\n", read.map(|o| o.body).unwrap_or_default());
    let change = Change { kind: "list", name: "one", expected, id, body: &body };
    let written = store::write(api, change, |o, id| o.body.contains(&id.to_string())).await.ok();
    if let Some(WriteOutcome::Conflict { current: Some(now) }) = &written {
        assert!(now.version > expected.0, "{id} conflicts with a version older than its own");
    }
    written
}

async fn run_race(seed: u64) -> (u32, u32, u32) {
    let store = MemStore::new(seed);
    store.set_faults(MemFaults {
        lost_answers: 25,
        late_writes: 25,
        stale_reads: 25,
        ..MemFaults::default()
    });
    let reported = Arc::new(Mutex::new(Vec::new()));
    let writers = (0..WRITERS).map(|writer| {
        let (api, reported) = (store.api(&writer.to_string()), reported.clone());
        tokio::spawn(async move {
            for n in 0..WRITES {
                let id = ChangeId::from_u128(1 + writer * WRITES + n);
                let written = append(api.as_ref(), id).await;
                reported.lock().expect("the reported outcomes").push((id, written));
            }
        })
    });
    for writer in writers.collect::<Vec<_>>() {
        writer.await.expect("a writer");
    }
    sleep(Ms::secs(60).duration()).await;
    let body = store.all("list").objects.pop().map(|o| o.body).unwrap_or_default();
    let (mut committed, mut conflicts, mut unknown) = (0, 0, 0);
    for (id, written) in reported.lock().expect("the reported outcomes").iter() {
        let present = body.contains(&id.to_string());
        match written {
            Some(WriteOutcome::Committed(_)) => {
                assert!(
                    present,
                    "seed {seed}: {id} is reported as committed and isn't in the object"
                );
                committed += 1;
            }
            Some(WriteOutcome::Conflict { .. }) | None => {
                assert!(
                    !present,
                    "seed {seed}: {id} is reported as a conflict and is in the object"
                );
                conflicts += 1;
            }
            Some(WriteOutcome::Unknown) => unknown += 1,
        }
    }
    (committed, conflicts, unknown)
}

#[test]
fn the_reported_outcome_of_a_write_stays_true() {
    // Four writers change one object, while responses are lost, writes take effect late and reads
    // are stale. In the end each change that was reported as committed is in the object, each that
    // was reported as a conflict isn't, and only those reported as unknown may be either.
    let (mut committed, mut conflicts, mut unknown) = (0, 0, 0);
    for seed in 0..300 {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (c, f, u) = runtime.block_on(run_race(seed));
        (committed, conflicts, unknown) = (committed + c, conflicts + f, unknown + u);
    }
    println!("{committed} committed, {conflicts} conflicts, {unknown} unknown");
    assert!(
        committed > 1_000 && conflicts > 500 && unknown > 0,
        "{committed} committed, {conflicts} conflicts, {unknown} unknown"
    );
}
