//! Sends one call to a stage target and reads its answer.

use base::{Ms, TargetId};
use catalog::Residency;
use logs::note;
use sched::batch::{Belongs, CallEnd, CallId, Event, Piece, PieceEnd};
use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Composer, MAX_ANSWER_BYTES, NO_REQUEST_ID, Service, lock};
use crate::diagnose;
use crate::dialect::StageCall;
use crate::exposures::Exposed;
use crate::gate::BlockReason;
use crate::links::Link;
use crate::send::{IfClosed, SendFault, Sending, Via, Wait, send};

/// Least time for which the handles of results are remembered: a second answer may come as long as its
/// connection is used.
const RESULT_TTL: Ms = Ms::secs(30);
/// Pause after a call that this host may not send now.
const BLOCKED_PAUSE: Ms = Ms(60);

impl Composer {
    pub(super) fn call_ended(
        self: &Arc<Self>,
        service: &Arc<Service>,
        call: CallId,
        target: &TargetId,
        end: CallEnd,
    ) {
        let pace = self.core.links().named(target).and_then(|link| link.reports.pace());
        if let Some(pace) = pace {
            // Before the end of the call, so that the next one is sent by what it reports.
            self.feed(service, Event::Pace(target.clone(), pace));
        }
        let (queued, kept) = {
            let state = lock(&service.state);
            (state.batcher.queued(), state.batcher.kept(self.core.clock.now(), target))
        };
        if let Some(lack) = lack(&end) {
            self.core.metrics.call_rejected(service.name.as_str(), lack);
        }
        match &end {
            CallEnd::Done(ends) => note!(
                logs::Event::StageCallEnded,
                service = %service.name,
                target = %target,
                pieces = ends.len(),
                made = ends.iter().filter(|e| matches!(e, PieceEnd::Made(_))).count(),
                no_room = ends.iter().filter(|e| **e == PieceEnd::Room).count(),
                gone = ends.iter().filter(|e| **e == PieceEnd::Gone).count(),
                queued,
                kept
            ),
            end => note!(
                logs::Event::StageCallFailed,
                service = %service.name,
                target = %target,
                end = ?end
            ),
        }
        self.feed(service, Event::Ended(call, end));
    }

    /// Whether the end of a call is that of an answer to it.
    fn belongs(&self, link: &Link, pieces: &[Piece], end: &CallEnd) -> Belongs {
        let CallEnd::Done(ends) = end else { return Belongs::Unproved };
        let now = self.core.clock.now();
        let time = self.batch_config(&link.entry.service).map_or(RESULT_TTL, |b| b.result_ttl);
        lock(&self.handed_out).check(now, &link.entry.id, pieces, ends, now + time.max(RESULT_TTL))
    }

    /// Counts the pieces of a call that its target has rejected: they are sent again.
    pub(super) fn count_rejected(&self, service: &Service, end: &CallEnd, pieces: usize) {
        if lack(end).is_some() {
            self.core.metrics.pieces_resent(service.name.as_str(), "rejected", pieces);
        }
    }

    pub(super) async fn call(&self, target: &TargetId, pieces: &[Piece], timeout: Ms) -> CallEnd {
        let Some(link) = self.core.links().named(target).cloned() else {
            return CallEnd::NoConnection;
        };
        let build = || {
            let call = StageCall { target: link.name(), pieces, now: self.core.clock.now() };
            self.core.dialect.stage_call(&call)
        };
        let wait = Wait::Running { within: timeout, most: Ms::MAX };
        let anywhere = Residency::Anywhere;
        let residency = pieces.iter().map(|p| &p.residency);
        let residency = residency.fold(anywhere, |all, piece| all.intersect(piece));
        let keys: Vec<Option<u64>> = pieces.iter().map(|p| p.key).collect();
        let exposed = exposed(&keys);
        let request = Sending { id: NO_REQUEST_ID, exposed: &exposed, retries: None };
        let begun = self.core.clock.now();
        let sent =
            send(&self.core, &link, &residency, request, wait, Via::Pool(IfClosed::Reopen), build)
                .await;
        let mut answered = match sent {
            Ok(answered) => answered,
            Err(SendFault::Blocked(BlockReason::Limited(rest) | BlockReason::Paused(rest))) => {
                return CallEnd::Deferred(rest);
            }
            // An evacuated target is about to be removed from the list, and a cold one can take a
            // call again in a moment.
            Err(SendFault::Blocked(_) | SendFault::Unproved) => {
                return CallEnd::Deferred(BLOCKED_PAUSE);
            }
            Err(SendFault::NoConnection) => return CallEnd::NoConnection,
            Err(SendFault::Silent) => return CallEnd::Silent,
            Err(SendFault::Broken | SendFault::Mismatch) => return CallEnd::Broken,
        };
        let read = link::read(answered.body, MAX_ANSWER_BYTES);
        let body = match tokio::time::timeout(timeout.duration(), read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                answered.lease.broken();
                return CallEnd::Broken;
            }
            Err(_) => return CallEnd::Silent,
        };
        let end =
            self.core.dialect.parse_stage_response(answered.parts.status, &answered.head, &body);
        match self.belongs(&link, pieces, &end) {
            Belongs::Proved => answered.lease.close(),
            Belongs::Unproved => answered.lease.close_unproved(),
            Belongs::No => {
                note!(logs::Event::AnswerMismatch, target = link.name(), service = %link.entry.service);
                return CallEnd::Broken;
            }
        }
        if let CallEnd::Done(ends) = &end {
            let made = keys.iter().zip(ends).filter(|(_, end)| matches!(end, PieceEnd::Made(_)));
            made.filter_map(|(key, _)| *key)
                .for_each(|key| diagnose::request_is_sound(&self.core, key, begun));
        }
        end
    }
}

/// What the target of a call is exposed to: each request once.
fn exposed(keys: &[Option<u64>]) -> Vec<Exposed> {
    let keys: BTreeSet<u64> = keys.iter().flatten().copied().collect();
    keys.into_iter().map(|key| Exposed { request: Some(key), ..Exposed::default() }).collect()
}

/// What a target lacked that did nothing of a call because it is full: `slot` or `room`.
fn lack(end: &CallEnd) -> Option<&'static str> {
    match end {
        CallEnd::Full => Some("slot"),
        CallEnd::Done(ends) if ends.iter().all(|end| *end == PieceEnd::Room) => Some("room"),
        _ => None,
    }
}
