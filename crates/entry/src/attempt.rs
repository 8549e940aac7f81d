//! One attempt of a stage on a target.

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

use crate::core::Core;
use crate::dial::{Bounds, Line, Probed};
use crate::results::Taken;

/// What an attempt needs.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) stage: usize,
    pub(crate) attempt: Attempt,
    pub(crate) call: StageCall,
    pub(crate) stream: bool,
    pub(crate) repeatable: bool,
    pub(crate) addr: SocketAddr,
    pub(crate) bounds: Bounds,
}

/// Runs an attempt and reports how it ended.
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
            core.failed(&job, fault);
        }
    }
}

async fn run_once(core: &Core, job: &Job) -> Result<(), Fault> {
    let fresh = if job.repeatable { ConnPolicy::Reuse } else { ConnPolicy::New };
    let body = Bytes::from(serde_json::to_vec(&job.call).unwrap_or_default());
    let silence = job.bounds.silence;
    let mut line = core.dial().open(job.addr, fresh).await.map_err(|_| Fault::Connect)?;
    if !core.sent(job) {
        return Ok(());
    }
    let mut head = line.send(body.clone(), silence).await;
    if let Err(LinkError::Unsent) = head {
        // The kept connection was closed before a byte was written; a new one is the first send.
        let again = core.dial().open(job.addr, ConnPolicy::New).await;
        line = again.map_err(|_| Fault::Connect)?;
        head = line.send(body, silence).await;
    }
    loop {
        match head {
            Ok(StatusCode::OK) if job.stream => return stream(core, job, line).await,
            Ok(StatusCode::OK) => return whole(core, job, line).await,
            Ok(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                return Err(Fault::Full);
            }
            Ok(status) if status.is_client_error() => return Err(Fault::Rejected),
            Ok(_) => return Err(Fault::Error),
            Err(LinkError::Silent) => match ask(core, job, Fault::Silent).await? {
                Asked::Taken => return Ok(()),
                Asked::Running => head = line.wait(silence).await,
            },
            Err(err) => return broken(core, job, fault(&err)).await,
        }
    }
}

fn fault(err: &LinkError) -> Fault {
    match err {
        LinkError::Connect | LinkError::Unsent => Fault::Connect,
        // A kept connection may have been closed from the far end at the same moment: that is no
        // sign of a crash.
        LinkError::Broken { reused: true } | LinkError::Silent => Fault::Silent,
        LinkError::Broken { reused: false } => Fault::Broken,
        LinkError::TooLarge { .. } => Fault::TooLarge,
        LinkError::Malformed(_) => Fault::Mismatch,
    }
}

/// The connection broke. Work that may not be repeated may have run all the same, and a caller
/// that reads `unknown` can do nothing more; so the target is asked what became of it. Other work
/// is simply sent again.
async fn broken(core: &Core, job: &Job, fault: Fault) -> Result<(), Fault> {
    if job.repeatable || !matches!(fault, Fault::Broken | Fault::Silent) {
        return Err(fault);
    }
    while ask(core, job, fault).await? == Asked::Running {
        tokio::time::sleep(job.bounds.silence.scale(1, 4).duration()).await;
    }
    Ok(())
}

/// What a target says of a call that it may still answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// It is at it, and the connection has brought all that it gave: wait on.
    Running,
    /// It had finished, and its result was taken.
    Taken,
}

/// Asks on a new connection what became of the call. A connection that is only slow must be kept
/// open meanwhile, since closing it would cancel the call; one that lost what the target gave is
/// at fault, and the target is not.
async fn ask(core: &Core, job: &Job, lost: Fault) -> Result<Asked, Fault> {
    match core.dial().probe(job.addr, &job.call, job.bounds).await {
        Probed::Running { tokens } if !core.behind(job, tokens) => Ok(Asked::Running),
        Probed::Done(reply) if !job.stream => {
            silent(core, job);
            take_whole(core, job, &reply, 0)?;
            Ok(Asked::Taken)
        }
        Probed::Running { .. } | Probed::Done(_) | Probed::Lost => {
            silent(core, job);
            Err(lost)
        }
        Probed::Dead => {
            note!(Event::TargetDead, request = %job.request, target = %job.addr);
            core.dial().clear(job.addr);
            Err(Fault::Dead)
        }
    }
}

/// What lost track of one connection may have lost the other idle ones too.
fn silent(core: &Core, job: &Job) {
    note!(Event::ConnectionSilent, request = %job.request, target = %job.addr);
    core.dial().clear(job.addr);
}

async fn whole(core: &Core, job: &Job, mut line: Box<dyn Line>) -> Result<(), Fault> {
    let mut body = BytesMut::new();
    loop {
        match line.chunk(job.bounds.silence).await {
            Ok(Some(data)) if body.len() + data.len() > job.bounds.limit => {
                return Err(Fault::TooLarge);
            }
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => break,
            Err(LinkError::Silent) => match ask(core, job, Fault::Silent).await? {
                Asked::Taken => return Ok(()),
                Asked::Running => {}
            },
            Err(err) => return broken(core, job, fault(&err)).await,
        }
    }
    let reply: StageReply = parse(&body)?;
    take_whole(core, job, &reply, body.len())?;
    line.keep();
    Ok(())
}

/// Takes a whole result if it is this attempt's own. Any other is dropped, and its connection
/// with it: what else comes on it can't be trusted.
fn take_whole(core: &Core, job: &Job, reply: &StageReply, bytes: usize) -> Result<(), Fault> {
    let call = &job.call;
    let own =
        reply.request == call.request && reply.stage == call.stage && reply.attempt == call.attempt;
    if !own {
        core.mismatch(job, &reply.request);
        return Err(Fault::Mismatch);
    }
    let usage = Usage {
        tokens_in: reply.tokens_in,
        tokens_out: reply.tokens_out,
        cached: reply.cached_tokens,
        bytes: (bytes + call.input.len()) as u64,
    };
    core.done(job, reply.output.clone(), usage);
    Ok(())
}

async fn stream(core: &Core, job: &Job, mut line: Box<dyn Line>) -> Result<(), Fault> {
    let mut buffer = BytesMut::new();
    let mut bytes = 0;
    loop {
        let data = match line.chunk(job.bounds.silence).await {
            Ok(Some(data)) => data,
            // The stream closed without its end mark: it was cut.
            Ok(None) => return Err(Fault::Broken),
            Err(LinkError::Silent) => match ask(core, job, Fault::Silent).await? {
                Asked::Taken => return Ok(()),
                Asked::Running => continue,
            },
            Err(err) => return Err(fault(&err)),
        };
        bytes += data.len();
        if bytes > job.bounds.limit {
            return Err(Fault::TooLarge);
        }
        buffer.extend_from_slice(&data);
        while let Some(text) = split_line(&mut buffer) {
            let piece: Piece = parse(&text)?;
            match take_piece(core, job, &piece, bytes)? {
                Taken::More => {}
                Taken::End => {
                    if let Ok(None) = line.chunk(job.bounds.silence).await {
                        line.keep();
                    }
                    return Ok(());
                }
            }
        }
    }
}

fn take_piece(core: &Core, job: &Job, piece: &Piece, bytes: usize) -> Result<Taken, Fault> {
    let call = &job.call;
    let own =
        piece.request == call.request && piece.stage == call.stage && piece.attempt == call.attempt;
    if !own {
        core.mismatch(job, &piece.request);
        return Err(Fault::Mismatch);
    }
    core.piece(job, piece, (bytes + call.input.len()) as u64)
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
