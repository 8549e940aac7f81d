//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::convert::Infallible;
use thiserror::Error;

/// An answer that ends early. The connection is closed without the body's end, so that no caller
/// takes what it has for the whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub(crate) struct Truncated;

/// A body for a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, Truncated>;

/// A whole body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}
