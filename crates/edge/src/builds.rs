//! Keeps the list of software versions at which streams may begin, in the platform's store. See
//! [`catalog::Builds`].
//!
//! A host that reads the store adds the versions of new targets; the others learn of them from it.
//! The list is read when it is not known, when a version is missing, and for callers that take up
//! streams: an ordinary request costs no call.

use base::Ms;
use catalog::Build;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{DirectoryError, Kind, RecordBody};
use crate::read::list;

/// Adds versions that are missing, while this host reads the store.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut backoff = Backoff::default();
    let mut reading = core.store_reader();
    let mut changed = core.changed.subscribe();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        changed.mark_unchanged();
        match update(&core).await {
            Ok(()) => {
                backoff.succeeded();
                // The sender lives in the core.
                let _ = changed.changed().await;
            }
            Err(err) => {
                backoff.failed(&err, "builds");
                tokio::time::sleep(backoff.delay(core.draw()).duration()).await;
            }
        }
    }
}

/// Reads the list if it is not known in the store's present era, and adds what is missing.
async fn update(core: &Core) -> Result<(), DirectoryError> {
    let position = core.builds().position();
    if position.is_none_or(|position| !core.in_newest_era(position)) {
        read_list(core).await?;
    }
    if core.unlisted_builds().is_empty() {
        return Ok(());
    }
    // Another host may have added them.
    read_list(core).await?;
    let unlisted = core.unlisted_builds();
    if unlisted.is_empty() {
        return Ok(());
    }
    for build in &unlisted {
        core.metrics.store_call("write");
        core.directory.add_build(build).await?;
    }
    read_list(core).await
}

/// Reads the list unless a read that was sent after `since` has succeeded. Returns whether the list
/// is known as it was after that time.
///
/// Callers that come back at the same time share one read.
pub(crate) async fn read_since(core: &Core, since: Ms) -> bool {
    let mut last = core.builds_read.lock().await;
    if *last > since {
        return true;
    }
    let sent = core.clock.now();
    let read = read_list(core).await.is_ok();
    if read {
        *last = sent;
    }
    read
}

async fn read_list(core: &Core) -> Result<(), DirectoryError> {
    let (records, position) = list(core, core.directory.as_ref(), Kind::Builds).await?;
    let listed = records.into_iter().filter_map(|record| match record.body {
        RecordBody::Build(build) => Some(build),
        RecordBody::Catalog(_)
        | RecordBody::Target(_)
        | RecordBody::Evacuation
        | RecordBody::Malformed(_) => None,
    });
    let listed: Vec<Build> = listed.collect();
    core.apply_builds(position, listed);
    Ok(())
}
