//! A journal with one object per key: the simple design, and the baseline against which the sharded
//! journal is measured.

use async_trait::async_trait;
use base::{ChangeId, Clock, Key, Ms, RequestId, Version, WorkspaceId};
use std::sync::Arc;
use store::{Api, Change, StoreError, WriteOutcome};
use wire::{Answer, Object, Record, RecordState};

use crate::{Claim, ClaimResult, Journal, JournalError, Outcome};

/// Kind of the objects that hold the records.
const RECORD_KIND: &str = "once";

/// A journal with one object per key, written by the entry host itself.
pub struct Direct {
    api: Arc<dyn Api>,
    clock: Arc<dyn Clock>,
    window: Ms,
    ahead: Ms,
}

impl Direct {
    /// Keys are remembered for `window`, and their time may be `ahead` of this host's clock.
    pub fn new(api: Arc<dyn Api>, clock: Arc<dyn Clock>, window: Ms, ahead: Ms) -> Self {
        Self { api, clock, window, ahead }
    }

    fn expired(&self, key: Key) -> bool {
        let now = self.clock.now();
        key.time() + self.window < now || key.time() > now + self.ahead
    }

    async fn write(
        &self,
        claim: &Claim,
        expected: Version,
        record: &Record,
    ) -> Result<WriteOutcome, StoreError> {
        let name = object_name(&claim.workspace, claim.key);
        let body = serde_json::to_string(record).unwrap_or_default();
        let id = ChangeId(claim.attempt.0);
        let change = Change { kind: RECORD_KIND, name: &name, expected, id, body: &body };
        let state = record.state;
        store::write(self.api.as_ref(), change, |object, _| {
            parse(object)
                .is_some_and(|r| r.attempt == claim.attempt.to_string() && r.state == state)
        })
        .await
    }

    fn record(&self, claim: &Claim, state: RecordState, answer: Option<Answer>) -> Record {
        Record {
            key: claim.key.to_string(),
            workspace: claim.workspace.to_string(),
            attempt: claim.attempt.to_string(),
            host: String::new(),
            state: state.into(),
            answer,
            at_ms: self.clock.now().0,
            incarnation: 0,
            given_up: Vec::new(),
        }
    }
}

#[async_trait]
impl Journal for Direct {
    async fn register(&self, claim: &Claim) -> ClaimResult {
        if self.expired(claim.key) {
            return ClaimResult::Expired;
        }
        let record = self.record(claim, RecordState::Started, None);
        let mut expected = Version(0);
        for _ in 0..2 {
            match self.write(claim, expected, &record).await {
                Ok(WriteOutcome::Committed(_)) => return ClaimResult::Granted,
                Ok(WriteOutcome::Unknown) | Err(_) => return ClaimResult::Unavailable,
                Ok(WriteOutcome::Conflict { current: None }) => return ClaimResult::Unavailable,
                Ok(WriteOutcome::Conflict { current: Some(object) }) => {
                    match key_state(&object, claim.attempt) {
                        KeyState::Free => expected = Version(object.version),
                        KeyState::Taken(result) => return result,
                    }
                }
            }
        }
        ClaimResult::Running
    }

    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError> {
        let (state, answer) = match outcome {
            Outcome::Done(answer) => (RecordState::Done, Some(answer)),
            Outcome::Released => (RecordState::Released, None),
            Outcome::Lost => (RecordState::Lost, None),
        };
        let name = object_name(&claim.workspace, claim.key);
        let read = self.api.get(RECORD_KIND, &name).await.map_err(|_| JournalError::Unavailable)?;
        let object = read.ok_or(JournalError::NotHolder)?;
        let current = parse(&object).ok_or(JournalError::NotHolder)?;
        if current.attempt != claim.attempt.to_string() {
            return Err(JournalError::NotHolder);
        }
        let record = self.record(claim, state, answer);
        match self.write(claim, Version(object.version), &record).await {
            Ok(WriteOutcome::Committed(_)) => Ok(()),
            Ok(WriteOutcome::Conflict { .. }) => Err(JournalError::NotHolder),
            Ok(WriteOutcome::Unknown) | Err(_) => Err(JournalError::Unavailable),
        }
    }

    async fn close(&self) {}
}

enum KeyState {
    Free,
    Taken(ClaimResult),
}

fn key_state(object: &Object, attempt: RequestId) -> KeyState {
    let Some(record) = parse(object) else { return KeyState::Taken(ClaimResult::Unknown) };
    match (record.state(), record.answer) {
        (RecordState::Released, _) => KeyState::Free,
        (RecordState::Started, _) if record.attempt == attempt.to_string() => {
            KeyState::Taken(ClaimResult::Granted)
        }
        (RecordState::Started, _) => KeyState::Taken(ClaimResult::Running),
        (RecordState::Done, Some(answer)) => KeyState::Taken(ClaimResult::Answered(answer)),
        (RecordState::Done | RecordState::Lost, _) => KeyState::Taken(ClaimResult::Unknown),
    }
}

fn parse(object: &Object) -> Option<Record> {
    serde_json::from_str(&object.body).ok()
}

fn object_name(workspace: &WorkspaceId, key: Key) -> String {
    format!("{workspace}.{key}")
}
