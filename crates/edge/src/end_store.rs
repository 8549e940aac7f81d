//! Keeps ends of targets in the platform's store until their cause is found, for hosts that start after all
//! others have ended. See [`sched::suspects::record`].
//!
//! Of the hosts that look for the cause the first one writes, once for all ends of a moment. The next one
//! writes what the store still lacks some seconds later, as when the first is cut off. Nothing waits for
//! either but the diagnosis of a fleet that has just started.

use base::{Ms, TargetId};
use logs::note;
use sched::suspects::record::{EndBatch, KEPT_TIME};
use std::collections::VecDeque;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::diagnose;
use crate::directory::{DirectoryError, Kind, RecordBody};
use crate::read::list;

/// Interval between two looks whether it is this host's turn, or records have to be removed.
const LOOK_INTERVAL: Ms = Ms::secs(1);
/// Time that the first host has to write ends until the next one does.
const TURN_TIME: Ms = Ms::secs(3);
/// Records that are removed at a time.
const MAX_REMOVED: usize = 2;

/// Records in the store.
type Records = VecDeque<StoredEnds>;

/// A record in the store.
struct StoredEnds {
    name: String,
    /// When the last of its targets ended.
    at: Ms,
    targets: Vec<TargetId>,
}

impl StoredEnds {
    fn new(name: String, batch: &EndBatch) -> Self {
        let at = batch.ends.iter().map(|end| end.at).max().unwrap_or(Ms::ZERO);
        Self { name, at, targets: batch.ends.iter().map(|end| end.target.clone()).collect() }
    }
}

/// Reads what earlier hosts have kept and writes new ends, while this host is one of those that look for
/// the cause.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut backoff = Backoff::default();
    let mut records = Records::new();
    let mut known = false;
    loop {
        let rest = match diagnose::turn(&core) {
            None => {
                known = false;
                LOOK_INTERVAL
            }
            Some(turn) => match update(&core, turn, &mut records, &mut known).await {
                Ok(()) => {
                    backoff.succeeded();
                    LOOK_INTERVAL
                }
                Err(err) => {
                    backoff.failed(&err, "ends");
                    backoff.delay(core.draw()).max(LOOK_INTERVAL)
                }
            },
        };
        let _ = tokio::time::timeout(rest.duration(), core.ends_looked.notified()).await;
    }
}

async fn update(
    core: &Arc<Core>,
    turn: u64,
    records: &mut Records,
    known: &mut bool,
) -> Result<(), DirectoryError> {
    if !*known {
        *records = read_all(core).await?;
        *known = true;
        core.ends_due.notify_one();
    }
    let now = core.clock.now();
    let unkept = core.ends().unkept(now);
    let oldest = unkept.iter().map(|candidate| candidate.since).min();
    match oldest {
        None => {}
        Some(_) if turn == 0 => write(core, records).await?,
        // The first host may have written them.
        Some(since) if now - since >= TURN_TIME => {
            *records = read_all(core).await?;
            write(core, records).await?;
        }
        Some(_) => {}
    }
    remove(core, records).await
}

/// Reads all that is kept.
async fn read_all(core: &Core) -> Result<Records, DirectoryError> {
    let found = list(core, core.directory.as_ref(), Kind::Ends).await?.records;
    let now = core.clock.now();
    let mut records = Records::new();
    for record in found {
        let RecordBody::Ends(batch) = record.body else {
            note!(logs::Event::EntryMalformed, target = %record.name, why = "no ends");
            continue;
        };
        let stored = StoredEnds::new(record.name.as_str().to_owned(), &batch);
        // Times of another host's clock may be ahead.
        if now - stored.at < KEPT_TIME {
            core.ends().restore(&batch);
        }
        records.push_back(stored);
    }
    if !records.is_empty() {
        note!(logs::Event::EndsRead, records = records.len());
    }
    Ok(records)
}

/// Writes the ends that the store lacks, after all hosts were asked what of their requests is sound.
async fn write(core: &Arc<Core>, records: &mut Records) -> Result<(), DirectoryError> {
    let now = core.clock.now();
    let candidates = core.ends().unkept(now);
    if candidates.is_empty() {
        return Ok(());
    }
    let told = diagnose::ask_all(core, &candidates).await;
    let batch = core.ends().to_keep(&told, now);
    if !batch.ends.is_empty() {
        let name = name(core, now);
        core.metrics.store_call("write");
        core.directory.add_ends(&name, &batch).await?;
        records.push_back(StoredEnds::new(name, &batch));
    }
    core.ends().kept(now);
    Ok(())
}

/// Removes records that are too old, or whose ends are explained.
async fn remove(core: &Core, records: &mut Records) -> Result<(), DirectoryError> {
    let now = core.clock.now();
    for _ in 0..MAX_REMOVED {
        let is_over = |record: &StoredEnds| {
            now - record.at >= KEPT_TIME || core.ends().are_settled(&record.targets)
        };
        let Some(at) = records.iter().position(is_over) else { return Ok(()) };
        core.metrics.store_call("write");
        core.directory.remove_ends(&records[at].name).await?;
        records.remove(at);
    }
    Ok(())
}

/// A name that no other record has: hosts write at different times.
fn name(core: &Core, now: Ms) -> String {
    let host = core.members.me().as_str().as_bytes();
    format!("{:016x}", base::hash_parts(&[host, &now.0.to_le_bytes(), &core.draw().to_le_bytes()]))
}
