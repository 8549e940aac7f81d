//! Interface to targets: opening connections, sending calls, and asking what became of a call. The
//! tests replace it by targets in memory.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use hyper::StatusCode;
use link::{ConnPolicy, LinkError};
use std::net::SocketAddr;
use wire::{StageCall, StageReply};

/// Opens connections to targets.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Returns a connection that is ready for a call.
    async fn open(
        &self,
        addr: SocketAddr,
        freshness: ConnPolicy,
    ) -> Result<Box<dyn Connection>, LinkError>;

    /// Asks on a new connection what became of a call.
    async fn probe(&self, addr: SocketAddr, call: &StageCall, limits: CallLimits) -> ProbeResult;

    /// Closes the idle connections to an address, so that later calls use new ones.
    fn clear(&self, addr: SocketAddr);
}

/// One connection, used for one call at a time. Dropping it closes the connection, which cancels
/// the call.
#[async_trait]
pub trait Connection: Send {
    /// Sends a call, as JSON, and waits for the head of the response.
    async fn send(&mut self, body: Bytes, idle_timeout: Ms) -> Result<StatusCode, LinkError>;

    /// Keeps waiting for the head of the response after [`LinkError::Silent`]; the call continues.
    async fn wait(&mut self, idle_timeout: Ms) -> Result<StatusCode, LinkError>;

    /// Returns the next part of the response body, or `None` at its end.
    async fn chunk(&mut self, idle_timeout: Ms) -> Result<Option<Bytes>, LinkError>;

    /// Returns the connection to the pool for another call. Allowed only after the response was
    /// read to the end and found valid.
    fn release(self: Box<Self>);
}

/// Limits on the response to one call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Longest time without any data from the target.
    pub idle_timeout: Ms,
    /// Largest response, in bytes.
    pub max_bytes: usize,
}

/// State of a call, as asked for on a new connection.
#[derive(Debug)]
pub enum ProbeResult {
    /// The target is still running the call.
    Running {
        /// Tokens of the stage's stream generated so far, counted from the start of the stage
        /// whatever offset this attempt began at.
        tokens: u32,
    },
    /// The call has finished, with this result.
    Done(Box<StageReply>),
    /// The target does not know of the call or does not keep its result: the connection lost the
    /// call or its reply.
    Lost,
    /// The target does not answer on a new connection either.
    Unreachable,
}
