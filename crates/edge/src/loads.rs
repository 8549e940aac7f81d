//! The loads of the services that run stages: their form in messages, and those that this host
//! knows.

use base::{Ms, PoolId, RegionId};
use catalog::MAX_RANK;
use logs::note;
use sched::admission::Admission;
use sched::admission::load::{MAX_PIECES, ServiceLoad, Work, WorkspaceKey};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use wire::{ComingPieces, StageLoad};

use crate::core::Core;

/// Largest number of workspaces that a message lists. The others share one entry, so that a message
/// stays small however many workspaces there are.
const MAX_WORKSPACES: usize = 32;
/// Largest number of ranks in a message that is accepted.
const MAX_RANKS: usize = MAX_RANK as usize + 1;

/// The loads that this host knows.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    admission: Mutex<Admission>,
    /// Whether an implausible load was logged.
    implausible: AtomicBool,
}

impl Loads {
    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records the loads in a message that has just arrived. Those without figures are of hosts that
/// don't compose the service's calls.
pub(crate) fn record<'a>(core: &Core, loads: impl IntoIterator<Item = &'a StageLoad>) {
    let now = core.clock.now();
    for message in loads.into_iter().filter(|load| load.throughput.is_some()) {
        let (region, service) = (RegionId::from(&*message.region), PoolId::from(&*message.service));
        let load = from_wire(message);
        let plausible =
            load.is_some_and(|load| core.loads.admission().record(now, &region, &service, load));
        if !plausible && !core.loads.implausible.swap(true, Ordering::Relaxed) {
            note!(logs::Event::LoadImplausible, service = %service, region = %region);
        }
    }
}

/// Adds the load of a service in a region to a message.
pub(crate) fn add(message: &mut StageLoad, region: &RegionId, load: &ServiceLoad) {
    let all = || load.queued.iter().chain(load.coming.values().flatten());
    let ranks: Vec<u8> = all().map(|w| w.rank).collect::<BTreeSet<_>>().into_iter().collect();
    let workspaces = listed(all());
    let table = |works: &[Work]| table(&ranks, &workspaces, works);
    message.region = region.as_str().to_owned();
    message.throughput = Some(load.throughput);
    message.call_ms = Some(load.call_ms);
    message.elsewhere_ms = load.elsewhere.map(|wait| wait.0);
    message.queued = table(&load.queued);
    let coming = |(service, works): (&PoolId, &Vec<Work>)| ComingPieces {
        service: service.as_str().to_owned(),
        pieces: table(works),
    };
    message.coming = load.coming.iter().map(coming).collect();
    message.ranks = ranks.iter().copied().map(u32::from).collect();
    message.workspaces = workspaces.iter().map(|w| w.0).collect();
}

/// The workspaces with most pieces, and the entry of all others.
fn listed<'a>(works: impl Iterator<Item = &'a Work>) -> Vec<WorkspaceKey> {
    let mut pieces: BTreeMap<WorkspaceKey, u64> = BTreeMap::new();
    works.for_each(|w| *pieces.entry(w.workspace).or_default() += u64::from(w.pieces));
    let mut keys: Vec<WorkspaceKey> = pieces.keys().copied().collect();
    if keys.len() > MAX_WORKSPACES {
        keys.sort_by_key(|key| std::cmp::Reverse(pieces[key]));
        keys.truncate(MAX_WORKSPACES - 1);
        keys.push(WorkspaceKey::default());
    }
    keys
}

/// One figure for each rank and workspace, by rank.
fn table(ranks: &[u8], workspaces: &[WorkspaceKey], works: &[Work]) -> Vec<u32> {
    let mut out = vec![0_u32; ranks.len() * workspaces.len()];
    for work in works {
        let Some(rank) = ranks.iter().position(|r| *r == work.rank) else { continue };
        let key = workspaces.iter().position(|w| *w == work.workspace);
        let column = key.unwrap_or(workspaces.len() - 1);
        let entry = &mut out[rank * workspaces.len() + column];
        *entry = entry.saturating_add(work.pieces).min(MAX_PIECES);
    }
    out
}

/// The load in a message; none if its parts don't fit together.
fn from_wire(message: &StageLoad) -> Option<ServiceLoad> {
    let ranks: Option<Vec<u8>> = message.ranks.iter().map(|r| u8::try_from(*r).ok()).collect();
    let ranks = ranks.filter(|r| r.len() <= MAX_RANKS)?;
    let workspaces = &message.workspaces;
    if workspaces.len() > MAX_WORKSPACES {
        return None;
    }
    let works = |table: &[u32]| {
        (table.len() == ranks.len() * workspaces.len()).then(|| {
            let keys = ranks.iter().flat_map(|rank| workspaces.iter().map(|w| (*rank, *w)));
            let filled = keys.zip(table).filter(|(_, pieces)| **pieces > 0);
            let work = |((rank, workspace), pieces): ((u8, u32), &u32)| Work {
                rank,
                workspace: WorkspaceKey(workspace),
                pieces: *pieces,
            };
            filled.map(work).collect::<Vec<Work>>()
        })
    };
    let coming = message.coming.iter();
    let coming = coming.map(|c| Some((PoolId::from(&*c.service), works(&c.pieces)?)));
    Some(ServiceLoad {
        throughput: message.throughput?,
        call_ms: message.call_ms?,
        elsewhere: message.elsewhere_ms.map(Ms),
        queued: works(&message.queued)?,
        coming: coming.collect::<Option<_>>()?,
    })
}
