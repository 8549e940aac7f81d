//! HTTP interface for callers: parses and checks their requests, and returns the answer either
//! whole or as a stream of server-sent events.

use base::{Key, Ms, WorkspaceId};
use bytes::Bytes;
use conf::Priority;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use link::{Body, BodyError, Handler, Progress, json, read_counted, stream};
use logs::{Event, note};
use memory::Purpose;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::Ask;

use crate::core::{CheckedRequest, Core};
use crate::error::CallerError;
use crate::problem;
use crate::reply::{Reply, ReplyReceiver};

/// Path prefix of a request to a pipeline; the pipeline's name follows.
const PIPELINES_PATH: &str = "/v1/pipelines/";
/// Path prefix for resuming a stream; the request's identifier follows.
const REQUESTS_PATH: &str = "/v1/requests/";
/// Header with which a caller says that it has sent this idempotency key before.
const RESENT_HEADER: &str = "x-resent";
/// Longest deadline that a caller may set; longer ones are shortened to it.
const MAX_DEADLINE: Ms = Ms::secs(600);

/// Copies of a body that a request holds beside it: its input and the text of a call, for each of the two
/// calls that may be open for a stage.
const STAGE_COPIES: usize = 4;

/// Handles callers' requests.
pub(crate) struct CallerHandler {
    pub(crate) core: Arc<Core>,
}

impl Handler for CallerHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        let as_events = wants_events(request.headers());
        let uncertain = request.headers().get(RESENT_HEADER).is_some_and(|v| v == "true");
        if let Some(id) = request.uri().path().strip_prefix(REQUESTS_PATH) {
            return match resume(&self.core, id, &request) {
                Ok(replies) => event_stream(replies),
                Err(err) => self.malformed(&err, true),
            };
        }
        match parse_request(&self.core, request, as_events).await {
            Ok(checked) if as_events => event_stream(self.core.submit(checked)),
            Ok(checked) => full_response(self.core.submit(checked)).await,
            Err(err) => self.malformed(&err, uncertain),
        }
    }
}

impl CallerHandler {
    fn malformed(&self, err: &CallerError, uncertain: bool) -> Response<Body> {
        note!(Event::RequestMalformed, code = err.code());
        self.core.metrics().malformed(err.code());
        problem::invalid_request(err, uncertain)
    }
}

/// Resumes a stream after the caller reconnected: `GET /v1/requests/ID?offset=N`, where N is the id
/// of the last event that the caller read.
fn resume(
    core: &Core,
    id: &str,
    request: &Request<Incoming>,
) -> Result<ReplyReceiver, CallerError> {
    let id = id.parse().map_err(|_| CallerError::UnknownRequest)?;
    let workspace =
        header_text(request.headers(), "x-workspace")?.ok_or(CallerError::NoWorkspace)?;
    let query = request.uri().query().unwrap_or("offset=0");
    let offset = query.strip_prefix("offset=").and_then(|n| n.parse().ok());
    core.resume(id, workspace, offset.ok_or(CallerError::Offset)?)
}

/// Waits for the end of the request and returns its answer as one response.
async fn full_response(mut replies: ReplyReceiver) -> Response<Body> {
    let request = replies.request();
    loop {
        match replies.next().await {
            Some(Reply::Piece { .. }) => {}
            Some(Reply::Whole(answer)) => return json(StatusCode::OK, &answer),
            Some(Reply::Refused(refusal)) => return problem::refused(request, &refusal),
            None => return problem::invalid_request(&CallerError::NotReady, true),
        }
    }
}

/// Returns the replies as server-sent events: any number of `piece` events, then one `end` or
/// `problem`. A stream that ends without either is incomplete. The id of a `piece` is the offset at
/// which the next piece starts.
fn event_stream(mut replies: ReplyReceiver) -> Response<Body> {
    let (tx, rx) = mpsc::channel(16);
    let request = replies.request();
    tokio::spawn(async move {
        loop {
            // Also detects that the caller disconnected while there is no reply to send.
            let reply = tokio::select! {
                reply = replies.next() => reply,
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

/// Reads and checks a caller's request against the configuration in force.
async fn parse_request(
    core: &Core,
    request: Request<Incoming>,
    resumable: bool,
) -> Result<CheckedRequest, CallerError> {
    let name = request.uri().path().strip_prefix(PIPELINES_PATH).ok_or(CallerError::NoSuchPath)?;
    if request.method() != Method::POST {
        return Err(CallerError::Method);
    }
    let plan = core.plan().ok_or(CallerError::NotReady)?;
    let unknown = || CallerError::UnknownPipeline(name.to_owned());
    let pipeline = plan.pipeline(name).ok_or_else(unknown)?;
    let headers = request.headers();
    let workspace = header_text(headers, "x-workspace")?.ok_or(CallerError::NoWorkspace)?;
    let unknown = || CallerError::UnknownWorkspace(workspace.to_owned());
    let space = plan.workspace(workspace).ok_or_else(unknown)?;
    let workspace = WorkspaceId::from(workspace);
    let priority = priority(headers)?;
    let key = header_text(headers, "idempotency-key")?.map(Key::parse).transpose()?;
    if key.is_none() && plan.has_unrepeatable(pipeline) {
        return Err(CallerError::KeyNeeded);
    }
    let resent = header_text(headers, RESENT_HEADER)?.is_some_and(|v| v == "true");
    let now = core.now();
    let time_left = match deadline(headers)? {
        Some(Ms(0)) => return Err(CallerError::DeadlinePast),
        Some(time_left) => time_left.min(MAX_DEADLINE),
        None => plan.effective(space, pipeline, now).deadline_ms.0,
    };
    let ask = read_body(core, request).await?;
    let deadline = now + time_left;
    Ok(CheckedRequest {
        ask,
        workspace,
        plan,
        pipeline,
        priority,
        deadline,
        key,
        resent,
        resumable,
    })
}

async fn read_body(core: &Core, request: Request<Incoming>) -> Result<Ask, CallerError> {
    let limits = &core.settings().limits;
    let (mut parts, body) = request.into_parts();
    let progress = parts.extensions.remove::<Arc<Progress>>().ok_or(CallerError::NoRoom)?;
    let mut charge = progress.account().charge(Purpose::Request);
    let read = read_counted(body, limits.body_bytes, &mut charge);
    let body = timeout(limits.read_ms.duration(), read).await;
    let body = body.map_err(|_| CallerError::BodySlow)?.map_err(|err| match err {
        BodyError::TooLarge => CallerError::BodyTooLarge(limits.body_bytes),
        BodyError::Full(_) => CallerError::NoRoom,
        BodyError::Broken => CallerError::BodyCut,
    })?;
    let copies = charge.grow(body.len() * STAGE_COPIES).await;
    copies.map_err(|_| CallerError::NoRoom)?;
    progress.request_read();
    progress.hold(Arc::new(charge));
    serde_json::from_slice(&body).map_err(CallerError::BodyMalformed)
}

fn wants_events(headers: &HeaderMap) -> bool {
    let accept = headers.get(header::ACCEPT).and_then(|v| v.to_str().ok());
    accept.is_some_and(|v| v.contains("text/event-stream"))
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| CallerError::Header(name, "give plain text"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Ms>, CallerError> {
    let Some(value) = header_text(headers, "x-deadline-ms")? else { return Ok(None) };
    let wrong = |_| CallerError::Header("x-deadline-ms", "give whole milliseconds from now");
    value.parse().map(|ms| Some(Ms(ms))).map_err(wrong)
}

fn priority(headers: &HeaderMap) -> Result<Option<Priority>, CallerError> {
    match header_text(headers, "x-priority")? {
        None => Ok(None),
        Some("low") => Ok(Some(Priority::Low)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("high") => Ok(Some(Priority::High)),
        Some(_) => Err(CallerError::Header("x-priority", "give low, normal or high")),
    }
}
