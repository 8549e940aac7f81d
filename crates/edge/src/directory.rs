//! The border to what is declared and registered at the platform.

use async_trait::async_trait;
use base::{Ms, TargetId};
use bytes::Bytes;
use catalog::{Catalog, Entry};
use std::sync::Arc;
use thiserror::Error;

/// Counts all changes at the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' declarations.
    Catalog,
    /// What targets say of themselves.
    Targets,
    /// Failure domains whose targets get nothing, each named by its record.
    Evacuations,
}

/// Declarations, read and as they are written.
#[derive(Clone, Debug)]
pub struct Declared {
    /// What they say.
    pub catalog: Arc<Catalog>,
    /// Their text, which [`Directory::declared`] reads again on another host.
    pub text: Bytes,
}

/// What a record holds.
#[derive(Clone, Debug)]
pub enum RecordBody {
    /// The declarations in force.
    Catalog(Declared),
    /// One target.
    Target(Entry),
    /// The failure domain of that name is evacuated.
    Evacuation,
    /// It can't be used; the reason is for the log.
    Malformed(String),
}

/// One object.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its name.
    pub name: TargetId,
    /// What it holds.
    pub body: RecordBody,
}

/// A part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// Its objects.
    pub records: Vec<Record>,
    /// The name after which the list goes on; none at its end.
    pub next: Option<String>,
    /// When it was read.
    pub revision: Revision,
}

/// One change.
#[derive(Clone, Debug)]
pub enum Change {
    /// The object is now so.
    Set(Record),
    /// It was removed.
    Removed(TargetId),
}

/// What changed since a revision.
#[derive(Clone, Debug)]
pub struct Updates {
    /// The changes, in order; none when the wait ended without one.
    pub changes: Vec<Change>,
    /// From where to go on.
    pub revision: Revision,
}

/// A failed call. Nothing of it is known to have happened.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// What happened since the given revision is forgotten; list again.
    #[error("the store has forgotten its history")]
    Compacted,
    /// The store turns the call away.
    #[error("the store turns calls away with status {0}")]
    Busy(u16),
    /// No answer, or a broken connection.
    #[error("the store doesn't answer")]
    Down,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// The platform's list of declarations and targets. Reads are never stale.
#[async_trait]
pub trait Directory: Send + Sync {
    /// One page of a kind, after a name.
    async fn list(&self, kind: Kind, after: Option<&str>) -> Result<Page, DirectoryError>;

    /// Waits up to `wait` for changes after `since`.
    async fn watch(&self, kind: Kind, since: Revision, wait: Ms)
    -> Result<Updates, DirectoryError>;

    /// Reads declarations whose text another host has read.
    fn declared(&self, text: Bytes) -> Result<Declared, DirectoryError>;
}
