//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::convert::Infallible;
use thiserror::Error;

/// The error of a response that ends early. hyper then closes the connection without terminating
/// the body, so that no caller takes the part that it has for the whole response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response truncated before its end")]
pub(crate) struct Truncated;

/// The body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// A body whose bytes are all known.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}
