//! Sends one request to one target.

use base::Ms;
use bytes::Bytes;
use catalog::Residency;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use link::{ConnPolicy, LinkError, full};
use sched::health::Outcome;
use std::sync::Arc;
use thiserror::Error;

use crate::connections::Permit;
use crate::core::Core;
use crate::dial::{Dialed, dial};
use crate::dialect::ResponseHead;
use crate::exposures::{Exposed, Trace};
use crate::gate::{self, BlockReason};
use crate::links::{Link, OpenRequest};
use crate::notices;
use crate::unread::{Retries, Written};

/// How a send failed, by whether the target may have run the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum SendFault {
    /// This host may not send to the target now: nothing was sent.
    #[error("the target may not get requests now: {}", .0.name())]
    Blocked(BlockReason),
    /// No connection: nothing was sent.
    #[error("no connection")]
    NoConnection,
    /// The new connection has not proved that the target accepts it: nothing was sent.
    #[error("the new connection did not prove itself")]
    Unproved,
    /// The connection broke; the target may have run it.
    #[error("the connection broke")]
    Broken,
    /// No answer in time; the connection is closed and the target may have run it.
    #[error("no answer in time")]
    Silent,
    /// The answer belongs to another request; the target may have run this one.
    #[error("the answer belongs to another request")]
    Mismatch,
}

impl SendFault {
    /// Whether it is certain that the target did not get the request.
    pub(crate) const fn unsent(self) -> bool {
        matches!(self, Self::NoConnection | Self::Blocked(_) | Self::Unproved)
    }

    /// Its name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Blocked(reason) => reason.name(),
            Self::NoConnection => "no_connection",
            Self::Unproved => "unproved",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Mismatch => "mismatch",
        }
    }

    const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::NoConnection => Some(Outcome::NoConnection),
            Self::Broken => Some(Outcome::Broken),
            Self::Silent => Some(Outcome::Silent),
            // A late answer to an earlier request says nothing about the target's health now, and a
            // target that accepts no more connections serves those that it has.
            Self::Blocked(_) | Self::Mismatch | Self::Unproved => None,
        }
    }
}

/// The connection on which an answer arrives. If it is dropped before [`Lease::close`], the
/// connection is closed and the target stops working on the request.
pub(crate) struct Lease {
    link: Arc<Link>,
    dialed: Dialed,
    keep: Option<Ms>,
    permit: Option<Permit>,
    trace: Trace,
    _open: OpenRequest,
}

impl Lease {
    /// Records that the target begins to answer.
    pub(crate) fn answering(&self) {
        self.trace.answering();
    }

    /// Records for how long the target has lived while it answered.
    pub(crate) fn lived(&self, time: Ms) {
        self.trace.lived(time);
    }

    /// Records that the connection broke.
    pub(crate) fn broken(&mut self) {
        self.trace.broken();
    }

    /// Ends it after an answer that has neither a length nor chunks, and seems whole.
    pub(crate) fn close_unframed(self) {
        self.trace.close_unframed();
    }

    /// Ends it after an answer that may be the second one to an earlier request. The connection isn't used
    /// again: the answer to this request may still come on it.
    pub(crate) fn close_unproved(self) {
        self.trace.close();
    }

    /// Returns the connection to the pool, after the whole answer was read and is valid.
    pub(crate) fn close(self) {
        self.trace.close();
        match self.keep {
            // The target is about to close it: a request on it would be lost.
            Some(keep) if keep < MIN_KEEP_ALIVE => {}
            _ if !self.dialed.poolable => {}
            _ if self.permit.as_ref().is_some_and(|permit| !permit.may_keep()) => {}
            _ => self.link.pool.put(self.dialed.conn),
        }
    }
}

/// A connection that its target keeps open for less than this isn't reused: a request may be queued
/// that long on its way to the target.
const MIN_KEEP_ALIVE: Ms = Ms(1_500);

/// A target's answer, whose body is still to be read.
pub(crate) struct Answered {
    pub(crate) head: ResponseHead,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
}

/// How long to wait for the head of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Wait {
    /// For this long, whether this host ran or not.
    Fixed(Ms),
    /// For `within`, not counting time for which this host did not run, up to `within` once more, and
    /// not longer than `most` in all. An answer that arrived during a pause need not be computed again.
    Running {
        /// Time that the target has.
        within: Ms,
        /// Time that whoever waits has; `Ms::MAX` for any.
        most: Ms,
    },
    /// For this long, which is all the time that the caller has. What silence says of the target is
    /// left to whoever waits.
    Deadline(Ms),
}

/// What happens if a connection from the pool turns out to be closed before anything was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IfClosed {
    /// A new one is opened to the same address.
    Reopen,
    /// The send fails: who answers on a new connection may be another incarnation.
    Fail,
}

/// Where the connection for a send comes from.
pub(crate) enum Via {
    /// An idle connection, or a new one if there is none.
    Pool(IfClosed),
    /// A new connection.
    New,
    /// The connection that a permit stands for.
    Permit(Permit),
}

/// What a send is for.
#[derive(Clone, Copy)]
pub(crate) struct Sending<'a> {
    /// Id that the answer must name.
    pub(crate) id: &'a str,
    /// What of the requests that it carries may end the target.
    pub(crate) exposed: &'a [Exposed],
    /// The retries of the request; none for a call of this host's own.
    pub(crate) retries: Option<&'a Arc<Retries>>,
}

/// Sends a request, which may be processed within `residency`, and waits for the head of its answer.
/// `build` is called once there is a connection, so that the remaining time that it writes into the
/// request is right.
pub(crate) async fn send(
    core: &Arc<Core>,
    link: &Arc<Link>,
    residency: &Residency,
    request: Sending<'_>,
    wait: Wait,
    via: Via,
    build: impl Fn() -> Request<Bytes>,
) -> Result<Answered, SendFault> {
    let result = attempt(core, link, residency, request, wait, via, build).await;
    if matches!((&result, wait), (Err(SendFault::Silent), Wait::Deadline(_))) {
        return result;
    }
    if matches!(result, Err(SendFault::Silent)) {
        core.record_silence(link);
    }
    if let Some(outcome) = result.as_ref().err().and_then(|fault| fault.outcome()) {
        link.record(core.clock.now(), outcome);
    }
    result
}

async fn attempt(
    core: &Arc<Core>,
    link: &Arc<Link>,
    residency: &Residency,
    request: Sending<'_>,
    wait: Wait,
    via: Via,
    build: impl Fn() -> Request<Bytes>,
) -> Result<Answered, SendFault> {
    let open = link.begin();
    let (Wait::Fixed(within) | Wait::Running { within, .. } | Wait::Deadline(within)) = wait;
    let (begun, lost) = (core.clock.now(), core.pauses.lost());
    let end = begun + within;
    let (mut permit, if_closed, policy) = match via {
        Via::Pool(if_closed) => (None, if_closed, ConnPolicy::Reuse),
        Via::New => (None, IfClosed::Reopen, ConnPolicy::New),
        Via::Permit(permit) => (Some(permit), IfClosed::Reopen, ConnPolicy::Reuse),
    };
    let mut dialed = match &mut permit {
        Some(permit) => permit.connect(residency).await?,
        None => connect(core, link, residency, policy).await?,
    };
    gate::admit(core, link).map_err(SendFault::Blocked)?;
    let mut trace = Trace::begin(core, link, request.exposed);
    let mut written = Written::begin(core, link, request.retries);
    let mut result = dialed.conn.send(build().map(full), end - core.clock.now()).await;
    if matches!(result, Err(LinkError::Unsent)) && if_closed == IfClosed::Reopen {
        trace.close();
        written.close();
        dialed = match &mut permit {
            Some(permit) => {
                permit.record(result.as_ref().map(drop));
                permit.open(residency).await?
            }
            None => connect(core, link, residency, ConnPolicy::New).await?,
        };
        gate::admit(core, link).map_err(SendFault::Blocked)?;
        trace = Trace::begin(core, link, request.exposed);
        written = Written::begin(core, link, request.retries);
        result = dialed.conn.send(build().map(full), end - core.clock.now()).await;
    }
    if let (Err(LinkError::Silent), Wait::Running { most, .. }) = (&result, wait) {
        let paused = core.pauses.lost() - lost;
        let rest = paused.min(within).min(begun + most - core.clock.now());
        if rest > Ms::ZERO {
            result = dialed.conn.wait(rest).await;
        }
    }
    if let Some(permit) = &mut permit {
        permit.record(result.as_ref().map(drop));
    }
    let response = match result {
        Ok(response) => response,
        Err(LinkError::Connect | LinkError::Refused | LinkError::Unsent) => {
            trace.close();
            written.close();
            return Err(SendFault::NoConnection);
        }
        Err(LinkError::Silent) => return Err(SendFault::Silent),
        Err(LinkError::Broken { .. } | LinkError::TooLarge { .. } | LinkError::Malformed(_)) => {
            trace.broken();
            written.close();
            return Err(SendFault::Broken);
        }
    };
    let (parts, body) = response.into_parts();
    let head = core.dialect.parse_response(&parts, request.id);
    if !head.same_request {
        return Err(SendFault::Mismatch);
    }
    link.exposures().answered(core.clock.now());
    written.answered();
    notices::apply(core, link, &parts, &head);
    let lease =
        Lease { link: link.clone(), dialed, keep: head.keep_alive, permit, trace, _open: open };
    Ok(Answered { head, parts, body, lease })
}

/// Takes a connection to a target, or opens one.
pub(crate) async fn connect(
    core: &Arc<Core>,
    link: &Arc<Link>,
    residency: &Residency,
    policy: ConnPolicy,
) -> Result<Dialed, SendFault> {
    let idle = match policy {
        ConnPolicy::Reuse => link.pool.idle(),
        ConnPolicy::New => None,
    };
    match idle {
        Some(conn) => Ok(Dialed { conn, poolable: true }),
        None => dial(core, link, residency).await,
    }
}
