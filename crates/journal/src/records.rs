//! The records of one shard. No I/O happens here.

use base::{Key, Ms, WorkspaceId};
use std::collections::BTreeMap;
use wire::{Answer, Record, RecordState, Shard};

use crate::{Claim, ClaimResult, Outcome};

/// Largest shard object, bytes; the platform holds values up to a megabyte.
pub(crate) const MAX_SHARD_BYTES: usize = 1_000_000;
/// Part of `MAX_SHARD_BYTES` reserved for a shard's own fields and for finishing each record,
/// bytes.
const RESERVED_BYTES: usize = 20_000;

/// Size of one attempt in a record's list of attempts given up, bytes.
const ATTEMPT_BYTES: usize = 40;
/// Most attempts given up that a record lists. A delayed claim arrives seconds late, and re-sends
/// are less frequent than that.
const MAX_GIVEN_UP: usize = 8;

/// The host that makes a claim, by name and incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
}

/// What a shard's records say of a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyState {
    /// No attempt holds the key.
    Free,
    /// This attempt holds it.
    OwnAttempt,
    /// This attempt was given up by its own host.
    Abandoned,
    /// The key is so old that its record was dropped from this shard.
    Dropped,
    /// Another attempt holds the key, and no end of it is recorded.
    Started { holder: Holder, started: Ms },
    /// The request ended, with a recorded answer or an unknown outcome.
    Ended(ClaimResult),
}

/// The effect of recording an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateResult {
    /// The record changed.
    Changed,
    /// The record already has this outcome.
    Unchanged,
    /// Nothing was recorded: another attempt holds the key, the record has another outcome or was
    /// dropped, or the shard has no room for an abandoned claim.
    NotHolder,
    /// There is no record of the key.
    Absent,
}

/// The records of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ShardRecords {
    records: BTreeMap<(String, Key), Record>,
    bytes: usize,
    dropped_until: Ms,
}

impl ShardRecords {
    /// Parses a shard object; `None` if it is malformed.
    pub(crate) fn parse(body: &str) -> Option<Self> {
        let shard: Shard = serde_json::from_str(body).ok()?;
        let mut parsed = Self { dropped_until: Ms(shard.dropped_ms), ..Self::default() };
        for record in shard.records {
            let key: Key = record.key.parse().ok()?;
            parsed.insert((record.workspace.clone(), key), record);
        }
        Some(parsed)
    }

    /// The content of the shard object.
    pub(crate) fn body(&self, shard: u32, change: &str) -> String {
        let shard = Shard {
            shard,
            change: change.to_owned(),
            records: self.records.values().cloned().collect(),
            dropped_ms: self.dropped_until.0,
        };
        serde_json::to_string(&shard).unwrap_or_default()
    }

    /// What is recorded for a claim.
    pub(crate) fn key_state(&self, claim: &Claim) -> KeyState {
        let Some(record) = self.records.get(&record_id(&claim.workspace, claim.key)) else {
            return if claim.key.time() <= self.dropped_until {
                KeyState::Dropped
            } else {
                KeyState::Free
            };
        };
        let attempt = claim.attempt.to_string();
        let is_own = record.attempt == attempt;
        match (record.state(), &record.answer) {
            (RecordState::Released, _) if is_own => KeyState::Abandoned,
            _ if record.given_up.contains(&attempt) => KeyState::Abandoned,
            (RecordState::Released, _) => KeyState::Free,
            (RecordState::Started, _) if is_own => KeyState::OwnAttempt,
            (RecordState::Started, _) => KeyState::Started {
                holder: Holder { host: record.host.clone(), incarnation: record.incarnation },
                started: Ms(record.at_ms),
            },
            (RecordState::Done, Some(answer)) => {
                KeyState::Ended(ClaimResult::Answered(answer.clone()))
            }
            (RecordState::Done | RecordState::Lost, _) => KeyState::Ended(ClaimResult::Unknown),
        }
    }

    /// Records the start of an attempt on a free key. False when the shard is full.
    ///
    /// A full shard refuses new keys, since a live key whose record was dropped could run twice.
    /// Kept answers are dropped before that: without its answer a re-send is still told that the
    /// outcome is unknown.
    pub(crate) fn start(&mut self, claim: &Claim, holder: &Holder, now: Ms) -> bool {
        let record_id = record_id(&claim.workspace, claim.key);
        let mut record = record(claim, holder, RecordState::Started, now);
        if let Some(previous) = self.records.get(&record_id) {
            record.given_up = given_up(&previous.given_up, previous.attempt.clone());
        }
        if !self.make_room(bytes(&record)) {
            return false;
        }
        self.insert(record_id, record);
        true
    }

    /// Records how an attempt ended. An answer larger than `limit` bytes isn't kept.
    pub(crate) fn finish(
        &mut self,
        claim: &Claim,
        outcome: &Outcome,
        limit: usize,
    ) -> UpdateResult {
        let record_id = record_id(&claim.workspace, claim.key);
        let Some(record) = self.records.get(&record_id) else {
            return if claim.key.time() <= self.dropped_until {
                UpdateResult::NotHolder
            } else {
                UpdateResult::Absent
            };
        };
        let (state, answer) = match outcome {
            Outcome::Done(answer) => (RecordState::Done, Some(answer)),
            Outcome::Released => (RecordState::Released, None),
            Outcome::Lost => (RecordState::Lost, None),
        };
        match record.state() {
            _ if record.attempt != claim.attempt.to_string() => return UpdateResult::NotHolder,
            current if current == state => return UpdateResult::Unchanged,
            RecordState::Started => {}
            RecordState::Done | RecordState::Lost | RecordState::Released => {
                return UpdateResult::NotHolder;
            }
        }
        let mut record = record.clone();
        record.set_state(state);
        let kept = answer.filter(|a| answer_bytes(a) <= limit);
        self.insert(record_id.clone(), record.clone());
        if let Some(answer) = kept
            && self.make_room(answer_bytes(answer))
        {
            record.answer = Some(answer.clone());
            self.insert(record_id, record);
        }
        UpdateResult::Changed
    }

    /// Records that an attempt gave up its claim, even if the claim isn't recorded: a claim of this
    /// attempt that arrives later is then refused.
    pub(crate) fn abandon(&mut self, claim: &Claim, holder: &Holder, now: Ms) -> UpdateResult {
        match self.finish(claim, &Outcome::Released, 0) {
            UpdateResult::Absent => {
                let record = record(claim, holder, RecordState::Released, now);
                match self.make_room(bytes(&record)) {
                    true => self.insert(record_id(&claim.workspace, claim.key), record),
                    false => return UpdateResult::NotHolder,
                }
                UpdateResult::Changed
            }
            UpdateResult::NotHolder => self.add_given_up(claim),
            result => result,
        }
    }

    /// Adds an attempt to the attempts given up in a record that another attempt holds.
    fn add_given_up(&mut self, claim: &Claim) -> UpdateResult {
        let record_id = record_id(&claim.workspace, claim.key);
        let attempt = claim.attempt.to_string();
        let is_open =
            |r: &&Record| matches!(r.state(), RecordState::Started | RecordState::Released);
        let Some(record) = self.records.get(&record_id).filter(is_open) else {
            return UpdateResult::NotHolder;
        };
        if record.attempt == attempt || record.given_up.contains(&attempt) {
            return UpdateResult::Unchanged;
        }
        let record = Record { given_up: given_up(&record.given_up, attempt), ..record.clone() };
        if !self.make_room(ATTEMPT_BYTES) {
            return UpdateResult::NotHolder;
        }
        self.insert(record_id, record);
        UpdateResult::Changed
    }

    /// Drops the records of keys made before `before`, and remembers the time of the newest one:
    /// otherwise a host whose clock lags, or which was paused, would take such a key for a new one
    /// and run it again.
    pub(crate) fn drop_before(&mut self, before: Ms) -> bool {
        let expired: Vec<_> =
            self.records.keys().filter(|k| k.1.time() < before).cloned().collect();
        for record_id in &expired {
            self.dropped_until = self.dropped_until.max(record_id.1.time());
            if let Some(record) = self.records.remove(record_id) {
                self.bytes -= bytes(&record);
            }
        }
        !expired.is_empty()
    }

    /// Drops kept answers, oldest first, until `more` bytes fit. False if they don't.
    fn make_room(&mut self, more: usize) -> bool {
        let max_bytes = (MAX_SHARD_BYTES - RESERVED_BYTES).saturating_sub(more);
        if self.bytes <= max_bytes {
            return true;
        }
        let answered = self.records.iter().filter(|(_, r)| r.answer.is_some());
        let mut oldest: Vec<_> = answered.map(|(id, r)| (r.at_ms, id.clone())).collect();
        oldest.sort();
        for (_, record_id) in oldest {
            if self.bytes <= max_bytes {
                break;
            }
            if let Some(record) = self.records.get(&record_id).cloned() {
                self.insert(record_id, Record { answer: None, ..record });
            }
        }
        self.bytes <= max_bytes
    }

    fn insert(&mut self, record_id: (String, Key), record: Record) {
        self.bytes += bytes(&record);
        if let Some(previous) = self.records.insert(record_id, record) {
            self.bytes -= bytes(&previous);
        }
    }
}

fn record_id(workspace: &WorkspaceId, key: Key) -> (String, Key) {
    (workspace.to_string(), key)
}

fn record(claim: &Claim, holder: &Holder, state: RecordState, now: Ms) -> Record {
    Record {
        key: claim.key.to_string(),
        workspace: claim.workspace.to_string(),
        attempt: claim.attempt.to_string(),
        host: holder.host.clone(),
        state: state.into(),
        answer: None,
        at_ms: now.0,
        incarnation: holder.incarnation,
        given_up: Vec::new(),
    }
}

/// The attempts given up so far and one more.
///
/// Without this list, a claim that its host has given up and that was delayed for long would find
/// the key free again. It would take a key that nobody then runs, and the key would read `unknown`
/// for good.
fn given_up(earlier: &[String], attempt: String) -> Vec<String> {
    let excess = (earlier.len() + 1).saturating_sub(MAX_GIVEN_UP);
    earlier.iter().cloned().chain([attempt]).skip(excess).collect()
}

/// Size of a record in the shard object, including its comma.
fn bytes(record: &Record) -> usize {
    serde_json::to_string(record).map_or(0, |text| text.len() + 1)
}

fn answer_bytes(answer: &Answer) -> usize {
    serde_json::to_string(answer).map_or(usize::MAX, |text| text.len())
}
