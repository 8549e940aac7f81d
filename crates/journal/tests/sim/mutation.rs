//! An object API that removes one safeguard of the journal, and the list of such mutations.

use async_trait::async_trait;
use base::{Ms, Version};
use std::sync::Arc;
use store::{Api, StoreError};
use wire::{Object, ObjectList, RecordState, Shard};

/// Name of the object that holds the journal's layout.
const LAYOUT_NAME: &str = "layout";

/// The safeguard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Writes have no condition on the object's version.
    Unconditional,
    /// The first byte is sent before the claim is recorded.
    SendBeforeRecord,
    /// An attempt runs although its claim couldn't be recorded.
    RunWithoutRecord,
    /// The key of a started record counts as free, as if its host were dead.
    TakeOverStarted,
    /// The time up to which records were dropped is lost.
    ForgetDropped,
    /// The preferred writer releases a claim that it couldn't record, although the entry host then
    /// tries elsewhere.
    WriterReleases,
    /// A write whose response was lost counts as not written.
    UnknownIsFailure,
    /// Giving up a claim leaves no record, so that the claim can still be granted.
    NoAbandonRecord,
    /// An attempt that was sent and whose target died is released.
    ReleaseSent,
    /// Hosts don't compare their layout with the fleet's.
    LayoutUnchecked,
    /// Outcomes are never recorded.
    NoFinish,
}

/// An object API without one of the safeguards.
pub struct MutantApi {
    pub inner: Arc<dyn Api>,
    pub mutation: Option<Mutation>,
}

impl MutantApi {
    fn mutate(&self, mut object: Object) -> Object {
        if object.name == LAYOUT_NAME {
            return object;
        }
        let Ok(mut shard) = serde_json::from_str::<Shard>(&object.body) else { return object };
        match self.mutation {
            Some(Mutation::ForgetDropped) => shard.dropped_ms = 0,
            Some(Mutation::TakeOverStarted) => {
                shard.records.retain(|r| r.state() != RecordState::Started);
            }
            Some(Mutation::NoAbandonRecord) => {
                shard.records.retain(|r| r.state() != RecordState::Released);
            }
            _ => return object,
        }
        object.body = serde_json::to_string(&shard).unwrap_or_default();
        object
    }
}

#[async_trait]
impl Api for MutantApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        if name == LAYOUT_NAME && self.mutation == Some(Mutation::LayoutUnchecked) {
            return Ok(None);
        }
        Ok(self.inner.get(kind, name).await?.map(|o| self.mutate(o)))
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        if name == LAYOUT_NAME && self.mutation == Some(Mutation::LayoutUnchecked) {
            return Ok(Version(1));
        }
        let mut result = self.inner.put(kind, name, expected, body).await;
        if self.mutation == Some(Mutation::Unconditional) {
            while let Err(StoreError::Conflict { current }) = result {
                result = self.inner.put(kind, name, current, body).await;
            }
        }
        match result {
            Err(StoreError::OutcomeUnknown)
                if self.mutation == Some(Mutation::UnknownIsFailure) =>
            {
                Err(StoreError::Down)
            }
            result => result,
        }
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.inner.watch(kind, after, wait).await
    }
}
