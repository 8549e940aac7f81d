//! Keeps the list of what ends targets in the platform's store. See [`catalog::Quarantine`].
//!
//! A host that reads the store reads the list, watches it and adds what was found since; the
//! others learn of it from that host. Hosts also tell each other at once, but a host may be cut off
//! from those that know, and all may be restarted.

use base::{Ms, Suspect};
use catalog::{Position, QuarantineList};
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{Change, DirectoryError, Kind, Updates};
use crate::read::{Listed, STORE_TIMEOUT, list, read};

/// Longest time until the list is read again while it holds anything. A store that comes back from an older
/// copy need not say so, and a watch reports nothing of it: what it has lost must be written again before all
/// hosts are started anew.
const VERIFY_INTERVAL: Ms = Ms::secs(3);
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
        None => read_list(core, &[]).await?,
    };
    let unlisted = core.quarantine().unlisted();
    if !unlisted.is_empty() {
        for suspect in unlisted {
            core.metrics.store_call("write");
            core.directory.quarantine(suspect).await?;
        }
        return read_list(core, &[]).await;
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
    let verified = !core.quarantine().listed().is_empty();
    let wait = if verified { VERIFY_INTERVAL } else { WATCH_WAIT };
    let watch = || core.directory.watch(Kind::Quarantine, since, wait);
    let Updates { changes, position } = read(core, wait + STORE_TIMEOUT, watch).await?;
    let same = position.era == since.era;
    if changes.is_empty() && same && !verified {
        return Ok(position);
    }
    // Changes of another era say nothing of what happened since then.
    let removed = changes.iter().filter_map(|change| match change {
        Change::Removed(name) if same => core.directory.suspect(name.as_str()),
        _ => None,
    });
    read_list(core, &removed.collect::<Vec<Suspect>>()).await
}

/// Reads the list. `removed` is what an operator is known to have removed since the last one.
async fn read_list(core: &Core, removed: &[Suspect]) -> Result<Position, DirectoryError> {
    let Listed { records, position, whole } =
        list(core, core.directory.as_ref(), Kind::Quarantine).await?;
    let listed = records.into_iter().filter_map(|record| record.body.quarantined());
    let mut listed: Vec<Suspect> = listed.collect();
    if !whole {
        listed.extend(core.quarantine().listed());
    }
    core.apply_quarantine(QuarantineList { position, listed: &listed, removed, own: true });
    Ok(position)
}
