//! Reads what is declared and registered at the platform, while this host is one that reads; the
//! others ask it, see [`crate::source`].
//!
//! The configuration is read whole again and again: each answer proves that what is held is the
//! newest, which a watch that says nothing doesn't. Targets are watched, since their list is long
//! and changes often; a watch that ends early, or a history that is forgotten, means to list again.

use base::Ms;
use catalog::{LAPSE_GRACE, Update};
use logs::note;
use std::sync::Arc;

use crate::core::Core;
use crate::directory::{
    Change, Declared, Directory, DirectoryError, Kind, Record, RecordBody, Revision, Updates,
};
use crate::evacuate;

/// Part of the time in which a change must be in force after which the configuration is read again,
/// percent: hosts that follow this one notice that its reads fail, and read themselves, in time.
const READ_SHARE: u64 = 30;
/// The same of the time after which a key that was taken away must not work, percent: hosts that
/// follow this one hear of the proof later, and may lose a call.
const PROOF_SHARE: u64 = 20;
/// Wait for an answer of the store, ms: sixty times its usual time.
const SILENCE: Ms = Ms(700);
/// What is left of the time in which a leaving target must get nothing new when a watch ends, ms:
/// one that went silent for good is noticed [`SILENCE`] later, and the list read.
const WATCH_REST: Ms = Ms(1_000);
/// Longest wait of a watch, ms.
const WATCH_MOST: Ms = Ms(8_000);
/// Pause after changes before the next watch, ms. Changes come in groups, when targets are
/// replaced or register again; without it each is a call.
const GROUP: Ms = Ms(300);
/// Pause after a failed call, ms; doubled each time in a row.
const PAUSE: Ms = Ms(100);
/// Longest such pause, ms: hosts must be back within a second of the store.
const PAUSE_MOST: Ms = Ms(500);
/// Targets are listed anew this often, ms, in case a change was missed.
const LIST_EVERY: Ms = Ms::secs(15);

/// Keeps the configuration current.
pub(crate) async fn catalog(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut pause = Pause::default();
    let mut reading = core.store_reader();
    loop {
        // The sender lives in `core`, so the wait can't fail.
        let _ = reading.wait_for(|reads| *reads).await;
        let sent = core.clock.now();
        core.metrics.store_call("read");
        match read_catalog(directory.as_ref()).await {
            Ok(found) => {
                pause.good();
                core.apply_catalog(sent, found.as_ref());
                let rest = read_every(&core) - (core.clock.now() - sent);
                tokio::time::sleep(rest.duration()).await;
            }
            Err(err) => {
                pause.bad(&err, "catalog");
                tokio::time::sleep(pause.time(core.draw()).duration()).await;
            }
        }
    }
}

fn read_every(core: &Core) -> Ms {
    let bounds = &core.settings().bounds;
    let change = bounds.config_ms.scale(READ_SHARE, 100);
    match bounds.revoke_strict {
        true => change.min(bounds.revoke_ms.scale(PROOF_SHARE, 100)),
        false => change,
    }
}

fn watch_wait(core: &Core) -> Ms {
    (core.settings().bounds.drain_ms - WATCH_REST).min(WATCH_MOST)
}

async fn read_catalog(directory: &dyn Directory) -> Result<Option<Declared>, DirectoryError> {
    let page = within(SILENCE, directory.list(Kind::Catalog, None)).await?;
    let mut newest: Option<Declared> = None;
    for record in page.records {
        match record.body {
            RecordBody::Catalog(found) => {
                newest = newest.into_iter().chain([found]).max_by_key(|d| d.catalog.version);
            }
            RecordBody::Target(_) | RecordBody::Evacuation => {}
            RecordBody::Malformed(why) => {
                note!(logs::Event::ConfigRefused, name = %record.name, why);
                return Err(DirectoryError::Malformed(why));
            }
        }
    }
    Ok(newest)
}

/// Reads the configuration, evacuations and what changed of the targets once, for a host that follows others.
pub(crate) async fn once(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let sent = core.clock.now();
    core.metrics.store_call("read");
    let found = read_catalog(directory).await?;
    core.apply_catalog(sent, found.as_ref());
    evacuate::once(core, directory).await?;
    let Some(since) = core.revision() else { return Ok(()) };
    core.metrics.store_call("watch");
    watch(core, directory, Revision(since), Ms::ZERO).await?;
    Ok(())
}

/// Waits for changes of targets and takes them. Gives whether there were some.
async fn watch(
    core: &Core,
    directory: &dyn Directory,
    since: Revision,
    wait: Ms,
) -> Result<bool, DirectoryError> {
    let watch = directory.watch(Kind::Targets, since, wait);
    let Updates { changes, revision } = within(wait + SILENCE, watch).await?;
    let changed = !changes.is_empty();
    let updates = changes.into_iter().map(|change| match change {
        Change::Removed(id) => Update::Removed(id),
        Change::Set(record) => update(record),
    });
    core.apply_target_updates(revision.0, updates.collect());
    Ok(changed)
}

/// Keeps the targets current.
pub(crate) async fn targets(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut gap = Gap::default();
    let mut pause = Pause::default();
    let mut reading = core.store_reader();
    loop {
        // The sender lives in `core`, so the waits can't fail.
        let _ = reading.wait_for(|reads| *reads).await;
        let mut ended = core.store_reader();
        let result = tokio::select! {
            result = follow(&core, directory.as_ref(), &mut pause, &mut gap) => result,
            _ = ended.wait_for(|reads| !*reads) => Ok(()),
        };
        let Err(err) = result else { continue };
        gap.failed(&err);
        pause.bad(&err, "targets");
        core.expire();
        tokio::time::sleep(pause.time(core.draw()).duration()).await;
    }
}

/// What this host may have missed of the targets.
#[derive(Default)]
struct Gap {
    /// Registrations may have lapsed, since the store was away.
    lapsed: bool,
    /// The store has forgotten what happened since the last watch.
    forgotten: bool,
}

impl Gap {
    fn open(&self) -> bool {
        self.lapsed || self.forgotten
    }

    fn failed(&mut self, err: &DirectoryError) {
        match err {
            DirectoryError::Compacted => self.forgotten = true,
            DirectoryError::Busy(_) | DirectoryError::Down | DirectoryError::Malformed(_) => {
                self.lapsed = true;
            }
        }
    }

    /// A list has come: until when what is missing counts as lapsed, if the store was away before.
    fn listed(&mut self, now: Ms) -> Option<Ms> {
        let lapsed = std::mem::take(self).lapsed;
        lapsed.then_some(now + LAPSE_GRACE)
    }
}

/// Watches, and lists what isn't known or hasn't been listed for long, until a call fails.
///
/// Who reads changes with the live hosts; one that takes over goes on from the revision up to which
/// it was told.
async fn follow(
    core: &Core,
    directory: &dyn Directory,
    pause: &mut Pause,
    gap: &mut Gap,
) -> Result<(), DirectoryError> {
    let mut list_at = core.clock.now() + LIST_EVERY;
    loop {
        let wait = watch_wait(core);
        let since = core.revision().filter(|_| !gap.open() && core.clock.now() < list_at);
        let Some(since) = since else {
            let (records, revision) = list(core, directory, Kind::Targets).await?;
            pause.good();
            let lapse = gap.listed(core.clock.now());
            lapse.into_iter().for_each(|until| core.keep_missing_until(until));
            let names = records.iter().map(|r| r.name.clone()).collect();
            let entries = records.into_iter().filter_map(|r| match update(r) {
                Update::Set(entry) => Some(entry),
                Update::Malformed(_) | Update::Removed(_) => None,
            });
            core.apply_target_list(revision.0, entries.collect(), names);
            list_at = core.clock.now() + LIST_EVERY;
            continue;
        };
        core.metrics.store_call("watch");
        let changed = watch(core, directory, Revision(since), wait).await?;
        pause.good();
        core.expire();
        if changed {
            tokio::time::sleep(GROUP.duration()).await;
        }
    }
}

/// All records of a kind, and the revision from which to watch on.
pub(crate) async fn list(
    core: &Core,
    directory: &dyn Directory,
    kind: Kind,
) -> Result<(Vec<Record>, Revision), DirectoryError> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    let mut first = None;
    loop {
        let list = directory.list(kind, after.as_deref());
        core.metrics.store_call("list");
        let page = within(SILENCE, list).await?;
        records.extend(page.records);
        // Changes between two pages come again with the watch.
        let since = *first.get_or_insert(page.revision);
        match page.next {
            Some(next) => after = Some(next),
            None => return Ok((records, since)),
        }
    }
}

fn update(record: Record) -> Update {
    match record.body {
        RecordBody::Target(entry) => Update::Set(entry),
        RecordBody::Catalog(_) | RecordBody::Evacuation => Update::Malformed(record.name),
        RecordBody::Malformed(why) => {
            note!(logs::Event::EntryMalformed, target = %record.name, why);
            Update::Malformed(record.name)
        }
    }
}

async fn within<T>(
    bound: Ms,
    call: impl Future<Output = Result<T, DirectoryError>>,
) -> Result<T, DirectoryError> {
    tokio::time::timeout(bound.duration(), call).await.unwrap_or(Err(DirectoryError::Down))
}

/// Pauses between failed calls, and one log line when the store is lost and when it is back.
#[derive(Default)]
pub(crate) struct Pause {
    failures: u32,
}

impl Pause {
    /// A call was answered.
    pub(crate) fn good(&mut self) {
        if self.failures > 0 {
            note!(logs::Event::PlatformBack, failures = self.failures);
        }
        self.failures = 0;
    }

    /// A call failed that reads `what`.
    pub(crate) fn bad(&mut self, err: &DirectoryError, what: &'static str) {
        if self.failures == 0 {
            note!(logs::Event::PlatformDown, what, why = %err);
        }
        self.failures += 1;
    }

    /// Time until the next call: hosts that lost the store together must not come back together.
    pub(crate) fn time(&self, draw: u64) -> Ms {
        let time = PAUSE.scale(1 << self.failures.saturating_sub(1).min(8), 1).min(PAUSE_MOST);
        time.scale(1, 2) + Ms(draw % (time.0 / 2 + 1))
    }
}
