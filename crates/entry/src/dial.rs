//! The border to targets: connections, and what became of a call.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use hyper::StatusCode;
use link::{ConnPolicy, LinkError};
use std::net::SocketAddr;
use wire::{StageCall, StageReply};

/// Ways to targets.
#[async_trait]
pub trait Dial: Send + Sync {
    /// A connection that can take a call now.
    async fn open(&self, addr: SocketAddr, fresh: ConnPolicy) -> Result<Box<dyn Line>, LinkError>;

    /// Asks on a new connection what became of a call.
    async fn probe(&self, addr: SocketAddr, call: &StageCall, bounds: Bounds) -> Probed;

    /// Drops the idle connections to an address, so that the next ones are new.
    fn clear(&self, addr: SocketAddr);
}

/// One connection, for one call at a time. Dropped, it is closed and its call cancelled.
#[async_trait]
pub trait Line: Send {
    /// Sends a call, as JSON, and waits for the response's head.
    async fn send(&mut self, body: Bytes, silence: Ms) -> Result<StatusCode, LinkError>;

    /// Waits on for the head of a response that was silent so far; the call stays under way.
    async fn wait(&mut self, silence: Ms) -> Result<StatusCode, LinkError>;

    /// The next part of the response; none at its end.
    async fn chunk(&mut self, silence: Ms) -> Result<Option<Bytes>, LinkError>;

    /// Keeps the connection for another call. Only after its response was read to the end and
    /// found sound.
    fn keep(self: Box<Self>);
}

/// Bounds on what a target may take.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Longest silence, ms.
    pub silence: Ms,
    /// Bytes of an answer.
    pub limit: usize,
}

/// What a target says of a call on a new connection.
#[derive(Debug)]
pub enum Probed {
    /// It is still at it; a stream has come to this many tokens.
    Running {
        /// Tokens of the stage, wherever this attempt began.
        tokens: u32,
    },
    /// It has finished; this is the result, where it keeps one.
    Done(Box<StageReply>),
    /// It doesn't know of the call: the connection lost it or its answer.
    Lost,
    /// It doesn't answer on a new connection either.
    Dead,
}
