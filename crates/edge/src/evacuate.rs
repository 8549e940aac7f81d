//! Reads which failure domains are evacuated, while this host is one that reads the store; the
//! others ask it, see [`crate::source`].
//!
//! They are listed when a host begins to read and after each call that failed, and watched in
//! between. A watch ends within a part of the time in which an evacuation must be in force: one that
//! went silent for good is noticed in time, and each end proves what is held.

use base::Ms;
use logs::note;
use sched::evacuation::EvacuationChange;
use std::sync::Arc;

use crate::core::Core;
use crate::directory::{Change, Directory, DirectoryError, Kind, Record, RecordBody, Revision};
use crate::follow::{Pause, SILENCE, list, within};

/// Part of the time in which an evacuation must be in force that a watch waits, percent. What it
/// proves is as old as its sending when the next one ends: two of them, the time until a silent one
/// is noticed, and the wait of a host that asks this one must fit.
const WATCH_SHARE: u64 = 28;

/// Keeps the evacuated domains current. Does nothing where there are none to be expected.
pub(crate) async fn follow(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut pause = Pause::default();
    let mut reading = core.reading();
    loop {
        // The sender lives in `core`, so the waits can't fail.
        let _ = reading.wait_for(|reads| *reads).await;
        let Some(bound) = core.settings().bounds.evacuate_ms else { return };
        let mut ended = core.reading();
        let wait = bound.scale(WATCH_SHARE, 100);
        let result = tokio::select! {
            result = read(&core, directory.as_ref(), &mut pause, wait) => result,
            _ = ended.wait_for(|reads| !*reads) => Ok(()),
        };
        let Err(err) = result else { continue };
        pause.bad(&err, "evacuations");
        tokio::time::sleep(pause.time(core.draw()).duration()).await;
    }
}

/// Lists and watches until a call fails.
async fn read(
    core: &Core,
    directory: &dyn Directory,
    pause: &mut Pause,
    wait: Ms,
) -> Result<(), DirectoryError> {
    let mut since = all(core, directory).await?;
    pause.good();
    loop {
        let sent = core.clock.now();
        core.metrics.store_call("watch");
        let watch = directory.watch(Kind::Evacuations, since, wait);
        let updates = within(wait + SILENCE, watch).await?;
        pause.good();
        since = updates.revision;
        let changes: Vec<EvacuationChange> =
            updates.changes.into_iter().filter_map(change).collect();
        core.take_evacuations(|held| held.changes(sent, since.0, changes));
    }
}

/// Lists them once, for a host that follows others.
pub(crate) async fn once(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    match core.settings().bounds.evacuate_ms {
        Some(_) => all(core, directory).await.map(|_| ()),
        None => Ok(()),
    }
}

async fn all(core: &Core, directory: &dyn Directory) -> Result<Revision, DirectoryError> {
    let sent = core.clock.now();
    let (records, revision) = list(core, directory, Kind::Evacuations).await?;
    let domains = records.into_iter().filter_map(domain).collect();
    core.take_evacuations(|held| held.list(sent, revision.0, domains));
    Ok(revision)
}

fn change(change: Change) -> Option<EvacuationChange> {
    match change {
        Change::Removed(name) => Some(EvacuationChange::Removed(name.as_str().into())),
        Change::Set(record) => domain(record).map(EvacuationChange::Set),
    }
}

/// The failure domain that a record names.
fn domain(record: Record) -> Option<base::DomainId> {
    match record.body {
        RecordBody::Evacuation => Some(record.name.as_str().into()),
        RecordBody::Catalog(_) | RecordBody::Target(_) | RecordBody::Malformed(_) => {
            note!(logs::Event::EntryMalformed, target = %record.name, why = "not an evacuation");
            None
        }
    }
}
