//! Error responses to callers, as `application/problem+json`.

use base::{Ms, RequestId};
use hyper::{Response, StatusCode, header};
use link::{Body, full};
use policy::{Code, Ledger, Refusal};
use wire::Problem;

use crate::error::CallerError;

/// Response to an invalid request. `uncertain` says that an earlier send of the request may have
/// run.
pub(crate) fn invalid_request(err: &CallerError, uncertain: bool) -> Response<Body> {
    let retry_after =
        matches!(err, CallerError::NotReady | CallerError::NoRoom).then_some(Ms::secs(1));
    let mut ledger = Ledger::default();
    ledger.refused_unregistered(uncertain);
    let ran = ledger.verdict().as_str();
    response(problem(err.status(), err.code(), ran, err.to_string(), retry_after), retry_after)
}

/// Response to a request that was refused or given up on.
pub(crate) fn refused(request: RequestId, refusal: &Refusal) -> Response<Body> {
    response(body(request, refusal), refusal.retry_after)
}

/// Only the problem, for event streams.
pub(crate) fn body(request: RequestId, refusal: &Refusal) -> Problem {
    let (status, detail) = status_and_detail(refusal.code);
    let ran = refusal.ran.as_str();
    let mut out = problem(status, code(refusal.code), ran, detail.to_owned(), refusal.retry_after);
    out.request = request.to_string();
    out
}

/// The error code that callers match on.
pub(crate) fn code(code: Code) -> &'static str {
    match code {
        Code::Overloaded => "overloaded",
        Code::OverShare => "over_share",
        Code::Hopeless => "hopeless",
        Code::DeadlinePassed => "deadline_passed",
        Code::NoTarget => "no_target",
        Code::StageFailed => "stage_failed",
        Code::Poison => "poison",
        Code::OutcomeUnknown => "outcome_unknown",
        Code::Running => "running",
        Code::KeyExpired => "key_expired",
        Code::JournalUnavailable => "journal_unavailable",
        Code::Draining => "draining",
        Code::CallerGone => "caller_gone",
    }
}

fn status_and_detail(code: Code) -> (StatusCode, &'static str) {
    match code {
        Code::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "there is no room for it in time"),
        Code::OverShare => {
            (StatusCode::TOO_MANY_REQUESTS, "the workspace is past its share while others wait")
        }
        Code::Hopeless => {
            (StatusCode::SERVICE_UNAVAILABLE, "the time left is shorter than its stages take")
        }
        Code::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "the deadline passed"),
        Code::NoTarget => (StatusCode::SERVICE_UNAVAILABLE, "no target can run a stage now"),
        Code::StageFailed => (StatusCode::BAD_GATEWAY, "a stage failed"),
        Code::Poison => {
            (StatusCode::UNPROCESSABLE_ENTITY, "it brings down the targets that run it")
        }
        Code::OutcomeUnknown => (
            StatusCode::BAD_GATEWAY,
            "it was sent and its outcome can't be told; it won't run again",
        ),
        Code::Running => {
            (StatusCode::CONFLICT, "the same key is running; ask again for its answer")
        }
        Code::KeyExpired => {
            (StatusCode::BAD_REQUEST, "the key is too old, or its time is ahead; make a new one")
        }
        Code::JournalUnavailable => {
            (StatusCode::SERVICE_UNAVAILABLE, "its key can't be recorded now")
        }
        Code::Draining => (StatusCode::SERVICE_UNAVAILABLE, "this host is stopping; ask another"),
        Code::CallerGone => (StatusCode::BAD_REQUEST, "the caller has gone"),
    }
}

fn problem(
    status: StatusCode,
    code: &str,
    ran: &str,
    detail: String,
    retry_after: Option<Ms>,
) -> Problem {
    Problem {
        r#type: format!("urn:siskinwheel:{code}"),
        title: status.canonical_reason().unwrap_or_default().to_owned(),
        status: u32::from(status.as_u16()),
        detail,
        code: code.to_owned(),
        ran: ran.to_owned(),
        request: String::new(),
        retry_after_ms: retry_after.map_or(0, |ms| ms.0),
    }
}

fn response(problem: Problem, retry_after: Option<Ms>) -> Response<Body> {
    let bytes = serde_json::to_vec(&problem).unwrap_or_default();
    let mut out = Response::new(full(bytes));
    *out.status_mut() =
        StatusCode::from_u16(problem.status as u16).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = out.headers_mut();
    let kind = header::HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, kind);
    if let Some(Ms(ms)) = retry_after {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(ms.div_ceil(1000)));
    }
    out
}
