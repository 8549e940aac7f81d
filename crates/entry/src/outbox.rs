//! Replies of a request, held so that a caller whose connection broke can reconnect and read on.

use base::Ms;
use tokio::sync::mpsc;

use crate::reply::Reply;

/// The replies of one request and the connection that currently receives them.
pub(crate) struct Outbox {
    /// Pieces of the last stage's stream, in order, and the final reply.
    replies: Vec<Reply>,
    caller: Option<mpsc::UnboundedSender<Reply>>,
    /// Number of the current connection. An older connection whose end is noticed late must not
    /// detach a newer one.
    epoch: u32,
    /// When the last connection ended.
    detached_at: Ms,
    /// Whether the caller may reconnect.
    resumable: bool,
}

impl Outbox {
    pub(crate) fn new(caller: mpsc::UnboundedSender<Reply>, resumable: bool) -> Self {
        Self {
            replies: Vec::new(),
            caller: Some(caller),
            epoch: 0,
            detached_at: Ms::ZERO,
            resumable,
        }
    }

    /// Sends a reply to the caller, and stores it if the caller may reconnect.
    pub(crate) fn push(&mut self, reply: Reply) {
        if let Some(caller) = &self.caller {
            // Sending fails if the connection has just ended; the drop of its `ReplyReceiver`
            // reports that.
            let _ = caller.send(reply.clone());
        }
        if self.resumable {
            self.replies.push(reply);
        }
    }

    /// Handles the end of a connection. Returns whether the request has lost its caller for good,
    /// because the caller can't reconnect.
    pub(crate) fn detach(&mut self, epoch: u32, now: Ms) -> bool {
        if epoch != self.epoch {
            return false;
        }
        self.caller = None;
        self.detached_at = now;
        !self.resumable
    }

    /// Attaches a new connection from token `offset` on and returns its epoch, or `None` if no
    /// piece starts there.
    pub(crate) fn attach(
        &mut self,
        offset: u32,
        caller: mpsc::UnboundedSender<Reply>,
    ) -> Option<u32> {
        let piece_end = |reply: &Reply| match reply {
            Reply::Piece { offset, tokens, .. } => Some(offset + tokens),
            Reply::Whole(_) | Reply::Refused(_) => None,
        };
        let from = match offset {
            0 => 0,
            _ => 1 + self.replies.iter().position(|reply| piece_end(reply) == Some(offset))?,
        };
        for reply in &self.replies[from..] {
            let _ = caller.send(reply.clone());
        }
        self.caller = Some(caller);
        self.epoch += 1;
        Some(self.epoch)
    }

    /// Whether the caller has been disconnected for longer than `max_detached`.
    pub(crate) fn abandoned(&self, now: Ms, max_detached: Ms) -> bool {
        self.caller.is_none() && now - self.detached_at > max_detached
    }

    /// Whether the replies have to be held after the final one, for a caller that may reconnect.
    pub(crate) fn awaits_caller(&self) -> bool {
        self.caller.is_none() && self.resumable
    }
}
