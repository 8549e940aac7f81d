//! Keeps the list of what ends targets in the platform's store. See [`catalog::Quarantine`].
//!
//! A host that reads the store reads the list, watches it and adds what was found since; the
//! others learn of it from that host. Hosts also tell each other at once, but a host may be cut off
//! from those that know, and all may be restarted.

use base::{Ms, Suspect};
use catalog::Position;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{DirectoryError, Kind};
use crate::read::{STORE_TIMEOUT, list, read};

/// Longest wait of a watch. The hosts tell each other of what they find, so a watch matters only to
/// one that the others don't reach, and to lift something.
const WATCH_WAIT: Ms = Ms::secs(10);
/// Least time between two calls to a store that does not answer, once the list is known: what is
/// found meanwhile, hosts tell each other.
const RETRY_DELAY: Ms = Ms::secs(2);
/// Least time between two watches, for a store that answers them at once.
const WATCH_DELAY: Ms = Ms(300);

/// Keeps the list current, while this host reads the store.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut backoff = Backoff::default();
    let mut since: Option<Position> = None;
    let mut reading = core.store_reader();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        match update(&core, since).await {
            Ok(next) => {
                since = Some(next);
                backoff.succeeded();
            }
            Err(err) => {
                since = None;
                backoff.failed(&err, "quarantine");
                let least = if core.knows_quarantine() { RETRY_DELAY } else { Ms::ZERO };
                tokio::time::sleep(backoff.delay(core.draw()).max(least).duration()).await;
            }
        }
    }
}

/// Reads the list unless it is known up to `since`, adds what is missing, and waits for a change. Returns the position from which to go on.
async fn update(core: &Core, since: Option<Position>) -> Result<Position, DirectoryError> {
    let mut found = core.suspects_found();
    let known = since.filter(|since| core.in_newest_era(*since));
    let since = match known {
        Some(since) => since,
        None => read_list(core).await?,
    };
    let unlisted = core.quarantine().unlisted();
    if !unlisted.is_empty() {
        for suspect in unlisted {
            core.metrics.store_call("write");
            core.directory.quarantine(suspect).await?;
        }
        return read_list(core).await;
    }
    let begun = core.clock.now();
    let mut ended = core.store_reader();
    let next = tokio::select! {
        next = watch(core, since) => next?,
        Ok(()) = found.changed() => return Ok(since),
        Ok(_) = ended.wait_for(|reads| !*reads) => return Ok(since),
    };
    if core.clock.now() - begun < WATCH_DELAY {
        tokio::time::sleep(WATCH_DELAY.duration()).await;
    }
    Ok(next)
}

/// Waits for changes of the list, and reads it if there are any.
async fn watch(core: &Core, since: Position) -> Result<Position, DirectoryError> {
    core.metrics.store_call("watch");
    let watch = || core.directory.watch(Kind::Quarantine, since, WATCH_WAIT);
    let updates = read(core, WATCH_WAIT + STORE_TIMEOUT, watch).await?;
    match updates.changes.is_empty() && updates.position.era == since.era {
        true => Ok(updates.position),
        false => read_list(core).await,
    }
}

async fn read_list(core: &Core) -> Result<Position, DirectoryError> {
    let (records, position) = list(core, core.directory.as_ref(), Kind::Quarantine).await?;
    let listed = records.into_iter().filter_map(|record| record.body.quarantined());
    core.apply_quarantine(position, &listed.collect::<Vec<Suspect>>());
    Ok(position)
}
