//! Charges the frames that arrive from other hosts while they are incomplete.

use memory::{Account, Charge, Phase, Purpose};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Size of a frame's length on the wire, bytes.
const HEADER_BYTES: usize = 4;

/// How far the frame that is being read is.
enum Position {
    /// These bytes of its length have come.
    Header(Vec<u8>),
    /// So many bytes of it are still to come.
    Body(usize),
}

/// A stream of frames, each with its length before it. It ends in an error if there is no room for what
/// arrives.
pub(crate) struct MeteredStream<S> {
    stream: S,
    account: Arc<Account>,
    position: Position,
    charge: Charge,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(stream: S, account: Arc<Account>) -> Self {
        let charge = account.charge(Purpose::Request);
        // A host may be silent for long between two frames.
        account.set_phase(Phase::Serving);
        Self { stream, account, position: Position::Header(Vec::new()), charge }
    }

    /// Follows the frames in what was read.
    fn read(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        self.account.moved(bytes.len());
        while let Some(&first) = bytes.first() {
            match &mut self.position {
                Position::Header(header) => {
                    header.push(first);
                    bytes = &bytes[1..];
                    self.begin();
                }
                Position::Body(left) => {
                    let taken = bytes.len().min(*left);
                    *left -= taken;
                    bytes = &bytes[taken..];
                    let ended = *left == 0;
                    self.charge.try_grow(taken).map_err(io::Error::other)?;
                    if ended {
                        self.end();
                    }
                }
            }
        }
        Ok(())
    }

    /// Begins a frame once its length is known.
    fn begin(&mut self) {
        let Position::Header(header) = &self.position else { return };
        let Ok(length) = <[u8; HEADER_BYTES]>::try_from(header.as_slice()) else { return };
        match u32::from_be_bytes(length) as usize {
            0 => self.end(),
            length => {
                self.account.set_phase(Phase::Reading);
                self.position = Position::Body(length);
            }
        }
    }

    fn end(&mut self) {
        self.charge.shrink(0);
        self.account.set_phase(Phase::Serving);
        self.position = Position::Header(Vec::new());
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.read(&buf.filled()[before..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
