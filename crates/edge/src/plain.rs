//! Requests with one whole answer.

use base::Ms;
use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response};
use logs::note;
use sched::health::Outcome;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::body::{ResponseBody, full_body};
use crate::choose::{Want, choose};
use crate::core::Core;
use crate::dialect::ForwardFields;
use crate::links::Link;
use crate::refusal::{Reason, give_up};
use crate::request::Call;
use crate::send::{Answered, SendFault, send};

/// Largest answer that is read, bytes: it is held whole, so that a cut answer is never begun.
const ANSWER_BYTES: usize = 16 << 20;
/// How long a target may take before an idempotent request goes to another, as a multiple of the
/// route's aim: past that it is late anyway, and the second target has the rest of the time.
const PATIENCE: (u64, u64) = (3, 2);
/// Targets that are asked at most, those that did not run it included.
const SENDS: usize = 4;

/// How one send of it ended.
enum Tried {
    /// An answer that the caller may have.
    Whole(Response<ResponseBody>),
    /// The target says that it failed; another may do better.
    Failed(Response<ResponseBody>),
    /// It was not sent: the target was closed to it by then.
    Barred,
    /// It did not run.
    NotRun,
    /// It may have run.
    Lost,
}

/// Runs it and gives the caller's answer.
pub(crate) async fn run(core: &Core, call: &Call) -> Response<ResponseBody> {
    let again = call.route.repeat.is_idempotent();
    let mut tried: Vec<Arc<Link>> = Vec::new();
    let (mut sends, mut runs, mut failed) = (0, 0, None);
    let reason = loop {
        let now = core.clock.now();
        let left = call.left(now);
        if left == Ms::ZERO {
            break if runs > 0 { Reason::Timeout } else { Reason::NoTime };
        }
        if sends > 0 && !core.budget().take(now, &call.service) {
            break if runs > 0 { Reason::Failed } else { Reason::NoTarget };
        }
        let want = Want::Plain { risky: !again };
        let link = match choose(core, call, want, &tried) {
            Ok(link) => link,
            Err(barrier) => break if runs > 0 { Reason::Failed } else { barrier.into() },
        };
        let more = again && runs + 1 < call.route.attempts;
        let wait = match more {
            true => call.route.aim.scale(PATIENCE.0, PATIENCE.1).min(left),
            false => left,
        };
        let result = once(core, call, &link, wait).await;
        tried.push(link.clone());
        sends += u32::from(!matches!(result, Tried::Barred));
        match result {
            Tried::Whole(response) => return response,
            Tried::Barred | Tried::NotRun => {}
            Tried::Failed(response) => {
                runs += 1;
                failed = Some((response, link));
            }
            Tried::Lost => runs += 1,
        }
        let may = runs == 0 || (again && runs < call.route.attempts);
        if !may || tried.len() >= SENDS {
            let timeout = call.left(core.clock.now()) == Ms::ZERO;
            break match () {
                () if runs == 0 => Reason::NoTarget,
                () if timeout => Reason::Timeout,
                () => Reason::Failed,
            };
        }
    };
    // A target's own failure says more than ours.
    if let Some((response, target)) = failed {
        passed_on(core, call, &response, &target, runs);
        return response;
    }
    give_up(core, call, reason, tried.len(), runs)
}

fn passed_on(core: &Core, call: &Call, response: &Response<ResponseBody>, target: &Link, runs: u32) {
    let now = core.clock.now();
    note!(
        logs::Event::FailurePassedOn,
        request = %call.head.id,
        route = %call.route.name,
        target = target.name(),
        status = response.status().as_u16(),
        took_ms = (now - call.arrived).0,
        left_ms = call.left(now).0,
        runs
    );
}

async fn once(core: &Core, call: &Call, link: &Arc<Link>, wait: Ms) -> Tried {
    let begun = core.clock.now();
    let build = || call.target_request(headers(core, call, link, &[], call.head.last_event, None));
    let result = send(core, link, &call.head.id, wait, build).await;
    let answered = match result {
        Ok(answered) => answered,
        Err(fault) => return lost(core, call, link, fault),
    };
    let head = answered.head;
    if head.not_run {
        let outcome = if head.moved { Outcome::NoConnection } else { Outcome::Full };
        link.record(core.clock.now(), outcome);
        core.metrics.sent(&call.route.name, "not_run");
        answered.lease.close();
        return Tried::NotRun;
    }
    let Ok((parts, body)) = read(answered, begun + wait - core.clock.now()).await else {
        link.record(core.clock.now(), Outcome::Broken);
        return lost(core, call, link, SendFault::Broken);
    };
    let now = core.clock.now();
    let status = parts.status;
    let sound = !status.is_success() || (head.signed && !head.encoded);
    if !sound {
        link.record(now, Outcome::Broken);
        return lost(core, call, link, SendFault::Mismatch);
    }
    let response = answer(core, &parts, body);
    if status.is_server_error() {
        link.record(now, Outcome::Failed);
        core.metrics.sent(&call.route.name, "failed");
        return Tried::Failed(response);
    }
    link.record(now, Outcome::Good(now - begun));
    core.poison().clear(call.fingerprint);
    core.metrics.sent(&call.route.name, "good");
    core.metrics.answered(&call.route.name, now - call.arrived, call.route.aim);
    let late = now - call.arrived - call.route.aim;
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
    Tried::Whole(response)
}

async fn read(answered: Answered, wait: Ms) -> Result<(Parts, Bytes), link::LinkError> {
    let Answered { parts, body, lease, .. } = answered;
    let read = link::read(body, ANSWER_BYTES);
    let body = tokio::time::timeout(wait.duration(), read)
        .await
        .map_err(|_| link::LinkError::Silent)??;
    lease.close();
    Ok((parts, body))
}

fn lost(core: &Core, call: &Call, link: &Link, fault: SendFault) -> Tried {
    note!(
        logs::Event::AttemptFailed,
        request = %call.head.id,
        target = link.name(),
        fault = fault.name(),
        left_ms = call.left(core.clock.now()).0
    );
    core.metrics.sent(&call.route.name, fault.name());
    if fault == SendFault::Broken {
        report_crash(core, call, link);
    }
    match fault {
        SendFault::Barred(_) => Tried::Barred,
        _ if fault.unsent() => Tried::NotRun,
        _ => Tried::Lost,
    }
}

/// A target broke its connection while it owed the answer: if the request is to blame, all hosts
/// must know.
pub(crate) fn report_crash(core: &Core, call: &Call, link: &Link) {
    let now = core.clock.now();
    let life = link.life();
    let news = core.poison().record(now, call.fingerprint, &life);
    if news {
        core.members.queue_crash(call.fingerprint, &life);
    }
}

/// Headers for a target.
pub(crate) fn headers(
    core: &Core,
    call: &Call,
    link: &Link,
    inputs: &[String],
    last_event: Option<u64>,
    fetch: Option<SocketAddr>,
) -> HeaderMap {
    let onward = ForwardFields {
        deadline: call.left(core.clock.now()),
        target: link.name(),
        workspace: call.workspace.as_ref().map(|w| w.name.as_str()),
        inputs,
        last_event,
        fetch,
    };
    core.dialect.forward_headers(&call.parts.headers, &onward)
}

fn answer(core: &Core, parts: &Parts, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = core.dialect.response_headers(&parts.headers);
    response
}
