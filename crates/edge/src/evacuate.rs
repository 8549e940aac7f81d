//! Reads from the store which failure domains are evacuated, while this host is one of those that
//! read the store. The other hosts ask it; see [`crate::source`].
//!
//! The evacuations are polled with full lists instead of watched. Each list proves that what this
//! host holds is current, which a silent watch does not, and the lists are short since evacuations
//! are rare.

use base::{DomainId, Ms};
use logs::note;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::backoff::Backoff;
use crate::core::Core;
use crate::directory::{Directory, DirectoryError, Kind, Record, RecordBody};
use crate::read::{Listed, list};

/// Time between two lists, in percent of the time within which an evacuation must be in force. The
/// rest of that time allows for one call that gets no answer and for the wait of a host that asks
/// this one.
const LIST_INTERVAL_PERCENT: u64 = 40;

/// Keeps the set of evacuated domains current. Returns if the settings have no `evacuate_ms`, since
/// domains are then never evacuated.
pub(crate) async fn follow(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let mut backoff = Backoff::default();
    let mut reading = core.store_reader();
    loop {
        if reading.wait_for(|reads| *reads).await.is_err() {
            return;
        }
        let Some(interval) = interval(&core) else { return };
        let delay = match list_all(&core, directory.as_ref()).await {
            Ok(()) => {
                backoff.succeeded();
                interval
            }
            Err(err) => {
                backoff.failed(&err, "evacuations");
                backoff.delay(core.draw())
            }
        };
        tokio::time::sleep(delay.duration()).await;
    }
}

/// Lists the evacuations once, for a host that otherwise asks other hosts, if its last proof is
/// older than the list interval.
pub(crate) async fn once(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let proved = core.gate.evacuations().proved();
    match interval(core) {
        Some(interval) if proved.is_none_or(|at| core.clock.now() - at > interval) => {
            list_all(core, directory).await
        }
        _ => Ok(()),
    }
}

fn interval(core: &Core) -> Option<Ms> {
    core.settings().bounds.evacuate_ms.map(|bound| bound.scale(LIST_INTERVAL_PERCENT, 100))
}

async fn list_all(core: &Core, directory: &dyn Directory) -> Result<(), DirectoryError> {
    let sent = core.clock.now();
    let Listed { records, position, whole } = list(core, directory, Kind::Evacuations).await?;
    let domains: BTreeSet<DomainId> = records.into_iter().filter_map(domain).collect();
    core.apply_evacuations(|held| {
        let domains = if whole { domains } else { &domains | held.domains() };
        held.list(sent, position, domains)
    });
    Ok(())
}

/// The failure domain that a record names.
fn domain(record: Record) -> Option<DomainId> {
    match record.body {
        RecordBody::Evacuation => Some(record.name.as_str().into()),
        RecordBody::Catalog(_)
        | RecordBody::Target(_)
        | RecordBody::Build { .. }
        | RecordBody::Quarantined(_)
        | RecordBody::Origins(_)
        | RecordBody::Ends(_)
        | RecordBody::Malformed(_) => {
            note!(logs::Event::EntryMalformed, target = %record.name, why = "not an evacuation");
            None
        }
    }
}
