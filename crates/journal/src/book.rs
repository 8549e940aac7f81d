//! The records of one shard, without any I/O.

use base::{Key, Ms, WorkspaceId};
use std::collections::BTreeMap;
use wire::{Answer, Record, RecordState, Shard};

use crate::{Claim, ClaimResult, Outcome};

/// Largest shard object, bytes; the platform holds values up to a megabyte.
pub(crate) const VALUE_BYTES: usize = 1_000_000;
/// Part of it that a shard's own fields and a finish on each record may still need, bytes.
const SPARE_BYTES: usize = 20_000;

/// Size of one attempt in a record, bytes.
const MARK_BYTES: usize = 40;
/// Attempts given up that a record keeps. A late claim is seconds late, and re-sends are rarer.
const GIVEN_UP: usize = 8;

/// A host that claims, by name and run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
}

/// What a shard says of a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Look {
    /// Nobody holds the key.
    Free,
    /// This attempt holds it.
    Mine,
    /// This attempt was given up by its own host.
    Abandoned,
    /// The key was forgotten here.
    Forgotten,
    /// Another attempt holds it, and hasn't ended as far as is recorded.
    Started { by: Holder, at: Ms },
    /// It ended: answered or unknown.
    Ended(ClaimResult),
}

/// How recording an outcome went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Put {
    /// The record changed.
    Changed,
    /// It says so already.
    Same,
    /// The key is held by another attempt, or was forgotten.
    NotHolder,
    /// There is no record of the key.
    Absent,
}

/// The records of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Book {
    records: BTreeMap<(String, Key), Record>,
    bytes: usize,
    dropped: Ms,
}

impl Book {
    /// Reads a shard object. `None` when it isn't one.
    pub(crate) fn parse(body: &str) -> Option<Self> {
        let shard: Shard = serde_json::from_str(body).ok()?;
        let mut book = Self { dropped: Ms(shard.dropped_ms), ..Self::default() };
        for record in shard.records {
            let key: Key = record.key.parse().ok()?;
            book.insert((record.workspace.clone(), key), record);
        }
        Some(book)
    }

    /// The shard object.
    pub(crate) fn body(&self, shard: u32, change: &str) -> String {
        let shard = Shard {
            shard,
            change: change.to_owned(),
            records: self.records.values().cloned().collect(),
            dropped_ms: self.dropped.0,
        };
        serde_json::to_string(&shard).unwrap_or_default()
    }

    /// What is recorded for a claim.
    pub(crate) fn look(&self, claim: &Claim) -> Look {
        let Some(record) = self.records.get(&place(&claim.workspace, claim.key)) else {
            return if claim.key.time() <= self.dropped { Look::Forgotten } else { Look::Free };
        };
        let attempt = claim.attempt.to_string();
        let mine = record.attempt == attempt;
        match (record.state(), &record.answer) {
            (RecordState::Released, _) if mine => Look::Abandoned,
            _ if record.given_up.contains(&attempt) => Look::Abandoned,
            (RecordState::Released, _) => Look::Free,
            (RecordState::Started, _) if mine => Look::Mine,
            (RecordState::Started, _) => Look::Started {
                by: Holder { host: record.host.clone(), incarnation: record.incarnation },
                at: Ms(record.at_ms),
            },
            (RecordState::Done, Some(answer)) => Look::Ended(ClaimResult::Answered(answer.clone())),
            (RecordState::Done | RecordState::Lost, _) => Look::Ended(ClaimResult::Unknown),
        }
    }

    /// Records the start of a free key. False when the shard is full.
    ///
    /// A live key that was forgotten could run twice, so a full shard refuses; kept answers go
    /// first, since without one a re-send is still told that the outcome is unknown.
    pub(crate) fn start(&mut self, claim: &Claim, by: &Holder, now: Ms) -> bool {
        let place = place(&claim.workspace, claim.key);
        let mut record = record(claim, by, RecordState::Started, now);
        if let Some(old) = self.records.get(&place) {
            record.given_up = given_up(&old.given_up, old.attempt.clone());
        }
        if !self.make_room(bytes(&record)) {
            return false;
        }
        self.insert(place, record);
        true
    }

    /// Records how an attempt ended. An answer above `limit` bytes isn't kept.
    pub(crate) fn finish(&mut self, claim: &Claim, outcome: &Outcome, limit: usize) -> Put {
        let place = place(&claim.workspace, claim.key);
        let Some(record) = self.records.get(&place) else {
            return if claim.key.time() <= self.dropped { Put::NotHolder } else { Put::Absent };
        };
        let (state, answer) = match outcome {
            Outcome::Done(answer) => (RecordState::Done, Some(answer)),
            Outcome::Released => (RecordState::Released, None),
            Outcome::Lost => (RecordState::Lost, None),
        };
        match record.state() {
            _ if record.attempt != claim.attempt.to_string() => return Put::NotHolder,
            held if held == state => return Put::Same,
            RecordState::Started => {}
            RecordState::Done | RecordState::Lost | RecordState::Released => {
                return Put::NotHolder;
            }
        }
        let mut record = record.clone();
        record.set_state(state);
        let kept = answer.filter(|a| answer_bytes(a) <= limit);
        self.insert(place.clone(), record.clone());
        if let Some(answer) = kept
            && self.make_room(answer_bytes(answer))
        {
            record.answer = Some(answer.clone());
            self.insert(place, record);
        }
        Put::Changed
    }

    /// Records that an attempt gave up its claim, also when the claim isn't there yet: a claim of
    /// it that is still on its way is then refused.
    pub(crate) fn abandon(&mut self, claim: &Claim, by: &Holder, now: Ms) -> Put {
        match self.finish(claim, &Outcome::Released, 0) {
            Put::Absent => {
                let record = record(claim, by, RecordState::Released, now);
                match self.make_room(bytes(&record)) {
                    true => self.insert(place(&claim.workspace, claim.key), record),
                    false => return Put::NotHolder,
                }
                Put::Changed
            }
            Put::NotHolder => self.mark(claim),
            put => put,
        }
    }

    /// Marks an attempt as given up in a record that another attempt holds.
    fn mark(&mut self, claim: &Claim) -> Put {
        let place = place(&claim.workspace, claim.key);
        let attempt = claim.attempt.to_string();
        let free = |r: &&Record| matches!(r.state(), RecordState::Started | RecordState::Released);
        let Some(record) = self.records.get(&place).filter(free) else { return Put::NotHolder };
        if record.attempt == attempt || record.given_up.contains(&attempt) {
            return Put::Same;
        }
        let record = Record { given_up: given_up(&record.given_up, attempt), ..record.clone() };
        if !self.make_room(MARK_BYTES) {
            return Put::NotHolder;
        }
        self.insert(place, record);
        Put::Changed
    }

    /// Forgets keys made before `before`. Remembers how far, because a host whose clock lags, or
    /// which was paused, would take such a key for a new one and run it again.
    pub(crate) fn forget(&mut self, before: Ms) -> bool {
        let old: Vec<_> = self.records.keys().filter(|k| k.1.time() < before).cloned().collect();
        for place in &old {
            self.dropped = self.dropped.max(place.1.time());
            if let Some(record) = self.records.remove(place) {
                self.bytes -= bytes(&record);
            }
        }
        !old.is_empty()
    }

    /// Drops kept answers, oldest first, until `more` bytes fit.
    fn make_room(&mut self, more: usize) -> bool {
        let most = (VALUE_BYTES - SPARE_BYTES).saturating_sub(more);
        if self.bytes <= most {
            return true;
        }
        let answered = self.records.iter().filter(|(_, r)| r.answer.is_some());
        let mut old: Vec<_> = answered.map(|(p, r)| (r.at_ms, p.clone())).collect();
        old.sort();
        for (_, place) in old {
            if self.bytes <= most {
                break;
            }
            if let Some(record) = self.records.get(&place).cloned() {
                self.insert(place, Record { answer: None, ..record });
            }
        }
        self.bytes <= most
    }

    fn insert(&mut self, place: (String, Key), record: Record) {
        self.bytes += bytes(&record);
        if let Some(old) = self.records.insert(place, record) {
            self.bytes -= bytes(&old);
        }
    }
}

fn place(workspace: &WorkspaceId, key: Key) -> (String, Key) {
    (workspace.to_string(), key)
}

fn record(claim: &Claim, by: &Holder, state: RecordState, now: Ms) -> Record {
    Record {
        key: claim.key.to_string(),
        workspace: claim.workspace.to_string(),
        attempt: claim.attempt.to_string(),
        host: by.host.clone(),
        state: state.into(),
        answer: None,
        at_ms: now.0,
        incarnation: by.incarnation,
        given_up: Vec::new(),
    }
}

/// The attempts given up so far and one more.
///
/// Without them a claim that its host has given up, and that was on its way for long, would find
/// the key free once more: nobody would run it, and the key would read `unknown` for good.
fn given_up(so_far: &[String], attempt: String) -> Vec<String> {
    let many = (so_far.len() + 1).saturating_sub(GIVEN_UP);
    so_far.iter().cloned().chain([attempt]).skip(many).collect()
}

/// Size in the shard object, with the comma.
fn bytes(record: &Record) -> usize {
    serde_json::to_string(record).map_or(0, |text| text.len() + 1)
}

fn answer_bytes(answer: &Answer) -> usize {
    serde_json::to_string(answer).map_or(usize::MAX, |text| text.len())
}
