//! What hosts tell each other of the platform's store: the configuration, the targets, and how old
//! the proof is that the configuration is the newest.

use base::{DomainId, Ms};
use bytes::Bytes;
use catalog::{Delta, Entry, TargetState, Update};
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use std::io::{self, Read};
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;
use wire::{Evacuation, StoreNews, StoreQuery, TargetEntry, TargetUpdate};

use crate::core::Core;
use crate::directory::{Declared, Directory, DirectoryError};

/// Longest wait that a query may ask for, ms.
const WAIT_MOST: Ms = Ms::secs(5);
/// Largest text of a configuration, bytes: the store's values are at most a megabyte, and a text
/// that grows without end would take the host's memory.
const TEXT_BYTES: u64 = 8 << 20;

/// Why what another host tells can't be used.
#[derive(Debug, Error)]
pub(crate) enum NewsError {
    /// The configuration's text can't be expanded.
    #[error("the configuration can't be expanded: {0}")]
    Packed(#[from] io::Error),
    /// The configuration can't be read.
    #[error(transparent)]
    Catalog(#[from] DirectoryError),
    /// It holds a newer configuration and doesn't hand it on.
    #[error("the host holds version {0} and doesn't hand it on")]
    Withheld(u64),
}

/// The configuration's text as it goes to other hosts, made once a version.
#[derive(Default)]
pub(crate) struct Packed {
    held: Mutex<Option<(u64, Bytes)>>,
}

impl Packed {
    /// Thousands of routes are alike: the text shrinks to a tenth, without which one small host
    /// could not hand it to fifty others within the time that a change may take.
    fn of(&self, declared: &Declared) -> io::Result<Bytes> {
        let version = declared.catalog.version;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = held.as_ref().filter(|(v, _)| *v == version) {
            return Ok(bytes.clone());
        }
        let mut bytes = Vec::new();
        ZlibEncoder::new(&declared.text[..], Compression::fast()).read_to_end(&mut bytes)?;
        let bytes = Bytes::from(bytes);
        *held = Some((version, bytes.clone()));
        Ok(bytes)
    }
}

fn unpack(bytes: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    ZlibDecoder::new(bytes).take(TEXT_BYTES).read_to_end(&mut text)?;
    Ok(text.into())
}

/// Answers a host that follows this one, once there is something that it lacks or its wait is over.
pub(crate) async fn answer(core: &Arc<Core>, query: StoreQuery) -> StoreNews {
    let arrived = core.clock.now();
    let end = arrived + Ms(query.wait_ms).min(WAIT_MOST);
    let (mut moved, mut proofs) = (core.moved.subscribe(), core.proofs());
    core.sources().asked(arrived);
    core.set_reading(true);
    loop {
        let news = news(core, &query, arrived);
        let rest = end - core.clock.now();
        let young = query.urgent && !core.blind();
        let newer = core.gate.evacuations().changed() > Some(query.evacuation);
        let changed = newer || !news.catalog.is_empty() || !news.updates.is_empty();
        if young || changed || rest == Ms::ZERO {
            core.sources().asked(core.clock.now());
            return news;
        }
        tokio::select! {
            () = tokio::time::sleep(rest.duration()) => {}
            _ = moved.changed() => {}
            _ = proofs.changed(), if query.urgent => {}
        }
    }
}

/// What this host knows beyond the query.
fn news(core: &Core, query: &StoreQuery, arrived: Ms) -> StoreNews {
    let declared = core.declared();
    let version = declared.as_ref().map_or(0, |d| d.catalog.version);
    let newer = declared.filter(|_| version > query.version);
    let catalog = newer.map(|d| core.packed.of(&d)).transpose().unwrap_or_else(|err| {
        logs::note!(logs::Event::ConfigWithheld, version, why = %err);
        None
    });
    let (updates, whole) = updates(core, query.revision);
    let proof = core.proved();
    StoreNews {
        proved: proof.is_some(),
        proof_ms: proof.map_or(0, |at| age(arrived, at)),
        version,
        catalog: catalog.map(Vec::from).unwrap_or_default(),
        revision: core.revision().unwrap_or_default(),
        updates,
        whole,
        lapse_ms: core.lapse_rest().0,
        evacuation: evacuation(core, arrived),
    }
}

fn evacuation(core: &Core, arrived: Ms) -> Option<Evacuation> {
    let evacuations = core.gate.evacuations();
    let proved = evacuations.proved()?;
    let domains = evacuations.domains().iter().map(|d| d.as_str().to_owned());
    Some(Evacuation {
        revision: evacuations.known()?,
        domains: domains.collect(),
        proof_ms: age(arrived, proved),
    })
}

/// Time from a read's sending to the arrival of a query, ms.
fn age(arrived: Ms, proved: Ms) -> i64 {
    arrived.0 as i64 - proved.0 as i64
}

/// When the read was sent of which another host that was asked at `sent` tells this age.
fn proved(core: &Core, sent: Ms, age: i64) -> Ms {
    Ms(sent.0.saturating_add_signed(age.saturating_neg())).min(core.clock.now())
}

fn updates(core: &Core, revision: u64) -> (Vec<TargetUpdate>, bool) {
    match core.missing(revision) {
        // It knows no target yet itself.
        _ if core.revision().is_none() => (Vec::new(), false),
        Delta::Updates(updates) => (updates.iter().map(to_wire).collect(), false),
        Delta::FullList => {
            let all = core.entries().into_iter().map(Update::Set);
            (all.map(|u| to_wire(&u)).collect(), true)
        }
    }
}

/// Takes what a host told that was asked at `sent`.
///
/// The proof is as old as that host says, counted back from before the query was sent: each delay
/// on the way, and any pause of either host, makes it older than it is and never younger. It counts
/// only for the configuration that came with it.
pub(crate) fn take(
    core: &Core,
    directory: &dyn Directory,
    sent: Ms,
    news: StoreNews,
) -> Result<(), NewsError> {
    if news.lapse_ms > 0 {
        core.lapsed(core.clock.now() + Ms(news.lapse_ms));
    }
    // Before the targets: those of an evacuated domain get nothing from the start.
    if let Some(told) = &news.evacuation {
        let domains = told.domains.iter().map(|d| DomainId::from(d.as_str())).collect();
        let at = proved(core, sent, told.proof_ms);
        core.take_evacuations(|held| held.list(at, told.revision, domains));
    }
    take_targets(core, &news);
    let found = match news.catalog.is_empty() {
        true => None,
        false => Some(directory.declared(unpack(&news.catalog)?)?),
    };
    let held = found.as_ref().map(|d| d.catalog.version).max(core.version());
    if held < Some(news.version) {
        return Err(NewsError::Withheld(news.version));
    }
    if news.proved {
        core.take_catalog(proved(core, sent, news.proof_ms), found.as_ref());
    }
    Ok(())
}

fn take_targets(core: &Core, news: &StoreNews) {
    let updates: Vec<Update> = news.updates.iter().map(from_wire).collect();
    match news.whole {
        true => {
            let names = updates.iter().map(|u| u.name().clone()).collect();
            let entries = updates.into_iter().filter_map(|u| match u {
                Update::Set(entry) => Some(entry),
                Update::Malformed(_) | Update::Removed(_) => None,
            });
            core.take_list(news.revision, entries.collect(), names);
        }
        // A host that knows no target says nothing of them.
        false if news.revision == 0 => {}
        false => core.take_updates(news.revision, updates),
    }
}

fn to_wire(update: &Update) -> TargetUpdate {
    let entry = match update {
        Update::Set(entry) => Some(entry),
        Update::Malformed(_) | Update::Removed(_) => None,
    };
    TargetUpdate {
        name: update.name().as_str().to_owned(),
        malformed: matches!(update, Update::Malformed(_)),
        entry: entry.map(|e| TargetEntry {
            service: e.service.as_str().to_owned(),
            address: e.addr.to_string(),
            domain: e.domain.as_str().to_owned(),
            slots: e.slots,
            draining: e.state == TargetState::Draining,
            warmup_ms: e.warmup.0,
            seq: e.seq,
            born: e.born,
        }),
    }
}

fn from_wire(update: &TargetUpdate) -> Update {
    let id = update.name.as_str().into();
    let Some(entry) = &update.entry else {
        return if update.malformed { Update::Malformed(id) } else { Update::Removed(id) };
    };
    let Ok(addr) = entry.address.parse() else { return Update::Malformed(id) };
    Update::Set(Entry {
        id,
        service: entry.service.as_str().into(),
        addr,
        domain: entry.domain.as_str().into(),
        slots: entry.slots,
        state: if entry.draining { TargetState::Draining } else { TargetState::Ready },
        warmup: Ms(entry.warmup_ms),
        seq: entry.seq,
        born: entry.born,
    })
}
