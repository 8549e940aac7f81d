//! Errors of calls to other hosts.

use thiserror::Error;

/// A failed call. Unless a variant says otherwise, it is unknown whether the other host acted on
/// the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No connection; the other host received nothing.
    #[error("the host can't be reached")]
    Unreachable,
    /// No answer before the timeout.
    #[error("the host doesn't answer")]
    Silent,
    /// The connection broke before the answer came.
    #[error("the connection to the host broke")]
    Broken,
    /// The other host doesn't support this call and did nothing.
    #[error("the host doesn't compose stage calls")]
    Refused,
}
