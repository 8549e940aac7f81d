//! Errors of the object API.

use base::{Ms, Version};
use thiserror::Error;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The object is not at the expected version. Nothing was written.
    #[error("the object is at version {current}, not at the expected one")]
    Conflict {
        /// Its current version, zero when it doesn't exist.
        current: Version,
    },
    /// The response to the write was lost: it may or may not have taken effect.
    #[error("the response to the write was lost; it may have taken effect")]
    OutcomeUnknown,
    /// The platform can't be reached or doesn't answer. Nothing was written.
    #[error("the object API can't be reached")]
    Down,
    /// The rate of calls is too high, by the platform's response or by this host's own limit.
    /// Nothing was written.
    #[error("the rate of calls to the object API is too high; retry after {retry_after}")]
    Busy {
        /// How long to wait before the next call.
        retry_after: Ms,
    },
    /// The object is larger than the platform accepts.
    #[error("the object is larger than the platform's limit")]
    TooLarge,
    /// The kind or name holds characters that aren't allowed in a path, where they would address
    /// another object.
    #[error("the object's name may hold only letters, digits, '-', '_', '.' and '~'")]
    InvalidName,
    /// The platform's response is malformed, or rejects the request as invalid.
    #[error("the object API answered with status {status}")]
    Protocol {
        /// HTTP status, zero when the body was malformed.
        status: u16,
    },
}
