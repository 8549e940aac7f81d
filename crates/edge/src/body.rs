//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderMap};
use std::convert::Infallible;
use thiserror::Error;

/// The error of a response that ends early. hyper then closes the connection without terminating
/// the body, so that no caller takes the part that it has for the whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response truncated before its end")]
pub(crate) struct Truncated;

/// The body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// Whether a response to a request of this host has a length or comes in chunks, so that one that is
/// truncated can be told. One with neither ends with its connection.
pub(crate) fn is_framed(head: &HeaderMap) -> bool {
    head.contains_key(header::CONTENT_LENGTH) || head.contains_key(header::TRANSFER_ENCODING)
}

/// A body whose bytes are all known.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}
