//! Test doubles that each take one safeguard out.

use async_trait::async_trait;
use base::{Ms, Version};
use std::sync::Arc;
use store::{Api, StoreError};
use wire::{Object, ObjectList, RecordState, Shard};

/// The object that says which shards there are.
const LAYOUT: &str = "layout";

/// Which safeguard is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Writes without the condition.
    Unconditional,
    /// The first byte is sent before the record is made.
    SendFirst,
    /// An attempt runs although its record couldn't be made.
    RunRefused,
    /// A started record of a host that is not known to be alive is taken for free.
    TakeOver,
    /// Which keys were forgotten isn't kept.
    NoFloor,
    /// The preferred writer releases what it couldn't record, for a host that asks elsewhere then.
    WriterReleases,
    /// A lost answer counts as not written.
    DoubtIsNo,
    /// An abandoned claim leaves no mark, so that it can still be made.
    NoMark,
    /// A sent attempt whose target died is released.
    ReleaseSent,
    /// Hosts whose settings differ don't notice.
    OwnLayout,
    /// How an attempt ended is never recorded.
    NoFinish,
}

/// An object API without one of the safeguards.
pub struct Mutant {
    pub inner: Arc<dyn Api>,
    pub mutation: Option<Mutation>,
}

impl Mutant {
    fn read(&self, mut object: Object) -> Object {
        if object.name == LAYOUT {
            return object;
        }
        let Ok(mut shard) = serde_json::from_str::<Shard>(&object.body) else { return object };
        match self.mutation {
            Some(Mutation::NoFloor) => shard.dropped_ms = 0,
            Some(Mutation::TakeOver) => {
                shard.records.retain(|r| r.state() != RecordState::Started);
            }
            Some(Mutation::NoMark) => {
                shard.records.retain(|r| r.state() != RecordState::Released);
            }
            _ => return object,
        }
        object.body = serde_json::to_string(&shard).unwrap_or_default();
        object
    }
}

#[async_trait]
impl Api for Mutant {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        if name == LAYOUT && self.mutation == Some(Mutation::OwnLayout) {
            return Ok(None);
        }
        Ok(self.inner.get(kind, name).await?.map(|o| self.read(o)))
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
        if name == LAYOUT && self.mutation == Some(Mutation::OwnLayout) {
            return Ok(Version(1));
        }
        let mut result = self.inner.put(kind, name, expected, body).await;
        if self.mutation == Some(Mutation::Unconditional) {
            while let Err(StoreError::Conflict { current }) = result {
                result = self.inner.put(kind, name, current, body).await;
            }
        }
        match result {
            Err(StoreError::OutcomeUnknown) if self.mutation == Some(Mutation::DoubtIsNo) => {
                Err(StoreError::Down)
            }
            result => result,
        }
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.inner.watch(kind, after, wait).await
    }
}
