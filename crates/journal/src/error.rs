//! Errors of the journal.

use thiserror::Error;

/// Why an outcome could not be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JournalError {
    /// The object API is unavailable.
    #[error("the record could not be written; it stays as started")]
    Unavailable,
    /// Another attempt holds the key.
    #[error("the key is held by another attempt")]
    NotHolder,
}
