//! A second attempt of a request beside one that is not answered in time.
//!
//! While both are open, the request holds a slot and a connection at two targets. That is worth it
//! if the first target is down or silent. If it is only slow because its service is overloaded, each
//! second run delays the first run of another request, and more of them become slow. So:
//!
//! - The retry budget bounds the share of requests that are sent twice.
//! - A target that has answered other requests meanwhile is slow, not silent. Then the second
//!   attempt needs a target with a free slot, and a connection that no other request waits for.
//! - The first valid response ends all other attempts.

use base::Ms;
use logs::note;
use sched::budget::Spender;
use sched::health::{Outcome, Unanswered};
use std::future::pending;
use std::sync::Arc;

use super::Pending;
use crate::connections::{Found, acquire, acquire_spare, answers_anew};
use crate::core::Core;
use crate::links::Link;
use crate::refusal::Reason;
use crate::request::Call;

/// Time after which an idempotent request is also sent to another target, as a fraction (numerator
/// and denominator) of the route's latency goal. After that time the response is late anyway, and
/// the second target has the rest of the time.
const ATTEMPT_TIMEOUT: (u64, u64) = (3, 2);
/// Interval between searches for a second target.
const SEARCH_INTERVAL: Ms = Ms(50);
/// Shortest extra wait after a search that found the queue for connections too long. Each such
/// search writes a log line, so they are made less often.
const MIN_CONNECTION_WAIT: Ms = Ms(250);

/// Time within which an answer on a new connection may overtake those on others.
const OVERTAKE_TIME: Ms = Ms(50);

/// A second target.
pub(super) struct Second {
    pub(super) found: Found,
    /// Whether the request must be sent on a new connection: idle ones may be lost, as may be the one
    /// on which the first target is silent.
    pub(super) new_connection: bool,
}

/// Finds a target for another attempt, once the `last` one is not answered in time.
pub(super) async fn find(
    core: &Arc<Core>,
    call: &Call,
    tried: &[Arc<Link>],
    last: Option<&Pending>,
) -> Second {
    let Some(last) = last else { return pending().await };
    overdue(core, call, last).await;
    let mut denied = false;
    loop {
        let silent = is_silent(core, last);
        match retry_left(core, call) {
            true => {
                if let Some(found) = search(core, call, tried, silent).await {
                    return Second { found, new_connection: silent };
                }
            }
            false if denied => {}
            false => {
                denied = true;
                core.metrics.retry(call.service.as_str(), "denied");
            }
        }
        tokio::time::sleep(SEARCH_INTERVAL.duration()).await;
    }
}

/// Waits until an attempt is not answered in time. Time for which this host did not run is not the
/// target's: its response may have arrived meanwhile.
async fn overdue(core: &Core, call: &Call, last: &Pending) {
    let timeout = call.route.latency_goal.scale(ATTEMPT_TIMEOUT.0, ATTEMPT_TIMEOUT.1);
    loop {
        let paused = (core.pauses.lost() - last.lost).min(timeout);
        let rest = last.sent + timeout + paused - core.clock.now();
        if rest == Ms::ZERO {
            return;
        }
        tokio::time::sleep(rest.duration()).await;
    }
}

async fn search(core: &Arc<Core>, call: &Call, tried: &[Arc<Link>], silent: bool) -> Option<Found> {
    if !silent {
        return acquire_spare(core, call, tried);
    }
    match acquire(core, call, tried).await {
        Ok(found) => Some(found),
        // The queue for connections is too long at the moment.
        Err(Reason::Connections(wait)) => {
            tokio::time::sleep(wait.max(MIN_CONNECTION_WAIT).duration()).await;
            None
        }
        Err(_) => None,
    }
}

/// Whether a retry is left in the budget.
pub(super) fn retry_left(core: &Core, call: &Call) -> bool {
    core.budget(Spender::Requests).has_left(core.clock.now(), &call.service)
}

/// Whether the target of an overdue attempt answers nothing.
fn is_silent(core: &Arc<Core>, attempt: &Pending) -> bool {
    let unanswered = attempt.link.health().unanswered(core.clock.now(), attempt.sent);
    check(core, &attempt.link, attempt.sent, unanswered);
    unanswered != Unanswered::Slow
}

/// Drops the idle connections to a target on which nothing may pass any more, because a device on the
/// network path has lost their state.
fn check(core: &Arc<Core>, link: &Arc<Link>, sent: Ms, unanswered: Unanswered) {
    match unanswered {
        // Those that were in use have carried answers.
        Unanswered::Slow => link.pool.clear_idle(core.clock.now() - sent),
        Unanswered::Silent { check: true } => {
            tokio::spawn(check_anew(core.clone(), link.clone()));
        }
        Unanswered::Silent { check: false } | Unanswered::Down => {}
    }
}

/// Finds out whether a silent target answers on a new connection only.
async fn check_anew(core: Arc<Core>, link: Arc<Link>) {
    let begun = core.clock.now();
    if !answers_anew(&core, &link).await {
        return;
    }
    // A target that goes on answers on all connections at about the same time.
    tokio::time::sleep(OVERTAKE_TIME.duration()).await;
    if !link.health().answered_since(begun) {
        core.record_silence(&link);
    }
}

/// Records that a target has not answered a request that was sent at `sent` and is given up.
pub(super) fn record_unanswered(core: &Arc<Core>, link: &Arc<Link>, sent: Ms) {
    let now = core.clock.now();
    let unanswered = link.health().given_up(now, sent);
    check(core, link, sent, unanswered);
    if unanswered == Unanswered::Down {
        core.record_silence(link);
        link.record(now, Outcome::Silent);
    }
}

/// Logs that a request is sent to a second target.
pub(super) fn note_found(core: &Core, call: &Call, second: &Second) {
    note!(
        logs::Event::SecondAttempt,
        request = %call.head.id,
        route = %call.route.name,
        target = second.found.0.name(),
        silent = second.new_connection,
        left_ms = call.left(core.clock.now()).0
    );
}

/// Records that an attempt is dropped because another target has answered.
pub(super) fn record_dropped(core: &Arc<Core>, call: &Call, pending: &Pending) {
    let open = core.clock.now() - pending.sent;
    note!(
        logs::Event::AttemptDropped,
        request = %call.head.id,
        route = %call.route.name,
        target = pending.link.name(),
        open_ms = open.0
    );
    core.metrics.sent(&call.route.name, "dropped");
    let timeout = call.route.latency_goal.scale(ATTEMPT_TIMEOUT.0, ATTEMPT_TIMEOUT.1);
    if open >= timeout {
        record_unanswered(core, &pending.link, pending.sent);
    }
}
