//! Keeps which streams began at which software version in the platform's store, while versions are
//! mixed.
//!
//! Hosts tell each other where streams began, but all of them may end at once. No caller's stream could
//! then go on: its caller names the attempt that began it and nothing that tells the version. So each
//! host writes its new streams to the store once a second, and reads all of them when it starts. No
//! request waits for either.

use base::Ms;
use catalog::OriginBatch;
use logs::note;
use sched::origins::Origin;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{DirectoryError, Kind, RecordBody};
use crate::read::{Listed, list};

/// Interval between two writes of a host that begins streams. What began since the last one is lost
/// if all hosts end.
const WRITE_INTERVAL: Ms = Ms::secs(1);
/// Interval between looks whether the list of versions is known.
const LOOK_INTERVAL: Ms = Ms(50);
/// Streams in one write: less than half of what a record of the store holds.
const MAX_STREAMS: usize = 16_384;
/// Time after which records of others are removed once they have expired: theirs may be a clock that
/// is behind.
const REMOVE_DELAY: Ms = Ms::secs(60);
/// Expired records that are removed at a time.
const MAX_REMOVED: usize = 2;

/// The records that this host has written, or has to remove: each with the time from which on nobody
/// needs it.
type Written = VecDeque<(Ms, String)>;

/// Reads what earlier hosts have written, and writes the streams that begin here.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut backoff = Backoff::default();
    let mut written = Written::new();
    builds_known(&core).await;
    // Streams that began while one version served are proved by the list of versions.
    let mut read = !core.builds().any_mixed();
    loop {
        let result = match read {
            true => write(&core, &mut written).await,
            false => read_all(&core, &mut written).await.map(|()| read = true),
        };
        // Without the store the host serves all the same: it refuses streams that it doesn't know.
        core.set_origins_read();
        let rest = match result {
            Ok(()) => {
                backoff.succeeded();
                WRITE_INTERVAL
            }
            Err(err) => {
                backoff.failed(&err, "origins");
                backoff.delay(core.draw())
            }
        };
        tokio::time::sleep(rest.duration()).await;
    }
}

/// Waits until it is known at which versions streams may have begun.
async fn builds_known(core: &Core) {
    let mut changed = core.changed.subscribe();
    while core.builds().position().is_none() {
        let _ = tokio::time::timeout(LOOK_INTERVAL.duration(), changed.changed()).await;
    }
}

async fn read_all(core: &Core, written: &mut Written) -> Result<(), DirectoryError> {
    let Listed { records, .. } = list(core, core.directory.as_ref(), Kind::Origins).await?;
    let now = core.clock.now();
    let mut streams = 0;
    for record in records {
        let RecordBody::Origins(batch) = record.body else {
            note!(logs::Event::EntryMalformed, target = %record.name, why = "not streams");
            continue;
        };
        if batch.until + REMOVE_DELAY < now {
            written.push_back((batch.until + REMOVE_DELAY, record.name.as_str().to_owned()));
            continue;
        }
        for (build, keys) in batch.streams {
            streams += keys.len();
            let until = batch.until;
            let origin = |stream| Origin { stream, build: build.clone(), until };
            keys.into_iter().for_each(|key| core.origins().told(now, origin(key)));
        }
    }
    note!(logs::Event::OriginsRead, streams);
    Ok(())
}

async fn write(core: &Core, written: &mut Written) -> Result<(), DirectoryError> {
    let now = core.clock.now();
    let mixed = core.builds().any_mixed();
    let begun = if mixed { core.origins().take_unwritten(now, MAX_STREAMS) } else { Vec::new() };
    if !begun.is_empty() {
        let batch = batch(&begun);
        let name = name(core, now);
        core.metrics.store_call("write");
        if let Err(err) = core.directory.add_origins(&name, &batch).await {
            core.origins().put_back(begun);
            return Err(err);
        }
        written.push_back((batch.until, name));
    }
    for _ in 0..MAX_REMOVED {
        match written.front() {
            Some((until, name)) if *until < now => {
                core.metrics.store_call("write");
                core.directory.remove_origins(name).await?;
                written.pop_front();
            }
            _ => break,
        }
    }
    Ok(())
}

fn batch(begun: &[Origin]) -> OriginBatch {
    let mut batch = OriginBatch::default();
    for origin in begun {
        batch.until = batch.until.max(origin.until);
        batch.streams.entry(origin.build.clone()).or_default().push(origin.stream);
    }
    batch
}

/// A name that no other batch has: hosts start and write at different times.
fn name(core: &Core, now: Ms) -> String {
    let host = core.members.me().as_str().as_bytes();
    format!("{:016x}", base::hash_parts(&[host, &now.0.to_le_bytes(), &core.draw().to_le_bytes()]))
}
