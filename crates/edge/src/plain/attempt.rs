//! One attempt of a plain request at one target.

use base::Ms;
use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use link::BodyError;
use logs::note;
use memory::Charge;
use sched::health::Outcome;
use std::sync::Arc;

use super::headers;
use super::second::record_unanswered;
use crate::body::{ResponseBody, full_body, is_framed};
use crate::core::Core;
use crate::diagnose;
use crate::links::Link;
use crate::request::Call;
use crate::send::{Answered, Lease, SendFault, Sending, Via, Wait, send};
use crate::unread::Retries;

/// Largest response in bytes. A response is buffered completely, so that one that ends early is
/// never passed on in part.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The outcome of one attempt.
pub(super) enum Attempt {
    /// A response to pass on to the caller.
    Answered(Response<ResponseBody>),
    /// The target reports that it failed; another one may succeed.
    Failed(Response<ResponseBody>),
    /// The request was not sent: by then the target could no longer get it.
    Blocked,
    /// The request was not sent: its new connection has not proved itself.
    Unproved,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Lost,
    /// The request has run, and there is no room for its answer.
    NoRoom,
}

/// Sends a request to a target at `started` and waits for its response until the request's time is
/// over.
pub(super) async fn attempt(
    core: &Arc<Core>,
    call: &Call,
    link: &Arc<Link>,
    started: Ms,
    via: Via,
    retries: &Arc<Retries>,
) -> Attempt {
    let wait = Wait::Deadline(call.left(started));
    let build = || call.target_request(headers(core, call, link, &[], call.head.last_event, None));
    let exposed = [call.suspects.exposed()];
    let request = Sending { id: &call.head.id, exposed: &exposed, retries: Some(retries) };
    let result = send(core, link, &call.residency, request, wait, via, build).await;
    let answered = match result {
        Ok(answered) => answered,
        Err(fault) => return failed(core, call, link, started, fault),
    };
    let head = answered.head;
    if head.not_run {
        let outcome = if head.moved { Outcome::NoConnection } else { Outcome::Full };
        link.record(core.clock.now(), outcome);
        core.metrics.sent(&call.route.name, "not_run");
        answered.lease.close();
        return Attempt::NotRun;
    }
    let mut charge = call.charge.for_answer();
    let read = read(answered, call.left(core.clock.now()), &mut charge).await;
    let (parts, body, lease) = match read {
        Ok(read) => read,
        Err(Unread::NoRoom) => {
            core.metrics.sent(&call.route.name, "no_room");
            return Attempt::NoRoom;
        }
        Err(Unread::Silent) => return failed(core, call, link, started, SendFault::Silent),
        Err(Unread::Broken) => {
            link.record(core.clock.now(), Outcome::Broken);
            return failed(core, call, link, started, SendFault::Broken);
        }
    };
    let now = core.clock.now();
    let status = parts.status;
    // The end of any other answer may be that of its target.
    let framed = is_framed(&parts.headers);
    if framed {
        lease.close();
    } else {
        lease.close_unframed();
    }
    let valid = !status.is_success() || (head.signed && !head.encoded);
    if !valid {
        link.record(now, Outcome::Broken);
        return failed(core, call, link, started, SendFault::Mismatch);
    }
    let mut response = build_response(core, &parts, body);
    response.extensions_mut().insert(Arc::new(charge));
    if status.is_server_error() {
        link.record(now, Outcome::Failed);
        core.metrics.sent(&call.route.name, "failed");
        return Attempt::Failed(response);
    }
    link.record(now, Outcome::Good(now - started));
    if framed && status.is_success() {
        diagnose::request_is_sound(core, call.suspects.key(), started);
    }
    record_served(core, call, link, now);
    Attempt::Answered(response)
}

fn record_served(core: &Core, call: &Call, link: &Link, now: Ms) {
    core.metrics.sent(&call.route.name, "good");
    core.metrics.answered(&call.route.name, now - call.arrived, call.route.latency_goal);
    let late = now - call.arrived - call.route.latency_goal;
    if let Some(stands_for) = core.sample(late > Ms::ZERO) {
        note!(
            logs::Event::RequestServed,
            request = %call.head.id,
            route = %call.route.name,
            version = call.catalog.version,
            target = link.name(),
            took_ms = (now - call.arrived).0,
            late_ms = late.0,
            stands_for
        );
    }
}

/// Why an answer was not read to its end.
enum Unread {
    /// Its target stopped.
    Silent,
    /// Its target broke it off, or it is too large.
    Broken,
    /// This host has no room for it.
    NoRoom,
}

async fn read(
    answered: Answered,
    timeout: Ms,
    charge: &mut Charge,
) -> Result<(Parts, Bytes, Lease), Unread> {
    let Answered { parts, body, mut lease, .. } = answered;
    let read = link::read_counted(body, MAX_RESPONSE_BYTES, charge);
    let read = tokio::time::timeout(timeout.duration(), read).await;
    match read.map_err(|_| Unread::Silent)? {
        Ok(body) => Ok((parts, body, lease)),
        Err(BodyError::Full(_)) => Err(Unread::NoRoom),
        Err(BodyError::Broken | BodyError::TooLarge) => {
            lease.broken();
            Err(Unread::Broken)
        }
    }
}

fn failed(
    core: &Arc<Core>,
    call: &Call,
    link: &Arc<Link>,
    started: Ms,
    fault: SendFault,
) -> Attempt {
    note!(
        logs::Event::AttemptFailed,
        request = %call.head.id,
        key = format!("{:x}", call.suspects.key()),
        target = link.name(),
        fault = fault.name(),
        left_ms = call.left(core.clock.now()).0
    );
    core.metrics.sent(&call.route.name, fault.name());
    if fault == SendFault::Silent {
        record_unanswered(core, link, started);
    }
    match fault {
        SendFault::Blocked(_) => Attempt::Blocked,
        SendFault::Unproved => Attempt::Unproved,
        _ if fault.unsent() => Attempt::NotRun,
        _ => Attempt::Lost,
    }
}

fn build_response(core: &Core, parts: &Parts, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = core.dialect.response_headers(&parts.headers);
    response
}
