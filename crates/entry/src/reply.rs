//! Replies to a caller, and the receiver that delivers them.

use base::RequestId;
use policy::Refusal;
use std::sync::Arc;
use tokio::sync::mpsc;
use wire::Answer;

use crate::core::Core;

/// A reply to a caller.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A piece of the last stage's stream.
    Piece {
        /// Number of tokens before this piece.
        offset: u32,
        /// Number of tokens in it.
        tokens: u32,
        /// Its text.
        text: String,
    },
    /// The whole answer; the last reply.
    Whole(Answer),
    /// A refusal; the last reply.
    Refused(Refusal),
}

/// Receives the replies of one request for one connection of its caller. Dropping it before the
/// last reply tells the core that the connection has ended.
pub struct ReplyReceiver {
    core: Arc<Core>,
    request: RequestId,
    epoch: u32,
    replies: mpsc::UnboundedReceiver<Reply>,
    ended: bool,
}

impl ReplyReceiver {
    pub(crate) fn new(
        core: Arc<Core>,
        request: RequestId,
        epoch: u32,
        replies: mpsc::UnboundedReceiver<Reply>,
    ) -> Self {
        Self { core, request, epoch, replies, ended: false }
    }

    /// The request's identifier.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the next reply, or `None` after the last one.
    pub async fn next(&mut self) -> Option<Reply> {
        if self.ended {
            return None;
        }
        let reply = self.replies.recv().await;
        self.ended = !matches!(reply, Some(Reply::Piece { .. }));
        reply
    }
}

impl Drop for ReplyReceiver {
    fn drop(&mut self) {
        if !self.ended {
            self.core.detach(self.request, self.epoch);
        }
    }
}
