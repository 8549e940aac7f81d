//! Reads which failure domains are evacuated, while this host is one that reads the store; the
//! others ask it, see [`crate::source`].
//!
//! They are listed again and again: each list proves what is held, which a watch that may be mute
//! doesn't, and there are hardly ever any.

use base::Ms;
use logs::note;
use std::sync::Arc;

use crate::core::Core;
use crate::directory::{Directory, DirectoryError, Kind, Record, RecordBody};
use crate::follow::{Pause, list};

/// Part of the time in which an evacuation must be in force after which they are listed again,
/// percent. With it goes a call that gets no answer, and the wait of a host that asks this one.
const LIST_SHARE: u64 = 40;

/// Keeps the evacuated domains current. Does nothing where there are none to be expected.
pub(crate) async fn follow(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut pause = Pause::default();
    let mut reading = core.store_reader();
    loop {
        // The sender lives in `core`, so the wait can't fail.
        let _ = reading.wait_for(|reads| *reads).await;
        let Some(every) = every(&core) else { return };
        let rest = match all(&core, directory.as_ref()).await {
            Ok(()) => {
                pause.good();
                every
            }
            Err(err) => {
                pause.bad(&err, "evacuations");
                pause.time(core.draw())
            }
        };
        tokio::time::sleep(rest.duration()).await;
    }
}

/// Lists them once, for a host that follows others and has not heard of them lately.
pub(crate) async fn once(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let proved = core.gate.evacuations().proved();
    match every(core) {
        Some(every) if proved.is_none_or(|at| core.clock.now() - at > every) => {
            all(core, directory).await
        }
        _ => Ok(()),
    }
}

fn every(core: &Core) -> Option<Ms> {
    core.settings().bounds.evacuate_ms.map(|bound| bound.scale(LIST_SHARE, 100))
}

async fn all(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let sent = core.clock.now();
    let (records, revision) = list(core, directory, Kind::Evacuations).await?;
    let domains = records.into_iter().filter_map(domain).collect();
    core.apply_evacuations(|held| held.list(sent, revision.0, domains));
    Ok(())
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
