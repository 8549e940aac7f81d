//! Errors of HTTP calls.

use thiserror::Error;

/// A failed call. The variants tell whether the request may have been sent.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection could be made")]
    Connect,
    /// The address refused the connection: nobody listens there.
    #[error("the connection was refused")]
    Refused,
    /// The connection closed before the request was handed to it; nothing was sent.
    #[error("the connection closed before the request was sent")]
    Unsent,
    /// The connection broke after the request was handed to it.
    #[error("the connection broke")]
    Broken {
        /// Whether the connection had served a request before. If so, the peer may simply have
        /// closed it as idle.
        reused: bool,
    },
    /// Nothing was received within the time-out.
    #[error("the connection is silent")]
    Silent,
    /// The body is larger than the limit.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// The limit, bytes.
        limit: usize,
    },
    /// The body could not be parsed.
    #[error("the body is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is larger than the limit.
    #[error("the body is larger than the limit")]
    TooLarge,
    /// There is no room for it in the memory of this host, or its connection must yield.
    #[error(transparent)]
    Full(#[from] memory::Full),
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
}
