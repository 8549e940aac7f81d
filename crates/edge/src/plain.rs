//! Runs requests with a plain response, which is read completely before it is passed on, and
//! retries them at other targets.
//!
//! A target may be silent for a moment and go on. So one that does not answer in time keeps the
//! request while another one is tried, and the first valid response counts.

mod attempt;
mod second;

use base::Ms;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use hyper::{HeaderMap, Response};
use logs::note;
use sched::budget::Spender;
use std::net::SocketAddr;
use std::sync::Arc;

use self::attempt::{Attempt, attempt};
use self::second::Second;
use crate::body::ResponseBody;
use crate::connections::{Found, Permit, acquire};
use crate::core::Core;
use crate::dialect::ForwardFields;
use crate::gate::BlockReason;
use crate::links::Link;
use crate::refusal::{Reason, give_up};
use crate::request::Call;
use crate::send::{IfClosed, Via};
use crate::unread::Retries;

/// Largest number of targets that are tried for one request, including those that did not run it.
const MAX_TARGETS: usize = 4;

/// An attempt that has not ended.
struct Pending {
    link: Arc<Link>,
    sent: Ms,
    /// For how long this host had not run until then.
    lost: Ms,
}

/// A target, and how its attempt ended.
type Ended = (Arc<Link>, Attempt);

/// The attempts that have not ended.
type Open<'a> = FuturesUnordered<BoxFuture<'a, Ended>>;

/// What a request waits for while an attempt is open.
enum Step {
    Ended(Ended),
    Found(Second),
    /// The request is known to end targets.
    Poisoned(BlockReason),
}

/// A request at its targets.
struct Run<'a> {
    core: &'a Arc<Core>,
    call: &'a Call,
    idempotent: bool,
    tried: Vec<Arc<Link>>,
    pending: Vec<Pending>,
    retries: Arc<Retries>,
    /// Number of sends, those that are pending included.
    sends: u32,
    /// Sends after which a retry was taken from the budget. A pass without a send takes no other one.
    charged: u32,
    /// Number of attempts that have ended and that the target may have run.
    runs: u32,
    /// A target's own failure response.
    failed: Option<(Response<ResponseBody>, Arc<Link>)>,
}

/// Runs a request and returns the response to the caller.
pub(crate) async fn run(core: &Arc<Core>, call: &Call) -> Response<ResponseBody> {
    let mut run = Run {
        core,
        call,
        idempotent: call.route.retry_safety.is_idempotent(),
        tried: Vec::new(),
        pending: Vec::new(),
        retries: Retries::new(core, &call.service, Spender::Requests),
        sends: 0,
        charged: 0,
        runs: 0,
        failed: None,
    };
    match run.answer().await {
        Ok(response) => response,
        Err(reason) => run.refuse(reason),
    }
}

impl<'a> Run<'a> {
    /// The response of the first target that gives a valid one.
    async fn answer(&mut self) -> Result<Response<ResponseBody>, Reason> {
        let mut open = Open::new();
        loop {
            if open.is_empty() {
                let found = self.next_target().await?;
                open.push(self.begin(found, false));
            }
            let second = second::find(self.core, self.call, &self.tried, self.pending.last());
            let step = tokio::select! {
                biased;
                // First: nothing may be written once the request is known to end targets.
                blocked = self.core.poisoned(&self.call.suspects) => Step::Poisoned(blocked),
                Some(ended) = open.next() => Step::Ended(ended),
                second = second, if self.may_run_again() => Step::Found(second),
            };
            match step {
                Step::Ended((link, Attempt::Answered(response))) => {
                    self.drop_others(&link);
                    return Ok(response);
                }
                Step::Ended((link, result)) => self.record_end(link, result)?,
                Step::Poisoned(blocked) => return Err(blocked.into()),
                Step::Found(second) if self.charge() => {
                    second::note_found(self.core, self.call, &second);
                    open.push(self.begin(second.found, second.new_connection));
                }
                Step::Found(_) => {}
            }
        }
    }

    /// The target for an attempt when no other one is open.
    async fn next_target(&mut self) -> Result<Found, Reason> {
        if self.left() == Ms::ZERO {
            return Err(if self.runs > 0 { Reason::Timeout } else { Reason::NoTime });
        }
        let denied = if self.runs > 0 { Reason::Failed } else { Reason::NoTarget };
        if self.must_charge() && !second::retry_left(self.core, self.call) {
            self.core.metrics.retry(self.call.service.as_str(), "denied");
            return Err(denied);
        }
        self.core.verdict(&self.call.suspects).await;
        let found = tokio::select! {
            biased;
            blocked = self.core.poisoned(&self.call.suspects) => return Err(blocked.into()),
            found = acquire(self.core, self.call, &self.tried) => found,
        };
        let found = found.map_err(|reason| if self.runs > 0 { Reason::Failed } else { reason })?;
        match self.left() {
            // It waited for the connection until its time was over.
            Ms::ZERO if self.runs > 0 => Err(Reason::Timeout),
            Ms::ZERO => Err(Reason::NoTime),
            _ if self.charge() => Ok(found),
            _ => Err(denied),
        }
    }

    fn left(&self) -> Ms {
        self.call.left(self.core.clock.now())
    }

    const fn must_charge(&self) -> bool {
        self.sends > self.charged
    }

    /// Takes a retry from the budget, unless this is the first send. Returns whether it may be sent.
    fn charge(&mut self) -> bool {
        if !self.must_charge() {
            return true;
        }
        let granted = self.retries.take();
        if granted {
            self.charged = self.sends;
        }
        granted
    }

    fn begin(&mut self, found: Found, new_connection: bool) -> BoxFuture<'a, Ended> {
        let (core, call) = (self.core, self.call);
        let (link, permit) = found;
        let (sent, lost) = (core.clock.now(), core.pauses.lost());
        self.sends += 1;
        self.tried.push(link.clone());
        self.pending.push(Pending { link: link.clone(), sent, lost });
        let via = via(permit, new_connection);
        let retries = self.retries.clone();
        Box::pin(async move {
            let result = attempt(core, call, &link, sent, via, &retries).await;
            (link, result)
        })
    }

    /// Whether another target may run the request as well.
    fn may_run_again(&self) -> bool {
        let runs = self.runs as usize + self.pending.len();
        self.idempotent
            && runs < self.call.route.attempts as usize
            && self.tried.len() < MAX_TARGETS
    }

    /// Records how an attempt ended without a valid response. An error if the request can't be sent
    /// again.
    fn record_end(&mut self, link: Arc<Link>, result: Attempt) -> Result<(), Reason> {
        self.pending.retain(|p| !Arc::ptr_eq(&p.link, &link));
        match result {
            Attempt::Unproved => {
                // The target opens no connection for now, and can have the request on another one.
                self.sends -= 1;
                self.tried.retain(|tried| !Arc::ptr_eq(tried, &link));
                return Ok(());
            }
            Attempt::Blocked => self.sends -= 1,
            Attempt::Answered(_) | Attempt::NotRun => {}
            Attempt::Failed(response) => {
                self.runs += 1;
                self.failed = Some((response, link));
            }
            Attempt::Lost => self.runs += 1,
            Attempt::NoRoom => {
                self.runs += 1;
                return Err(Reason::Failed);
            }
        }
        let retryable = self.runs == 0 || (self.idempotent && self.runs < self.call.route.attempts);
        match () {
            () if !self.pending.is_empty() => Ok(()),
            () if retryable && self.tried.len() < MAX_TARGETS => Ok(()),
            () if self.runs == 0 => Err(Reason::NoTarget),
            () if self.left() == Ms::ZERO => Err(Reason::Timeout),
            () => Err(Reason::Failed),
        }
    }

    /// Records that the attempts at other targets than the one that has answered are dropped. This
    /// closes their connections, so that these targets stop working on the request.
    fn drop_others(&mut self, answered: &Arc<Link>) {
        for pending in self.pending.drain(..).filter(|p| !Arc::ptr_eq(&p.link, answered)) {
            second::record_dropped(self.core, self.call, &pending);
        }
    }

    /// The response when no target has given a valid one.
    fn refuse(self, reason: Reason) -> Response<ResponseBody> {
        // A target's own failure response tells the caller more than one of this host.
        match self.failed {
            Some((response, target)) => {
                note_passed_on(self.core, self.call, &response, &target, self.runs);
                response
            }
            None => give_up(self.core, self.call, reason, self.tried.len(), self.runs),
        }
    }
}

fn via(permit: Option<Permit>, new_connection: bool) -> Via {
    match permit {
        Some(mut permit) => {
            if new_connection {
                permit.renew();
            }
            Via::Permit(permit)
        }
        None if new_connection => Via::New,
        None => Via::Pool(IfClosed::Reopen),
    }
}

fn note_passed_on(
    core: &Core,
    call: &Call,
    response: &Response<ResponseBody>,
    target: &Link,
    runs: u32,
) {
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

/// The headers of a request to a target.
pub(crate) fn headers(
    core: &Core,
    call: &Call,
    link: &Link,
    inputs: &[String],
    last_event: Option<u64>,
    fetch: Option<SocketAddr>,
) -> HeaderMap {
    let fields = ForwardFields {
        deadline: call.left(core.clock.now()),
        target: link.name(),
        workspace: call.workspace.as_ref().map(|w| w.name.as_str()),
        inputs,
        last_event,
        fetch,
    };
    core.dialect.forward_headers(&call.parts.headers, &fields)
}
