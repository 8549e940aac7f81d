//! What the object API can fail with.

use base::{Ms, Version};
use thiserror::Error;

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The condition didn't hold: the object has another version. Nothing was written.
    #[error("the object is at version {current}, not at the expected one")]
    Conflict {
        /// Its version now, zero when it doesn't exist.
        current: Version,
    },
    /// The write may or may not have taken effect: its answer was lost.
    #[error("the answer to the write was lost; it may have taken effect")]
    OutcomeUnknown,
    /// The platform can't be reached or doesn't answer. Nothing was written.
    #[error("the object API can't be reached")]
    Down,
    /// The platform asks to slow down. Nothing was written.
    #[error("the object API asks to come back in {retry_after}")]
    Busy {
        /// When to come back.
        retry_after: Ms,
    },
    /// The value is larger than the platform holds.
    #[error("the object is larger than the platform's limit")]
    TooLarge,
    /// The kind or name can't stand in a path: it would reach another object.
    #[error("the object's name may hold only letters, digits, '-', '_', '.' and '~'")]
    Name,
    /// The platform's answer makes no sense, or refuses the call as wrong.
    #[error("the object API answered with status {status}")]
    Protocol {
        /// HTTP status, zero when the body was malformed.
        status: u16,
    },
}
