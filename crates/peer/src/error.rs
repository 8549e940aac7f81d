//! What a call to another host can fail with.

use thiserror::Error;

/// A failed call. Whether the other host acted on it can't be told unless said here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection; the other host saw nothing.
    #[error("the host can't be reached")]
    Unreachable,
    /// No answer within the bound on silence.
    #[error("the host doesn't answer")]
    Silent,
    /// The connection broke before the answer came.
    #[error("the connection to the host broke")]
    Broken,
    /// The other host doesn't do this; it did nothing.
    #[error("the host doesn't compose stage calls")]
    Refused,
}
