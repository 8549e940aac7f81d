//! The border to how callers and targets speak.

use bytes::Bytes;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode};
use sched::batch::{CallEnd, Piece};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;

use base::Ms;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content: prompts that share it have the same.
    pub id: u64,
    /// Its length, tokens.
    pub tokens: u64,
}

/// What a caller asks for, beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's name for this attempt.
    pub id: Arc<str>,
    /// Time that the caller will wait; none when it doesn't say.
    pub deadline: Option<Ms>,
    /// The caller's key.
    pub key: Option<String>,
    /// The prompt's parts, the shared ones first.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub tokens_in: u64,
    /// Most tokens of the answer.
    pub tokens_out: u64,
    /// Pieces of each stage; missing ones count as one.
    pub pieces: Vec<u32>,
    /// Names the input of stages that read no other stage.
    pub piece_key: Option<Arc<str>>,
    /// The last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

impl RequestHead {
    /// The last part of the prompt that other requests share: what the request is about.
    pub fn subject(&self) -> u64 {
        let shared = self.prompt.len().saturating_sub(2);
        self.prompt.get(shared).map_or(0, |part| part.id)
    }

    /// Tokens of the prompt that requests share.
    pub fn shared_tokens(&self) -> u64 {
        let own = self.prompt.len().saturating_sub(1);
        self.prompt[..own].iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the prompt that no engine has read yet.
    pub fn own_tokens(&self) -> u64 {
        self.tokens_in.saturating_sub(self.shared_tokens())
    }
}

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestHeadError {
    /// It has no name, or more than one.
    #[error("give the request one identifier")]
    Id,
    /// Its deadline is no number of milliseconds.
    #[error("give the deadline as a whole number of milliseconds")]
    Deadline,
    /// Its piece counts can't be read.
    #[error("give a number of pieces for each stage")]
    Pieces,
    /// The last event is no number.
    #[error("give the last event's id as a whole number")]
    LastEvent,
}

/// What the system adds to a request on its way to a target.
#[derive(Clone, Copy, Debug)]
pub struct ForwardFields<'a> {
    /// Time that the target has, ms.
    pub deadline: Ms,
    /// The target that is meant.
    pub target: &'a str,
    /// Whose request it is.
    pub workspace: Option<&'a str>,
    /// Handles of the results of its last stages.
    pub inputs: &'a [String],
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Another engine that keeps what requests about this subject have read.
    pub fetch: Option<SocketAddr>,
}

/// A target's word on its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// What a target says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Its load.
    pub load: Option<Load>,
    /// Requests a second that it takes from all hosts together; none where it names no limit.
    pub limit: Option<f64>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// It has turned the request away, and wants nothing from this host for so long.
    pub pause: Option<Ms>,
}

/// The head of a target's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// False when it names another request: it isn't the answer to this one.
    pub same_request: bool,
    /// Whether the target signed it.
    pub signed: bool,
    /// Whether it says that the target did not run the request.
    pub not_run: bool,
    /// Whether it did not run it because inputs are gone.
    pub inputs_gone: bool,
    /// Whether the address belongs to another target now.
    pub moved: bool,
    /// Whether the body is in a coding that nobody asked for.
    pub encoded: bool,
    /// What the target says of itself.
    pub notice: Notice,
    /// Time for which the target keeps the idle connection.
    pub keep_alive: Option<Ms>,
}

/// A call to a stage target.
#[derive(Clone, Debug)]
pub struct StageCall<'a> {
    /// The target that is meant.
    pub target: &'a str,
    /// What to make.
    pub pieces: &'a [Piece],
    /// The time now, for what is left to each piece.
    pub now: Ms,
}

/// How requests, answers and stage calls are written.
pub trait Dialect: Send + Sync {
    /// Reads a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, RequestHeadError>;

    /// Headers for the target: the caller's, less what is the system's to set, plus `onward`.
    fn forward_headers(&self, caller: &HeaderMap, onward: &ForwardFields<'_>) -> HeaderMap;

    /// Reads the head of a target's answer to the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead;

    /// Headers of a target's answer that the caller gets.
    fn response_headers(&self, target: &HeaderMap) -> HeaderMap;

    /// Headers of an answer of the system's own.
    fn refusal_headers(&self, id: &str, retry_after: Option<Ms>) -> HeaderMap;

    /// A call to a stage target.
    fn stage_call(&self, call: &StageCall<'_>) -> Request<Bytes>;

    /// What came of a stage call.
    fn parse_stage_response(&self, status: StatusCode, head: &ResponseHead, body: &[u8]) -> CallEnd;

    /// A call that gives results up.
    fn stage_free(&self, target: &str, handles: &[String]) -> Request<Bytes>;

    /// Path at which the platform asks whether the host takes requests.
    fn ready_path(&self) -> &'static str;
}
