//! An object API without any objects, for nodes that get all their data from peers.

use async_trait::async_trait;
use base::{Ms, Version};
use wire::{Object, ObjectList};

use crate::{Api, StoreError};

/// Reads find nothing, writes fail, and watches time out with an empty list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Empty;

#[async_trait]
impl Api for Empty {
    async fn get(&self, _: &str, _: &str) -> Result<Option<Object>, StoreError> {
        Ok(None)
    }

    async fn list(&self, _: &str) -> Result<ObjectList, StoreError> {
        Ok(ObjectList::default())
    }

    async fn put(&self, _: &str, _: &str, _: Version, _: &str) -> Result<Version, StoreError> {
        Err(StoreError::Down)
    }

    async fn watch(&self, _: &str, _: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        tokio::time::sleep(wait.duration()).await;
        Ok(ObjectList::default())
    }
}
