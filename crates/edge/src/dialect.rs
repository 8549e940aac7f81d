//! The interface to the formats in which callers and targets write requests and responses. The
//! platform's own headers and bodies are known to the implementation only.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode};
use sched::batch::{CallEnd, Piece, TargetReport};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

use base::Ms;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content: the same in all prompts that share this part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The fields of a caller's request, apart from method, path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's identifier for this attempt.
    pub id: Arc<str>,
    /// Time for which the caller will wait; none if it isn't given.
    pub deadline: Option<Ms>,
    /// The caller's API key.
    pub key: Option<String>,
    /// The parts of the prompt, those shared with other requests first.
    pub prompt: Vec<PromptPart>,
    /// Length of the whole prompt in tokens.
    pub tokens_in: u64,
    /// Largest length of the response in tokens.
    pub tokens_out: u64,
    /// Number of pieces of each stage; one for a stage that isn't listed.
    pub pieces: Vec<u32>,
    /// Identifies the input of stages that read no other stage's results.
    pub piece_key: Option<Arc<str>>,
    /// Id of the last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// The caller's attempt that brought the first event of the stream that this one takes up.
    pub resumes: Option<Arc<str>>,
}

impl RequestHead {
    /// The subject of the request: the id of the last part of the prompt that other requests share.
    pub fn subject(&self) -> u64 {
        let shared = self.prompt.len().saturating_sub(2);
        self.prompt.get(shared).map_or(0, |part| part.id)
    }

    /// Whether the caller takes up a stream of which it has received events.
    pub fn takes_up(&self) -> bool {
        self.resumes.is_some() || self.last_event.is_some()
    }

    /// The caller's attempt that brought the first event of the stream, or is to bring it.
    pub fn begun_as(&self) -> &str {
        self.resumes.as_ref().unwrap_or(&self.id)
    }

    /// The parts of the prompt that other requests share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let own = self.prompt.len().saturating_sub(1);
        &self.prompt[..own]
    }

    /// Their ids, for the log.
    pub(crate) fn shared_ids(&self) -> String {
        let ids = self.shared_parts().iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Number of tokens of the prompt that other requests share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Number of tokens of the prompt that no engine has read yet.
    pub fn own_tokens(&self) -> u64 {
        self.tokens_in.saturating_sub(self.shared_tokens())
    }
}

/// Why a request head can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestHeadError {
    /// It has no identifier, or more than one.
    #[error("give the request one identifier")]
    Id,
    /// Its deadline is not a number of milliseconds.
    #[error("give the deadline as a whole number of milliseconds")]
    Deadline,
    /// Its piece counts can't be parsed.
    #[error("give a number of pieces for each stage")]
    Pieces,
    /// The id of the last event is not a number.
    #[error("give the last event's id as a whole number")]
    LastEvent,
}

/// The fields that the host adds to a request that it forwards to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardFields<'a> {
    /// Time that the target has.
    pub deadline: Ms,
    /// The target that the request is meant for.
    pub target: &'a str,
    /// The workspace whose request it is.
    pub workspace: Option<&'a str>,
    /// Handles of the results of its last stages, which the target reads.
    pub inputs: &'a [String],
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Address of another engine that has already read this subject, to copy its memory from.
    pub fetch: Option<SocketAddr>,
}

/// The load that a target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Its present service time relative to the normal one, percent; none if it doesn't say.
    pub pace: Option<u32>,
}

/// What a target reports about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Its load.
    pub load: Option<Load>,
    /// Requests per second that it accepts from all hosts together; none if it names no limit.
    pub limit: Option<f64>,
    /// Whether it is about to shut down.
    pub leaving: bool,
    /// Set if it rejected the request: the time for which this host must send it nothing.
    pub pause: Option<Ms>,
}

/// The head of a target's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// False if it names another request, so that it isn't the response to this one.
    pub same_request: bool,
    /// Whether the target signed it.
    pub signed: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the target did not run it because its inputs no longer exist.
    pub inputs_gone: bool,
    /// Whether the address now belongs to another target.
    pub moved: bool,
    /// Whether the body has a content encoding, which no request asks for.
    pub encoded: bool,
    /// What the target reports about itself.
    pub notice: Notice,
    /// Time for which the target keeps the connection open when it is idle.
    pub keep_alive: Option<Ms>,
}

/// A call to a stage target.
#[derive(Clone, Debug)]
pub struct StageCall<'a> {
    /// The target that the call is meant for.
    pub target: &'a str,
    /// The pieces to compute.
    pub pieces: &'a [Piece],
    /// The current time, from which the remaining time of each piece is computed.
    pub now: Ms,
}

/// Parses and writes requests, responses and stage calls.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Headers for the target: the caller's, except those that only the system may set, plus
    /// `fields`.
    fn forward_headers(&self, caller: &HeaderMap, fields: &ForwardFields<'_>) -> HeaderMap;

    /// Parses the head of a target's response to the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead;

    /// The headers of a target's response that are passed on to the caller.
    fn response_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Headers of a response by which the host itself refuses a request.
    fn refusal_headers(&self, id: &str, retry_after: Option<Ms>) -> HeaderMap;

    /// The header that tells a caller for how long its connection may be idle; none for a time that
    /// it can't express.
    fn keep_alive_header(&self, idle: Ms) -> Option<(HeaderName, HeaderValue)>;

    /// The request of a call to a stage target.
    fn stage_call(&self, call: &StageCall<'_>) -> Request<Bytes>;

    /// The outcome of a stage call.
    fn parse_stage_response(&self, status: StatusCode, head: &ResponseHead, body: &[u8])
    -> CallEnd;

    /// The request that releases results on a stage target.
    fn stage_free(&self, target: &str, handles: &[String]) -> Request<Bytes>;

    /// The request by which a target reports about itself.
    fn report_call(&self, target: &str) -> Request<Bytes>;

    /// A health check of a target at this path.
    fn health_call(&self, target: &str, path: &str) -> Request<Bytes>;

    /// When a target started, from its report, in ms since the Unix epoch; none if it doesn't say.
    fn parse_report(&self, body: &[u8]) -> Option<u64>;

    /// What a stage target reports of its memory and its calls; none if a figure is missing or
    /// implausible.
    fn parse_stage_report(&self, body: &[u8]) -> Option<TargetReport>;

    /// Path at which the platform checks whether the host is ready for requests.
    fn ready_path(&self) -> &'static str;
}
