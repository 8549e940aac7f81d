//! The interface of the platform's object API.

use async_trait::async_trait;
use base::{Ms, Version};
use wire::{Object, ObjectList};

use crate::StoreError;

/// The platform's object API.
#[async_trait]
pub trait Api: Send + Sync {
    /// Reads one object. `None` when it doesn't exist.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError>;

    /// Reads all objects of a kind.
    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError>;

    /// Writes the object if its version is `expected`; zero means that it must not exist yet.
    /// Returns the new version.
    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError>;

    /// Waits up to `wait` for objects of a kind with a version above `after` and returns them; the
    /// list is empty if there were none.
    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError>;
}
