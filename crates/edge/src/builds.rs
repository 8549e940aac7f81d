//! Keeps the list of software versions at which streams may begin, in the platform's store. See
//! [`catalog::Builds`].
//!
//! A host that reads the store adds the versions of new targets and removes those that have had no
//! target for long; the others learn of both from it. The list is read when it is not known, when a
//! version is missing, and for callers that take up streams: an ordinary request costs no call.

use base::Ms;
use catalog::{Build, UnusedBuilds};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{DirectoryError, Kind};
use crate::read::{Listed, list};

/// Interval between checks for versions without targets.
const CHECK_INTERVAL: Ms = Ms::secs(60);

/// Adds versions that are missing, and removes unused ones, while this host reads the store.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut backoff = Backoff::default();
    let mut unused = UnusedBuilds::default();
    let mut reading = core.store_reader();
    let mut changed = core.changed.subscribe();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        changed.mark_unchanged();
        match update(&core, &mut unused).await {
            Ok(()) => {
                backoff.succeeded();
                // Either end wakes the next check.
                let _ = tokio::time::timeout(CHECK_INTERVAL.duration(), changed.changed()).await;
            }
            Err(err) => {
                backoff.failed(&err, "builds");
                tokio::time::sleep(backoff.delay(core.draw()).duration()).await;
            }
        }
    }
}

/// Reads the list if it is not known in the store's present era, adds what is missing, and removes
/// what is unused.
async fn update(core: &Core, unused: &mut UnusedBuilds) -> Result<(), DirectoryError> {
    let position = core.builds().position();
    if position.is_none_or(|position| !core.in_newest_era(position)) {
        read_list(core).await?;
    }
    let (listed, present) = (core.builds().listed(), core.present_builds());
    let due = unused.observe(core.clock.now(), &listed, &present);
    if !due.is_empty() {
        remove(core, &due).await?;
    }
    if present.is_subset(&listed) {
        return Ok(());
    }
    // Another host may have added them.
    read_list(core).await?;
    let listed = core.builds().listed();
    let mut missing = present.difference(&listed).peekable();
    if missing.peek().is_none() {
        return Ok(());
    }
    for build in missing {
        core.metrics.store_call("write");
        core.directory.add_build(build).await?;
    }
    read_list(core).await.map(drop)
}

async fn remove(core: &Core, due: &[Build]) -> Result<(), DirectoryError> {
    let listed = read_list(core).await?;
    for (build, revision) in listed.iter().filter(|(build, _)| due.contains(build)) {
        core.metrics.store_call("write");
        core.directory.remove_build(build, *revision).await?;
    }
    read_list(core).await.map(drop)
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

/// Reads the list, and returns it with the revisions of its objects.
async fn read_list(core: &Core) -> Result<BTreeMap<Build, u64>, DirectoryError> {
    let Listed { records, position, whole } =
        list(core, core.directory.as_ref(), Kind::Builds).await?;
    let listed = records.into_iter().filter_map(|record| record.body.build());
    let listed: BTreeMap<Build, u64> = listed.collect();
    let mut builds: BTreeSet<Build> = listed.keys().cloned().collect();
    if !whole {
        builds.extend(core.builds().listed());
    }
    core.apply_builds(position, &builds);
    Ok(listed)
}
