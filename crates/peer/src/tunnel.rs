//! Byte streams to targets through another host.
//!
//! A host that can't reach a target asks one that can to open a connection, and to pass bytes
//! between the two. The request starts with `PREFACE` on a new connection to the other host's
//! port for hosts; no call can start with it, since it would be a longer frame than allowed.
//!
//! ```text
//! to the other host:  preface, length of the id (2 bytes), id of the target; then bytes as they are
//! back:               OPENED or REFUSED (1 byte); then frames of bytes, an empty one at the end
//! ```
//!
//! The bytes on the way back are framed because an answer may end with its connection. If the other
//! host dies, its connection ends as well, and without the empty frame an answer that was cut short
//! would look complete.

use base::Ms;
use bytes::Bytes;
use futures::stream::{BoxStream, StreamExt, unfold};
use futures::{SinkExt, TryStreamExt};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use crate::{PeerError, StageServer};

/// First bytes of a request for a tunnel.
const PREFACE: [u8; 4] = *b"TUNL";
/// The other host has opened the connection.
const OPENED: u8 = 1;
/// The other host can't reach the target, or doesn't know it.
const REFUSED: u8 = 0;
/// Most bytes of a target's id.
const MAX_ID_BYTES: u16 = 512;
/// Time in which the request has to arrive.
const REQUEST_TIMEOUT: Ms = Ms::secs(1);
/// Most bytes of a frame.
const FRAME_BYTES: usize = 16 << 10;

/// A connection to a target through another host.
pub type Tunnel = Join<StreamReader<BoxStream<'static, io::Result<Bytes>>, Bytes>, OwnedWriteHalf>;

/// Asks a host for a connection to a target.
pub(crate) async fn open(to: SocketAddr, target: &str) -> Result<Tunnel, PeerError> {
    let mut tcp = TcpStream::connect(to).await.map_err(|_| PeerError::Unreachable)?;
    // Without TCP_NODELAY, small requests would wait for the other host's acknowledgement.
    tcp.set_nodelay(true).map_err(|_| PeerError::Broken)?;
    let answer = ask(&mut tcp, target).await.map_err(|_| PeerError::Broken)?;
    if answer != OPENED {
        return Err(PeerError::Refused);
    }
    let (read, write) = tcp.into_split();
    Ok(tokio::io::join(StreamReader::new(unframed(read)), write))
}

async fn ask(tcp: &mut TcpStream, target: &str) -> io::Result<u8> {
    let length = u16::try_from(target.len()).map_err(io::Error::other)?;
    let mut request = PREFACE.to_vec();
    request.extend(length.to_be_bytes());
    request.extend(target.as_bytes());
    tcp.write_all(&request).await?;
    tcp.read_u8().await
}

/// The bytes of a framed stream up to its empty frame; an error if it ends without one.
fn unframed(read: OwnedReadHalf) -> BoxStream<'static, io::Result<Bytes>> {
    let frames = FramedRead::new(read, codec());
    let next = |frames: Option<FramedRead<OwnedReadHalf, LengthDelimitedCodec>>| async {
        let mut frames = frames?;
        match frames.try_next().await {
            Ok(Some(frame)) if frame.is_empty() => None,
            Ok(Some(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Ok(None) => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
            Err(err) => Some((Err(err), None)),
        }
    };
    unfold(Some(frames), next).boxed()
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec()
}

/// Whether a new connection asks for a tunnel. Completes once its first byte has arrived.
pub(crate) async fn is_requested(tcp: &TcpStream) -> bool {
    let mut first = [0];
    matches!(tcp.peek(&mut first).await, Ok(1) if first[0] == PREFACE[0])
}

/// Serves a tunnel until either end closes its connection, which closes the other one too.
pub(crate) async fn serve(mut tcp: TcpStream, stages: Arc<dyn StageServer>) -> io::Result<()> {
    let id = timeout(REQUEST_TIMEOUT.duration(), read_id(&mut tcp)).await??;
    let Some(target) = stages.connect(&id).await else {
        return tcp.write_u8(REFUSED).await;
    };
    tcp.write_u8(OPENED).await?;
    let (mut host_read, host_write) = tcp.into_split();
    let (target_read, mut target_write) = target.into_split();
    tokio::select! {
        sent = tokio::io::copy(&mut host_read, &mut target_write) => sent.map(drop),
        passed = pass_back(target_read, host_write) => passed,
    }
}

async fn read_id(tcp: &mut TcpStream) -> io::Result<String> {
    let mut preface = PREFACE;
    tcp.read_exact(&mut preface).await?;
    let length = tcp.read_u16().await?;
    if preface != PREFACE || length > MAX_ID_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut id = vec![0; length.into()];
    tcp.read_exact(&mut id).await?;
    String::from_utf8(id).map_err(io::Error::other)
}

async fn pass_back(mut from: OwnedReadHalf, to: OwnedWriteHalf) -> io::Result<()> {
    let mut frames = FramedWrite::new(to, codec());
    let mut buffer = vec![0; FRAME_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        frames.send(Bytes::copy_from_slice(&buffer[..length])).await?;
        if length == 0 {
            return frames.into_inner().shutdown().await;
        }
    }
}
