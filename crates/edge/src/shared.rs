//! Passes data of the platform's store between hosts: the configuration, the targets, the evacuated
//! failure domains, and the age of the proof that the configuration is the newest.
//!
//! A host that reads the store answers the queries of the others; see [`sched::store_reader`].

use base::{DomainId, Ms, Suspect};
use bytes::Bytes;
use catalog::{Build, Delta, Entry, LAPSE_GRACE, Position, QuarantineList, TargetState, Update};
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use std::io::{self, Read};
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;
use wire::{
    BuildList, Evacuation, ListedBuild, StoreNews, StoreQuery, SuspectList, TargetEntry,
    TargetUpdate,
};

use crate::core::{Core, Source};
use crate::diagnose;
use crate::directory::{Declared, Directory, DirectoryError};

/// Longest wait that a query may ask for.
const MAX_WAIT: Ms = Ms::secs(5);
/// Time that an answer may take to the host that asked: as long as a host may be denied the
/// processor by its quota, and a round trip.
const ANSWER_MARGIN: Ms = Ms(200);
/// Largest decompressed text of a configuration, bytes: values of the store are at most a megabyte,
/// and without a limit a corrupt message could expand until the host is out of memory.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Why another host's answer can't be applied in full.
#[derive(Debug, Error)]
pub(crate) enum SyncError {
    /// The configuration's text can't be decompressed.
    #[error("the configuration can't be decompressed: {0}")]
    Decompress(#[from] io::Error),
    /// The configuration can't be read.
    #[error(transparent)]
    Catalog(#[from] DirectoryError),
    /// It hasn't heard yet that the store has come back from an older copy.
    #[error("the host's data is from before the store came back from an older copy")]
    Outdated,
    /// It holds a newer configuration but didn't send it.
    #[error("the host holds configuration version {0} but didn't send it")]
    Withheld(u64),
}

/// The compressed text of the configuration for other hosts, made once for each version.
#[derive(Default)]
pub(crate) struct CompressedConfig {
    held: Mutex<Option<(u64, Bytes)>>,
}

impl CompressedConfig {
    /// The compressed text of these declarations.
    ///
    /// Thousands of routes are alike, so the text shrinks to a tenth. Uncompressed, one small host
    /// could not send it to fifty others within the time that a change may take.
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

fn decompress(bytes: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_TEXT_BYTES).read_to_end(&mut text)?;
    Ok(text.into())
}

/// Answers the query of a host that gets the store's data from this one: as soon as there is
/// something that it lacks, or when its wait is over.
pub(crate) async fn answer(core: &Arc<Core>, query: StoreQuery) -> StoreNews {
    let arrived = core.clock.now();
    let end = arrived + Ms(query.wait_ms).min(MAX_WAIT);
    let (mut changes, mut proofs) = (core.changed.subscribe(), core.proofs());
    core.store_readers().asked(arrived);
    core.set_store_reader(true);
    loop {
        core.renewed_after_pause(is_fresh).await;
        let news = news(core, &query, arrived);
        let rest = end - core.clock.now();
        let fresh = query.urgent && is_fresh(core);
        let newer = core.gate.evacuations().changed() > Position::unpack(query.evacuation);
        let newer = newer || core.builds().position() > Position::unpack(query.builds);
        let newer = newer || core.quarantine().position() > Position::unpack(query.suspects);
        let changed = newer || !news.catalog.is_empty() || !news.updates.is_empty();
        // The host that asks urgently is told at once, and asks another.
        let failed = query.urgent && core.read_failed() >= arrived;
        // The store has just come back from an older copy, and the list is on its way. A host that
        // has heard of it elsewhere would take this one's data for out of date.
        let behind = core.position().is_some_and(|held| !core.in_newest_era(held));
        let tells = (fresh || changed) && !behind;
        if tells || failed || rest == Ms::ZERO {
            core.store_readers().asked(core.clock.now());
            return news;
        }
        tokio::select! {
            () = tokio::time::sleep(rest.duration()) => {}
            Ok(()) = changes.changed() => {}
            Ok(()) = proofs.changed(), if query.urgent => {}
        }
    }
}

/// Whether the proof will still not be overdue when another host gets it. If not, that host would
/// give this one up as reader, although the next read is about to be answered.
fn is_fresh(core: &Core) -> bool {
    !core.proof_overdue_at(core.clock.now() + ANSWER_MARGIN)
}

/// What this host knows that the querying host lacks.
fn news(core: &Core, query: &StoreQuery, arrived: Ms) -> StoreNews {
    let declared = core.declared();
    let version = declared.as_ref().map_or(0, |d| d.catalog.version);
    let newer = declared.filter(|_| version > query.version);
    let catalog = newer.map(|d| core.compressed.of(&d)).transpose().unwrap_or_else(|err| {
        logs::note!(logs::Event::ConfigWithheld, version, why = %err);
        None
    });
    let position = core.position();
    let (updates, whole) = updates(core, query.revision);
    let proof = core.proved();
    StoreNews {
        proved: proof.is_some(),
        proof_ms: proof.map_or(0, |at| age(arrived, at)),
        version,
        catalog: catalog.map(Vec::from).unwrap_or_default(),
        revision: position.map_or(0, Position::pack),
        updates,
        whole,
        lapse_ms: core.keep_missing_for().0,
        evacuation: evacuation(core, arrived),
        builds: builds(core, query.builds),
        suspects: suspects(core, query.suspects),
    }
}

/// The software versions at which streams may have begun, if the list is newer than the one known
/// up to `known`.
fn builds(core: &Core, known: u64) -> Option<BuildList> {
    let builds = core.builds();
    let position = builds.position().filter(|held| Some(*held) > Position::unpack(known))?;
    let to_wire = |b: Build| ListedBuild {
        service: b.service.as_str().to_owned(),
        build: b.id.as_str().to_owned(),
    };
    Some(BuildList {
        revision: position.pack(),
        builds: builds.listed().into_iter().map(to_wire).collect(),
    })
}

/// What ends targets, if the list is newer than the one known up to `known`.
fn suspects(core: &Core, known: u64) -> Option<SuspectList> {
    let held = core.quarantine();
    let position = held.position().filter(|held| Some(*held) > Position::unpack(known))?;
    let suspects = held.listed().into_iter().map(diagnose::to_wire).collect();
    let lifted = held.lifted().map(diagnose::to_wire).collect();
    Some(SuspectList { revision: position.pack(), suspects, lifted })
}

fn evacuation(core: &Core, arrived: Ms) -> Option<Evacuation> {
    let evacuations = core.gate.evacuations();
    let proved = evacuations.proved()?;
    let domains = evacuations.domains().iter().map(|d| d.as_str().to_owned());
    Some(Evacuation {
        revision: evacuations.known()?.pack(),
        domains: domains.collect(),
        proof_ms: age(arrived, proved),
    })
}

/// Time from the sending of a read to the arrival of a query, ms; negative if the read was sent
/// later.
fn age(arrived: Ms, proved: Ms) -> i64 {
    arrived.0 as i64 - proved.0 as i64
}

/// When a read was sent whose age another host told, counted from this host's query sent at `sent`.
fn read_sent_at(core: &Core, sent: Ms, age: i64) -> Ms {
    Ms(sent.0.saturating_add_signed(age.saturating_neg())).min(core.clock.now())
}

fn updates(core: &Core, position: u64) -> (Vec<TargetUpdate>, bool) {
    match core.changes_since(Position::unpack(position).unwrap_or_default()) {
        // This host knows no targets yet itself.
        _ if core.position().is_none() => (Vec::new(), false),
        Delta::Updates(updates) => (updates.iter().map(to_wire).collect(), false),
        Delta::FullList => {
            let all = core.entries().into_iter().map(Update::Set);
            (all.map(|u| to_wire(&u)).collect(), true)
        }
    }
}

/// Applies another host's answer to a query sent at `sent`.
///
/// The age of the proof that the answer tells is counted back from the moment before the query was
/// sent. A delay on the way, or a pause of either host, can therefore only make the proof seem
/// older than it is, never younger. The proof holds only for the configuration that came with it.
pub(crate) fn apply(
    core: &Arc<Core>,
    directory: &dyn Directory,
    sent: Ms,
    news: StoreNews,
) -> Result<(), SyncError> {
    let position = Position::unpack(news.revision);
    if position.is_some_and(|position| !core.note_era(position.era)) {
        return Err(SyncError::Outdated);
    }
    let now = core.clock.now();
    if news.lapse_ms > 0 && core.store_was_away(now - LAPSE_GRACE.scale(2, 1)) {
        core.keep_missing_until(now + Ms(news.lapse_ms));
    }
    if let Some(list) = &news.builds {
        apply_builds(core, list);
    }
    let suspects = news.suspects.as_ref();
    let suspects = suspects.and_then(|list| Some((Position::unpack(list.revision)?, list)));
    if let Some((position, list)) = suspects {
        let read = |list: &[wire::Suspect]| -> Vec<Suspect> {
            list.iter().filter_map(diagnose::from_wire).collect()
        };
        let (listed, removed) = (read(&list.suspects), read(&list.lifted));
        let read = QuarantineList { position, listed: &listed, removed: &removed, own: false };
        let missing = core.apply_quarantine(read);
        diagnose::tell_again(core, missing);
    }
    // Evacuations come before the targets, so that no target of an evacuated domain gets a request.
    let evacuation = news.evacuation.as_ref();
    let evacuation = evacuation.and_then(|e| Some((Position::unpack(e.revision)?, e)));
    if let Some((read_at, told)) = evacuation {
        let domains = told.domains.iter().map(|d| DomainId::from(d.as_str())).collect();
        let at = read_sent_at(core, sent, told.proof_ms);
        core.apply_evacuations(|held| held.list(at, read_at, domains));
    }
    if let Some(position) = position {
        apply_targets(core, position, &news);
    }
    let found = match news.catalog.is_empty() {
        true => None,
        false => Some(directory.declared(decompress(&news.catalog)?)?),
    };
    let held = found.as_ref().map(|d| d.catalog.version).max(core.version());
    if held < Some(news.version) {
        return Err(SyncError::Withheld(news.version));
    }
    if news.proved {
        core.apply_catalog(read_sent_at(core, sent, news.proof_ms), found.as_ref());
    }
    Ok(())
}

fn apply_builds(core: &Core, list: &BuildList) {
    let Some(position) = Position::unpack(list.revision) else { return };
    let from_wire =
        |b: &ListedBuild| Build { service: b.service.as_str().into(), id: b.build.as_str().into() };
    core.apply_builds(position, &list.builds.iter().map(from_wire).collect());
}

fn apply_targets(core: &Core, position: Position, news: &StoreNews) {
    let updates: Vec<Update> = news.updates.iter().map(from_wire).collect();
    match news.whole {
        true => {
            let names = updates.iter().map(|u| u.name().clone()).collect();
            let entries = updates.into_iter().filter_map(|u| match u {
                Update::Set(entry) => Some(entry),
                Update::Malformed(_) | Update::Removed(_) => None,
            });
            core.apply_target_list(Source::Peer, position, entries.collect(), names);
        }
        false => core.apply_target_updates(Source::Peer, position, updates),
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
            build: e.build.as_str().to_owned(),
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
        build: entry.build.as_str().into(),
        slots: entry.slots,
        state: if entry.draining { TargetState::Draining } else { TargetState::Ready },
        warmup: Ms(entry.warmup_ms),
        seq: entry.seq,
        born: entry.born,
    })
}
