//! Reads the configuration and the registered targets from the platform's store, while this host is
//! one of those that read the store. The other hosts ask it; see [`crate::source`].
//!
//! The configuration is polled and read as a whole: each response proves that the version in use is
//! the newest, which a silent watch does not. Targets are watched, since their list is long and
//! changes often. They are listed again after a watch fails, when the store no longer has the
//! history since the last watch, or when it has come back from an older copy.

use base::{Ms, TargetId};
use catalog::{LAPSE_GRACE, Position, Update};
use logs::note;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::{Core, Source};
use crate::directory::{
    Change, Declared, Directory, DirectoryError, Kind, Record, RecordBody, Updates,
};
use crate::evacuate;
use crate::read::{Listed, STORE_TIMEOUT, list, read};

/// Time between two reads of the configuration, in percent of the time within which a change must
/// be in force. It leaves the hosts that ask this one enough time to notice that its reads fail and
/// to read the store themselves.
const READ_INTERVAL_PERCENT: u64 = 30;
/// Upper bound of the same interval, in percent of the time after which a revoked key must no
/// longer work. The rest allows for the later arrival of the proof at hosts that ask this one, and
/// for one lost call.
const PROOF_INTERVAL_PERCENT: u64 = 20;
/// Time kept back, when a watch ends, of the time after which a draining target must get nothing
/// new. A watch whose connection is dead is detected [`STORE_TIMEOUT`] after its end, and the list
/// has to be read then.
const WATCH_MARGIN: Ms = Ms(1_000);
/// Longest wait of a watch.
const MAX_WATCH: Ms = Ms(8_000);
/// Delay before the next watch after one that brought changes or ended before this time. Changes
/// come in groups, when targets are replaced or register again; without the delay each change would
/// cost a call. A store that answers watches at once, without changes, would be called as fast as it
/// answers.
const WATCH_DELAY: Ms = Ms(300);
/// Time between two lists of the targets, in case a watch missed a change.
const LIST_INTERVAL: Ms = Ms::secs(15);

/// Keeps the configuration current.
pub(crate) async fn catalog(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut backoff = Backoff::default();
    let mut reading = core.store_reader();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        let sent = core.clock.now();
        core.metrics.store_call("read");
        match read_catalog(&core, directory.as_ref()).await {
            Ok(found) => {
                backoff.succeeded();
                core.apply_catalog(sent, found.as_ref());
                let delay = read_interval(&core) - (core.clock.now() - sent);
                tokio::time::sleep(delay.duration()).await;
            }
            Err(err) => {
                core.record_failed_read();
                backoff.failed(&err, "catalog");
                tokio::time::sleep(backoff.delay(core.draw()).duration()).await;
            }
        }
    }
}

fn read_interval(core: &Core) -> Ms {
    let bounds = &core.settings().bounds;
    let change = bounds.config_ms.scale(READ_INTERVAL_PERCENT, 100);
    match bounds.revoke_strict {
        true => change.min(bounds.revoke_ms.scale(PROOF_INTERVAL_PERCENT, 100)),
        false => change,
    }
}

fn watch_wait(core: &Core) -> Ms {
    (core.settings().bounds.drain_ms - WATCH_MARGIN).min(MAX_WATCH)
}

async fn read_catalog(
    core: &Core,
    directory: &dyn Directory,
) -> Result<Option<Declared>, DirectoryError> {
    let page = read(core, STORE_TIMEOUT, || directory.list(Kind::Catalog, None)).await?;
    let mut newest: Option<Declared> = None;
    for record in page.records {
        match record.body {
            RecordBody::Catalog(found) => {
                newest = newest.into_iter().chain([found]).max_by_key(|d| d.catalog.version);
            }
            RecordBody::Target(_)
            | RecordBody::Evacuation
            | RecordBody::Build { .. }
            | RecordBody::Quarantined(_)
            | RecordBody::Origins(_)
            | RecordBody::Ends(_) => {}
            RecordBody::Malformed(why) => {
                note!(logs::Event::ConfigRefused, name = %record.name, why);
                return Err(DirectoryError::Malformed(why));
            }
        }
    }
    Ok(newest)
}

/// Reads the configuration, the evacuations and the changes of targets once, for a host that
/// otherwise asks other hosts.
pub(crate) async fn once(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let sent = core.clock.now();
    core.metrics.store_call("read");
    let found = read_catalog(core, directory).await?;
    core.apply_catalog(sent, found.as_ref());
    evacuate::once(core, directory).await?;
    match core.position() {
        None => Ok(()),
        Some(since) if !core.in_newest_era(since) => list_targets(core, directory).await,
        Some(since) => {
            core.metrics.store_call("watch");
            watch(core, directory, since, Ms::ZERO).await.map(|_| ())
        }
    }
}

/// Waits for changes of targets and applies them. Returns whether there were any.
async fn watch(
    core: &Core,
    directory: &dyn Directory,
    since: Position,
    wait: Ms,
) -> Result<bool, DirectoryError> {
    let watch = || directory.watch(Kind::Targets, since, wait);
    let Updates { changes, position } = read(core, wait + STORE_TIMEOUT, watch).await?;
    if position.era != since.era {
        return Err(DirectoryError::Restored);
    }
    let changed = !changes.is_empty();
    let updates = changes.into_iter().map(|change| match change {
        Change::Removed(id) => Update::Removed(id),
        Change::Set(record) => update(record),
    });
    core.apply_target_updates(Source::Watch, position, updates.collect());
    Ok(changed)
}

/// Keeps the targets current.
pub(crate) async fn targets(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut gap = Gap::default();
    let mut backoff = Backoff::default();
    let mut reading = core.store_reader();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        let mut ended = core.store_reader();
        let mut eras = core.eras();
        let result = tokio::select! {
            result = follow(&core, directory.as_ref(), &mut backoff, &mut gap) => result,
            Ok(_) = ended.wait_for(|reads| !*reads) => Ok(()),
            // A watch of the era before would wait for changes that it can't be told.
            Ok(()) = eras.changed() => Ok(()),
        };
        let Err(err) = result else { continue };
        gap.failed(core.clock.now(), &err);
        backoff.failed(&err, "targets");
        core.expire();
        tokio::time::sleep(backoff.delay(core.draw()).duration()).await;
    }
}

/// Changes of targets that this host may have missed.
#[derive(Default)]
struct Gap {
    /// Registrations may have lapsed while the store was unreachable: the time of the first failed call; none if there was none.
    lapsed: Option<Ms>,
    /// The store no longer has the history since the last watch, or has another one.
    compacted: bool,
}

impl Gap {
    fn exists(&self) -> bool {
        self.lapsed.is_some() || self.compacted
    }

    fn failed(&mut self, now: Ms, err: &DirectoryError) {
        match err {
            DirectoryError::Compacted | DirectoryError::Restored => self.compacted = true,
            DirectoryError::Busy(_) | DirectoryError::Down | DirectoryError::Malformed(_) => {
                self.lapsed.get_or_insert(now);
            }
        }
    }

    /// Closes the gap after a list has arrived. If the store was away, returns the time until which
    /// missing targets count as lapsed. Where only this host's calls failed, what is missing is gone.
    fn listed(&mut self, core: &Core) -> Option<Ms> {
        let since = std::mem::take(self).lapsed?;
        core.store_was_away(since).then(|| core.clock.now() + LAPSE_GRACE)
    }
}

/// Watches the targets until a call fails. Lists them whenever they aren't known, changes may have
/// been missed or the last list is old.
///
/// The host that reads the store changes with the set of live hosts. One that takes over continues
/// from the position up to which it was informed by the previous one.
async fn follow(
    core: &Core,
    directory: &dyn Directory,
    backoff: &mut Backoff,
    gap: &mut Gap,
) -> Result<(), DirectoryError> {
    let mut list_at = core.clock.now() + LIST_INTERVAL;
    loop {
        let wait = watch_wait(core);
        let watched = !gap.exists() && core.clock.now() < list_at;
        let since = core.position().filter(|since| watched && core.in_newest_era(*since));
        let Some(since) = since else {
            let listed = list(core, directory, Kind::Targets).await?;
            backoff.succeeded();
            let lapse = gap.listed(core);
            lapse.into_iter().for_each(|until| core.keep_missing_until(until));
            apply_list(core, listed);
            list_at = core.clock.now() + LIST_INTERVAL;
            continue;
        };
        core.metrics.store_call("watch");
        let begun = core.clock.now();
        let changed = watch(core, directory, since, wait).await?;
        backoff.succeeded();
        core.expire();
        if changed || core.clock.now() - begun < WATCH_DELAY {
            tokio::time::sleep(WATCH_DELAY.duration()).await;
        }
    }
}

/// Lists all targets once.
async fn list_targets(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let listed = list(core, directory, Kind::Targets).await?;
    apply_list(core, listed);
    Ok(())
}

fn apply_list(core: &Core, listed: Listed) {
    let Listed { records, position, whole } = listed;
    let mut names: Vec<TargetId> = records.iter().map(|r| r.name.clone()).collect();
    if !whole {
        names.extend(core.target_names());
    }
    let entries = records.into_iter().filter_map(|r| match update(r) {
        Update::Set(entry) => Some(entry),
        Update::Malformed(_) | Update::Removed(_) => None,
    });
    core.apply_target_list(Source::List, position, entries.collect(), names);
}

fn update(record: Record) -> Update {
    match record.body {
        RecordBody::Target(entry) => Update::Set(entry),
        RecordBody::Catalog(_)
        | RecordBody::Evacuation
        | RecordBody::Build { .. }
        | RecordBody::Quarantined(_)
        | RecordBody::Origins(_)
        | RecordBody::Ends(_) => Update::Malformed(record.name),
        RecordBody::Malformed(why) => {
            note!(logs::Event::EntryMalformed, target = %record.name, why);
            Update::Malformed(record.name)
        }
    }
}
