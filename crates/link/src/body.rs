//! Request and response bodies: complete, JSON and streamed ones, and reading with a size limit.

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame};
use hyper::{Response, StatusCode, header};
use memory::{Charge, Full as NoRoom};
use serde::Serialize;
use std::convert::Infallible;
use tokio::sync::mpsc;

use crate::{BodyError, LinkError};

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

/// Smallest buffer for a body of several frames, bytes.
const MIN_BUFFER: usize = 4 << 10;

/// Reads a complete body of at most `limit` bytes, and charges what it holds of it. A body that is announced
/// as larger is refused before anything of it is read.
pub async fn read_counted<B>(
    mut body: B,
    limit: usize,
    charge: &mut Charge,
) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let most = body.size_hint().upper().map_or(limit, |most| limit.min(most as usize));
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    // One buffer, whatever the number of frames: each frame would keep the buffer that it was read into.
    let mut out = Vec::new();
    while let Some(frame) = next_frame(&mut body, charge).await? {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if out.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if out.is_empty() && body.is_end_stream() {
            charge.grow(data.len()).await?;
            return Ok(data);
        }
        make_room(&mut out, data.len(), most, charge).await?;
        out.extend_from_slice(&data);
    }
    charge.shrink(out.len());
    out.shrink_to_fit();
    Ok(out.into())
}

type NextFrame<E> = Option<Result<Frame<Bytes>, E>>;

/// The next frame; an error if the connection must yield.
async fn next_frame<B>(body: &mut B, charge: &Charge) -> Result<NextFrame<B::Error>, NoRoom>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    tokio::select! {
        biased;
        () = charge.evicted() => Err(NoRoom),
        frame = body.frame() => Ok(frame),
    }
}

/// Charges and makes room for `more` bytes, by doubling up to `most`.
async fn make_room(
    out: &mut Vec<u8>,
    more: usize,
    most: usize,
    charge: &mut Charge,
) -> Result<(), NoRoom> {
    let needed = out.len() + more;
    if needed <= out.capacity() {
        return Ok(());
    }
    let capacity = needed.next_power_of_two().max(MIN_BUFFER).min(most).max(needed);
    charge.grow(capacity - out.capacity()).await?;
    out.reserve_exact(capacity - out.len());
    Ok(())
}
