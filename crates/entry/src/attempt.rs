//! Runs one attempt of a stage on a target: sends the call, reads the reply or the stream, and asks
//! the target what became of the call when the connection breaks or goes silent.

use base::{Attempt, RequestId};
use bytes::{Buf, Bytes, BytesMut};
use hyper::StatusCode;
use link::{ConnPolicy, LinkError};
use logs::{Event, note};
use policy::{Fault, Usage};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{Piece, StageCall, StageReply};

use crate::connector::{CallLimits, Connection, ProbeResult};
use crate::core::Core;
use crate::results::StreamProgress;

/// Everything that one attempt needs.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) stage: usize,
    pub(crate) attempt: Attempt,
    pub(crate) call: StageCall,
    pub(crate) stream: bool,
    pub(crate) repeatable: bool,
    pub(crate) addr: SocketAddr,
    pub(crate) limits: CallLimits,
}

/// Runs an attempt. A failure is logged and reported to the core; results reach the core as they
/// arrive.
pub(crate) async fn run(core: Arc<Core>, job: Job) {
    match run_once(&core, &job).await {
        Ok(()) => {}
        Err(fault) => {
            note!(
                Event::AttemptFailed,
                request = %job.request,
                stage = job.call.stage,
                attempt = job.attempt.0,
                fault = ?fault
            );
            core.attempt_failed(&job, fault);
        }
    }
}

async fn run_once(core: &Core, job: &Job) -> Result<(), Fault> {
    let freshness = if job.repeatable { ConnPolicy::Reuse } else { ConnPolicy::New };
    let body = Bytes::from(serde_json::to_vec(&job.call).unwrap_or_default());
    let idle_timeout = job.limits.idle_timeout;
    let mut conn = core.connector().open(job.addr, freshness).await.map_err(|_| Fault::Connect)?;
    if !core.mark_sent(job) {
        return Ok(());
    }
    let mut head = conn.send(body.clone(), idle_timeout).await;
    if let Err(LinkError::Unsent) = head {
        // The pooled connection was closed before any byte was written, so sending the call on a
        // new connection is not a repetition.
        let retried = core.connector().open(job.addr, ConnPolicy::New).await;
        conn = retried.map_err(|_| Fault::Connect)?;
        head = conn.send(body, idle_timeout).await;
    }
    loop {
        match head {
            Ok(StatusCode::OK) if job.stream => return read_stream(core, job, conn).await,
            Ok(StatusCode::OK) => return read_reply(core, job, conn).await,
            Ok(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                return Err(Fault::Full);
            }
            Ok(status) if status.is_client_error() => return Err(Fault::Rejected),
            Ok(_) => return Err(Fault::Error),
            Err(LinkError::Silent) => match probe(core, job, Fault::Silent).await? {
                CallProgress::Accepted => return Ok(()),
                CallProgress::Running => head = conn.wait(idle_timeout).await,
            },
            Err(err) => return handle_broken(core, job, fault_of(&err)).await,
        }
    }
}

fn fault_of(err: &LinkError) -> Fault {
    match err {
        LinkError::Connect | LinkError::Refused | LinkError::Unsent => Fault::Connect,
        // The target may have closed an idle pooled connection at the moment of sending, so a break
        // of a reused connection is no sign of a crash.
        LinkError::Broken { reused: true } | LinkError::Silent => Fault::Silent,
        LinkError::Broken { reused: false } => Fault::Broken,
        LinkError::TooLarge { .. } => Fault::TooLarge,
        LinkError::Malformed(_) => Fault::Mismatch,
    }
}

/// Handles a connection that failed during a call.
///
/// A non-repeatable call may have run even so, and a caller that is told `unknown` cannot resolve
/// that itself. Therefore the target is asked what became of the call, until it is no longer
/// running. For a repeatable call the fault is returned, and the stage is sent again.
async fn handle_broken(core: &Core, job: &Job, fault: Fault) -> Result<(), Fault> {
    if job.repeatable || !matches!(fault, Fault::Broken | Fault::Silent) {
        return Err(fault);
    }
    while probe(core, job, fault).await? == CallProgress::Running {
        tokio::time::sleep(job.limits.idle_timeout.scale(1, 4).duration()).await;
    }
    Ok(())
}

/// State of a call, as reported by its target, when the attempt need not be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallProgress {
    /// The target is still running the call, and this host has received everything generated so
    /// far: keep waiting.
    Running,
    /// The call had finished, and its result was accepted.
    Accepted,
}

/// Asks the target on a new connection what became of the call.
///
/// The original connection stays open meanwhile: it may only be slow, and closing it would cancel
/// the call. If the target has sent output that did not arrive, the connection is at fault and not
/// the target; the attempt then fails with `fault`. It fails with [`Fault::Dead`] if the target
/// does not answer.
async fn probe(core: &Core, job: &Job, fault: Fault) -> Result<CallProgress, Fault> {
    match core.connector().probe(job.addr, &job.call, job.limits).await {
        ProbeResult::Running { tokens } if !core.stream_behind(job, tokens) => {
            Ok(CallProgress::Running)
        }
        ProbeResult::Done(reply) if !job.stream => {
            discard_connections(core, job);
            accept_reply(core, job, &reply, 0)?;
            Ok(CallProgress::Accepted)
        }
        ProbeResult::Running { .. } | ProbeResult::Done(_) | ProbeResult::Lost => {
            discard_connections(core, job);
            Err(fault)
        }
        ProbeResult::Unreachable => {
            note!(Event::TargetDead, request = %job.request, target = %job.addr);
            core.connector().clear(job.addr);
            Err(Fault::Dead)
        }
    }
}

/// Logs the silent connection and closes the idle ones to the same target: what lost track of one
/// connection (a middlebox, for example) may have lost the others too.
fn discard_connections(core: &Core, job: &Job) {
    note!(Event::ConnectionSilent, request = %job.request, target = %job.addr);
    core.connector().clear(job.addr);
}

async fn read_reply(core: &Core, job: &Job, mut conn: Box<dyn Connection>) -> Result<(), Fault> {
    let mut body = BytesMut::new();
    loop {
        match conn.chunk(job.limits.idle_timeout).await {
            Ok(Some(data)) if body.len() + data.len() > job.limits.max_bytes => {
                return Err(Fault::TooLarge);
            }
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => break,
            Err(LinkError::Silent) => match probe(core, job, Fault::Silent).await? {
                CallProgress::Accepted => return Ok(()),
                CallProgress::Running => {}
            },
            Err(err) => return handle_broken(core, job, fault_of(&err)).await,
        }
    }
    let reply: StageReply = parse(&body)?;
    accept_reply(core, job, &reply, body.len())?;
    conn.release();
    Ok(())
}

/// Accepts a reply if it belongs to this attempt. Any other reply is dropped and its connection
/// closed, since nothing else that arrives on that connection can be trusted.
fn accept_reply(core: &Core, job: &Job, reply: &StageReply, bytes: usize) -> Result<(), Fault> {
    let call = &job.call;
    let matches =
        reply.request == call.request && reply.stage == call.stage && reply.attempt == call.attempt;
    if !matches {
        core.report_mismatch(job, &reply.request);
        return Err(Fault::Mismatch);
    }
    let usage = Usage {
        tokens_in: reply.tokens_in,
        tokens_out: reply.tokens_out,
        cached: reply.cached_tokens,
        bytes: (bytes + call.input.len()) as u64,
    };
    core.attempt_done(job, reply.output.clone(), usage);
    Ok(())
}

async fn read_stream(core: &Core, job: &Job, mut conn: Box<dyn Connection>) -> Result<(), Fault> {
    let mut buffer = BytesMut::new();
    let mut bytes = 0;
    loop {
        let data = match conn.chunk(job.limits.idle_timeout).await {
            Ok(Some(data)) => data,
            // The stream closed without an end mark, so it is incomplete.
            Ok(None) => return Err(Fault::Broken),
            Err(LinkError::Silent) => match probe(core, job, Fault::Silent).await? {
                CallProgress::Accepted => return Ok(()),
                CallProgress::Running => continue,
            },
            Err(err) => return Err(fault_of(&err)),
        };
        bytes += data.len();
        if bytes > job.limits.max_bytes {
            return Err(Fault::TooLarge);
        }
        buffer.extend_from_slice(&data);
        while let Some(text) = split_line(&mut buffer) {
            let piece: Piece = parse(&text)?;
            match accept_piece(core, job, &piece, bytes)? {
                StreamProgress::More => {}
                StreamProgress::End => {
                    if let Ok(None) = conn.chunk(job.limits.idle_timeout).await {
                        conn.release();
                    }
                    return Ok(());
                }
            }
        }
    }
}

fn accept_piece(
    core: &Core,
    job: &Job,
    piece: &Piece,
    bytes: usize,
) -> Result<StreamProgress, Fault> {
    let call = &job.call;
    let matches =
        piece.request == call.request && piece.stage == call.stage && piece.attempt == call.attempt;
    if !matches {
        core.report_mismatch(job, &piece.request);
        return Err(Fault::Mismatch);
    }
    core.accept_piece(job, piece, (bytes + call.input.len()) as u64)
}

fn split_line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|&b| b == b'\n')?;
    let text = buffer.split_to(end).freeze();
    buffer.advance(1);
    Some(text)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|_| Fault::Mismatch)
}
