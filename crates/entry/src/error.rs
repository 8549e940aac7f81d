//! Errors: why a host can't start, and why a caller's request is invalid.

use base::IdError;
use hyper::StatusCode;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum HostError {
    /// The host can't listen on an address from its settings.
    #[error("can't listen on {addr} ({field} in the settings): {source}; free it or change it")]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[error("the metrics could not be set up: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// Why a caller's request was rejected before it was submitted.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The path is unknown.
    #[error("there is nothing at this path; post to /v1/pipelines/NAME")]
    NoSuchPath,
    /// The path does not support the method.
    #[error("this path takes POST")]
    Method,
    /// This host holds no replies for the request.
    #[error("this host has no such request any more; send it again")]
    UnknownRequest,
    /// No piece ends at the offset.
    #[error("no piece ends at this offset; give the id of the last event that was read")]
    Offset,
    /// No configuration is in force.
    #[error("no configuration is in force on this host yet; come back soon")]
    NotReady,
    /// The pipeline isn't declared.
    #[error("pipeline '{0}' is not declared")]
    UnknownPipeline(String),
    /// The workspace is missing.
    #[error("give the workspace in the header X-Workspace")]
    NoWorkspace,
    /// The workspace isn't declared.
    #[error("workspace '{0}' is not declared")]
    UnknownWorkspace(String),
    /// A header can't be parsed: its name and what is expected.
    #[error("header {0} can't be read; {1}")]
    Header(&'static str, &'static str),
    /// The deadline has passed.
    #[error("the deadline has passed")]
    DeadlinePast,
    /// The pipeline has non-repeatable work, and the request has no key.
    #[error("this pipeline does work that may not be repeated; give an Idempotency-Key")]
    KeyNeeded,
    /// The key is invalid.
    #[error("the Idempotency-Key is {0}")]
    Key(#[from] IdError),
    /// The host holds as many bytes for callers as its memory allows.
    #[error("this host holds as much for callers as its memory allows; come back soon")]
    NoRoom,
    /// The body ended early.
    #[error("the body was cut short")]
    BodyCut,
    /// The body did not arrive in time.
    #[error("the body didn't come in time")]
    BodySlow,
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// The body is not the expected JSON.
    #[error("the body is not the JSON that is expected: {0}")]
    BodyMalformed(serde_json::Error),
}

impl CallerError {
    /// The error code that callers match on.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::NoSuchPath => "no_such_path",
            Self::Method => "method",
            Self::UnknownRequest => "unknown_request",
            Self::Offset => "bad_offset",
            Self::NotReady => "not_ready",
            Self::UnknownPipeline(_) => "unknown_pipeline",
            Self::NoWorkspace => "no_workspace",
            Self::UnknownWorkspace(_) => "unknown_workspace",
            Self::Header(..) => "bad_header",
            Self::DeadlinePast => "deadline_past",
            Self::KeyNeeded => "key_needed",
            Self::Key(_) => "bad_key",
            Self::NoRoom => "no_room",
            Self::BodyCut => "body_cut",
            Self::BodySlow => "body_slow",
            Self::BodyTooLarge(_) => "body_too_large",
            Self::BodyMalformed(_) => "body_malformed",
        }
    }

    /// The HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NoSuchPath | Self::UnknownPipeline(_) | Self::UnknownRequest => {
                StatusCode::NOT_FOUND
            }
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::NotReady | Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownWorkspace(_) => StatusCode::FORBIDDEN,
            Self::BodySlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoWorkspace
            | Self::Header(..)
            | Self::DeadlinePast
            | Self::KeyNeeded
            | Self::Key(_)
            | Self::BodyCut
            | Self::Offset
            | Self::BodyMalformed(_) => StatusCode::BAD_REQUEST,
        }
    }
}
