//! Callers' requests over HTTP.

use base::{Key, Ms, WorkspaceId};
use bytes::Bytes;
use conf::Priority;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use link::{Body, Handler, LinkError, json, read, stream};
use logs::{Event, note};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::Ask;

use crate::core::{Asked, Core};
use crate::error::CallerError;
use crate::problem;
use crate::ticket::{Reply, Ticket};

/// Path before a pipeline's name.
const PIPELINES: &str = "/v1/pipelines/";
/// Path before the identifier of a request whose stream a caller comes back for.
const REQUESTS: &str = "/v1/requests/";
/// Header of a caller that sent its key before.
const RESENT: &str = "x-resent";
/// Longest deadline that a caller may ask for.
const DEADLINE_MOST: Ms = Ms::secs(600);

/// Answers callers.
pub(crate) struct Callers {
    pub(crate) core: Arc<Core>,
}

impl Handler for Callers {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        let events = wants_events(request.headers());
        let doubt = request.headers().get(RESENT).is_some_and(|v| v == "true");
        if let Some(id) = request.uri().path().strip_prefix(REQUESTS) {
            return match resumed(&self.core, id, &request) {
                Ok(ticket) => event_stream(ticket),
                Err(err) => self.malformed(&err, true),
            };
        }
        match asked(&self.core, request, events).await {
            Ok(asked) if events => event_stream(self.core.arrive(asked)),
            Ok(asked) => whole(self.core.arrive(asked)).await,
            Err(err) => self.malformed(&err, doubt),
        }
    }
}

impl Callers {
    fn malformed(&self, err: &CallerError, doubt: bool) -> Response<Body> {
        note!(Event::RequestMalformed, code = err.code());
        self.core.metrics().malformed(err.code());
        problem::caller(err, doubt)
    }
}

/// A caller comes back for its stream: `GET /v1/requests/ID?offset=N`, with N the id of the last
/// event that it read.
fn resumed(core: &Core, id: &str, request: &Request<Incoming>) -> Result<Ticket, CallerError> {
    let id = id.parse().map_err(|_| CallerError::UnknownRequest)?;
    let workspace = text(request.headers(), "x-workspace")?.ok_or(CallerError::NoWorkspace)?;
    let query = request.uri().query().unwrap_or("offset=0");
    let offset = query.strip_prefix("offset=").and_then(|n| n.parse().ok());
    core.resume(id, workspace, offset.ok_or(CallerError::Offset)?)
}

async fn whole(mut ticket: Ticket) -> Response<Body> {
    let request = ticket.request();
    loop {
        match ticket.next().await {
            Some(Reply::Piece { .. }) => {}
            Some(Reply::Whole(answer)) => return json(StatusCode::OK, &answer),
            Some(Reply::Refused(refusal)) => return problem::refused(request, &refusal),
            None => return problem::caller(&CallerError::NotReady, true),
        }
    }
}

/// Server-sent events: `piece` with its offset as the event's id, then one `end` or `problem`.
/// A stream without either was cut.
fn event_stream(mut ticket: Ticket) -> Response<Body> {
    let (tx, rx) = mpsc::channel(16);
    let request = ticket.request();
    tokio::spawn(async move {
        loop {
            // A caller that has gone is noticed while nothing comes for it, too.
            let reply = tokio::select! {
                reply = ticket.next() => reply,
                () = tx.closed() => return,
            };
            let event = match reply {
                Some(Reply::Piece { offset, tokens, text }) => {
                    let piece =
                        serde_json::json!({"offset": offset, "tokens": tokens, "text": text});
                    format!("event: piece\nid: {}\ndata: {piece}\n\n", offset + tokens)
                }
                Some(Reply::Whole(answer)) => {
                    let answer = serde_json::to_string(&answer).unwrap_or_default();
                    format!("event: end\ndata: {answer}\n\n")
                }
                Some(Reply::Refused(refusal)) => {
                    let body = problem::body(request, &refusal);
                    let body = serde_json::to_string(&body).unwrap_or_default();
                    format!("event: problem\ndata: {body}\n\n")
                }
                None => return,
            };
            if tx.send(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    });
    let mut response = Response::new(stream(rx));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        headers.insert("x-request-id", id);
    }
    response
}

async fn asked(
    core: &Core,
    request: Request<Incoming>,
    resumable: bool,
) -> Result<Asked, CallerError> {
    let name = request.uri().path().strip_prefix(PIPELINES).ok_or(CallerError::NoSuchPath)?;
    if request.method() != Method::POST {
        return Err(CallerError::Method);
    }
    let plan = core.plan().ok_or(CallerError::NotReady)?;
    let unknown = || CallerError::UnknownPipeline(name.to_owned());
    let pipeline = plan.pipeline(name).ok_or_else(unknown)?;
    let headers = request.headers();
    let workspace = text(headers, "x-workspace")?.ok_or(CallerError::NoWorkspace)?;
    let unknown = || CallerError::UnknownWorkspace(workspace.to_owned());
    let space = plan.workspace(workspace).ok_or_else(unknown)?;
    let workspace = WorkspaceId::from(workspace);
    let priority = priority(headers)?;
    let key = text(headers, "idempotency-key")?.map(Key::parse).transpose()?;
    if key.is_none() && plan.has_unrepeatable(pipeline) {
        return Err(CallerError::KeyNeeded);
    }
    let resent = text(headers, RESENT)?.is_some_and(|v| v == "true");
    let now = core.now();
    let span = match deadline(headers)? {
        Some(Ms(0)) => return Err(CallerError::DeadlinePast),
        Some(span) => span.min(DEADLINE_MOST),
        None => plan.effective(space, pipeline, now).deadline_ms.0,
    };
    let ask = ask(core, request).await?;
    let deadline = now + span;
    Ok(Asked { ask, workspace, plan, pipeline, priority, deadline, key, resent, resumable })
}

async fn ask(core: &Core, request: Request<Incoming>) -> Result<Ask, CallerError> {
    let limits = &core.settings().limits;
    let body = read(request.into_body(), limits.body_bytes);
    let body = timeout(limits.read_ms.duration(), body).await;
    let body = body.map_err(|_| CallerError::BodySlow)?.map_err(|err| match err {
        LinkError::TooLarge { limit } => CallerError::BodyTooLarge(limit),
        _ => CallerError::BodyCut,
    })?;
    serde_json::from_slice(&body).map_err(CallerError::BodyMalformed)
}

fn wants_events(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|v| v.to_str().ok());
    accept.is_some_and(|v| v.contains("text/event-stream"))
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| CallerError::Header(name, "give plain text"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Ms>, CallerError> {
    let Some(value) = text(headers, "x-deadline-ms")? else { return Ok(None) };
    let wrong = |_| CallerError::Header("x-deadline-ms", "give whole milliseconds from now");
    value.parse().map(|ms| Some(Ms(ms))).map_err(wrong)
}

fn priority(headers: &HeaderMap) -> Result<Option<Priority>, CallerError> {
    match text(headers, "x-priority")? {
        None => Ok(None),
        Some("low") => Ok(Some(Priority::Low)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("high") => Ok(Some(Priority::High)),
        Some(_) => Err(CallerError::Header("x-priority", "give low, normal or high")),
    }
}
