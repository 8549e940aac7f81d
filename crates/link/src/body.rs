//! Request and response bodies: complete, JSON and streamed ones, and reading with a size limit.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame};
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use std::convert::Infallible;
use tokio::sync::mpsc;

use crate::LinkError;

/// A body that is sent.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A body that is complete in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// A response with `value` as its JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// A body whose chunks are sent as they arrive; it ends when the sender is dropped.
pub fn stream(chunks: mpsc::Receiver<Bytes>) -> Body {
    let frames = futures::stream::unfold(chunks, |mut rx| async move {
        rx.recv().await.map(|bytes| (Ok(Frame::data(bytes)), rx))
    });
    StreamBody::new(frames.boxed()).boxed_unsync()
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes, LinkError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut out = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LinkError::Broken { reused: false })?;
        let Ok(data) = frame.into_data() else { continue };
        if out.len() + data.len() > limit {
            return Err(LinkError::TooLarge { limit });
        }
        // Most bodies are a single frame, which is returned without a copy.
        if out.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        out.extend_from_slice(&data);
    }
    Ok(out.freeze())
}
