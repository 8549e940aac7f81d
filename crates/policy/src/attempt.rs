//! Handles the events of attempts: sent, chunk received, done, failed.

use base::{Attempt, Ms, RequestId};

use crate::arrive::{DEFAULT_RETRY_AFTER, Rejection};
use crate::health::HealthSignal;
use crate::poison::{FaultSite, Suspicion};
use crate::request::Run;
use crate::retry::MAX_TRIES;
use crate::state::State;
use crate::{Code, Decision, Effect, Ending, Fault, Verdict};

/// Maximum number of attempts of one stage when the retry budget is disabled.
const UNBUDGETED_TRIES: u32 = 3;

impl State {
    pub(crate) fn sent(&mut self, request: RequestId, stage: usize, attempt: Attempt) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let non_repeatable = !open.repeatable();
        let Some(run) = open.run(stage, attempt).filter(|r| !r.sent) else { return };
        run.sent = true;
        open.ledger.sent();
        open.unresolved |= non_repeatable;
    }

    pub(crate) fn piece(
        &mut self,
        now: Ms,
        request: RequestId,
        stage: usize,
        attempt: Attempt,
        offset: u32,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(run) = open.run(stage, attempt) else { return };
        let first = !std::mem::replace(&mut run.streamed, true);
        let target = run.target;
        open.ledger.done();
        open.offset = open.offset.max(offset);
        open.hedge_at = None;
        if first {
            self.signal(now, target, HealthSignal::Success);
            self.cancel_others(now, request, attempt, out);
        }
    }

    pub(crate) fn done(
        &mut self,
        now: Ms,
        request: RequestId,
        stage: usize,
        attempt: Attempt,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(run) = open.run(stage, attempt).copied() else { return };
        open.ledger.done();
        self.cancel_others(now, request, attempt, out);
        self.end_run(request, run);
        self.record_time(now, request, run, true);
        self.signal(now, run.target, HealthSignal::Success);
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.stage().engine && open.arrival.prefix != 0 {
            self.cache.insert_holder(run.target, open.arrival.prefix);
        }
        self.retries.earn(open.view.plan.fleet.defaults.retry_share);
        open.committed |= !open.repeatable();
        open.unresolved = false;
        if stage + 1 < open.stages().len() {
            open.stage += 1;
            open.tries = 0;
            open.offset = 0;
            open.avoid = None;
            self.enqueue(now, request, out);
        } else {
            self.complete(now, request, out);
        }
        self.dispatch_target(now, run.target, out);
    }

    /// The last stage has ended. An answer that comes after the deadline is refused: it was
    /// promised by the deadline, and the caller has gone by then. It is still recorded for a
    /// re-send of the key.
    fn complete(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request) else { return };
        let late = now > open.arrival.deadline;
        let verdict = match late {
            true => Verdict::Refused(self.refusal(
                request,
                Code::DeadlinePassed,
                Some(DEFAULT_RETRY_AFTER),
            )),
            false => Verdict::Done,
        };
        if open.registered {
            out.push(Effect::Finish { request, ending: Ending::Done });
        }
        self.end(now, request, verdict, out);
    }

    pub(crate) fn failed(
        &mut self,
        now: Ms,
        request: RequestId,
        stage: usize,
        attempt: Attempt,
        fault: Fault,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(run) = open.run(stage, attempt).copied() else { return };
        if run.sent {
            open.ledger.failed(fault);
            open.unresolved &= !fault.not_run();
        }
        open.avoid = Some(run.target);
        let suspicion = self.assess_fault(now, request, run, fault);
        self.end_run(request, run);
        match self.next_step(request, run, fault, suspicion) {
            NextStep::Wait => {}
            NextStep::Retry => self.enqueue(now, request, out),
            NextStep::GiveUp(code) => {
                let retry_after = self.retry_after(now, request, code);
                self.give_up(now, request, Rejection { code, retry_after }, out);
            }
        }
        self.dispatch_target(now, run.target, out);
    }

    /// Updates the target's state after a fault, and returns what the fault indicates about the
    /// request.
    fn assess_fault(
        &mut self,
        now: Ms,
        request: RequestId,
        run: Run,
        fault: Fault,
    ) -> Option<Suspicion> {
        let target = &mut self.targets[run.target as usize];
        let (site, other_marked) =
            (FaultSite { target: run.target, domain: target.domain }, target.marked_overlap);
        if fault == Fault::Full {
            target.limit.rejected_as_full(now);
        }
        if fault.counts_against_target() {
            self.signal(now, run.target, HealthSignal::Failure(fault));
        }
        let fingerprint = self.open.get(&request)?.arrival.fingerprint;
        match fault {
            Fault::Broken if run.sent && !self.disabled.contains(Decision::Poison) => {
                Some(self.poison.record_break(now, fingerprint, site, other_marked))
            }
            _ => None,
        }
    }

    /// What happens to a request after a fault.
    fn next_step(
        &mut self,
        request: RequestId,
        run: Run,
        fault: Fault,
        suspicion: Option<Suspicion>,
    ) -> NextStep {
        let Some(open) = self.open.get(&request) else { return NextStep::Wait };
        let non_repeatable = !open.repeatable() && run.sent;
        let unbudgeted = self.disabled.contains(Decision::Retry);
        let max_tries = if unbudgeted { UNBUDGETED_TRIES } else { MAX_TRIES };
        match fault {
            _ if suspicion == Some(Suspicion::Confirmed) => NextStep::GiveUp(Code::Poison),
            _ if suspicion == Some(Suspicion::Inconclusive) => NextStep::GiveUp(Code::StageFailed),
            Fault::Full if non_repeatable => NextStep::GiveUp(Code::Overloaded),
            _ if non_repeatable && open.unresolved => NextStep::GiveUp(Code::OutcomeUnknown),
            _ if non_repeatable => NextStep::GiveUp(Code::StageFailed),
            _ if !open.runs.is_empty() => NextStep::Wait,
            Fault::Rejected | Fault::TooLarge => NextStep::GiveUp(Code::StageFailed),
            Fault::Full if open.tries >= max_tries => NextStep::GiveUp(Code::Overloaded),
            _ if open.tries >= max_tries => NextStep::GiveUp(Code::StageFailed),
            Fault::Full => NextStep::Retry,
            // A resumed stream does not repeat work, so it needs no retry token.
            _ if unbudgeted || open.offset > 0 || self.retries.spend() => NextStep::Retry,
            _ => NextStep::GiveUp(Code::StageFailed),
        }
    }

    /// When a retry makes sense after a refusal.
    fn retry_after(&mut self, now: Ms, request: RequestId, code: Code) -> Option<Ms> {
        let open = self.open.get(&request)?;
        match code {
            Code::OutcomeUnknown => None,
            Code::Poison => Some(open.view.plan.fleet.defaults.poison_ms),
            Code::Overloaded => {
                let queue = open.queue_id();
                Some(self.drain_time(now, queue))
            }
            _ => Some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Removes an attempt from the running ones.
    pub(crate) fn end_run(&mut self, request: RequestId, run: Run) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.runs.retain(|r| r.attempt != run.attempt);
        let queue = open.queue_id();
        self.queues[queue as usize].running -= 1;
        self.targets[run.target as usize].end(run.marked);
    }

    /// Learns from the duration of an attempt, or from the time it has taken so far.
    pub(crate) fn record_time(&mut self, now: Ms, request: RequestId, run: Run, complete: bool) {
        let Some(open) = self.open.get(&request) else { return };
        let stage = open.stage();
        if !run.from_start {
            return;
        }
        let elapsed = (now - run.started).0 as f64;
        let predicted = self.estimate(&open.arrival, stage);
        let learned = &mut self.learned[stage.kind as usize];
        let peer_time = learned.peer_time(predicted.mean);
        let limit = &mut self.targets[run.target as usize].limit;
        match complete {
            true if predicted.learned => limit.succeeded(elapsed, peer_time),
            true => limit.succeeded_untimed(),
            false if predicted.learned && elapsed > predicted.mean => {
                limit.still_running(elapsed, peer_time)
            }
            false => return,
        }
        learned.add(crate::request::work(&open.arrival, stage), elapsed, &predicted);
    }

    /// Cancels all attempts except `attempt`.
    fn cancel_others(
        &mut self,
        now: Ms,
        request: RequestId,
        attempt: Attempt,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(&request) else { return };
        let Some(run) = open.runs.iter().find(|r| r.attempt != attempt).copied() else { return };
        let stage = open.stage;
        out.push(Effect::Cancel { request, stage, attempt: run.attempt });
        if run.attempt < attempt {
            let expected = self.estimate(&open.arrival, open.stage()).mean;
            let limit = &mut self.targets[run.target as usize].limit;
            limit.lost_race((now - run.started).0 as f64, expected);
        }
        self.end_run(request, run);
        self.dispatch_target(now, run.target, out);
    }
}

/// What happens to a request after a failed attempt.
enum NextStep {
    /// Another attempt is still running.
    Wait,
    /// The stage is tried again.
    Retry,
    /// The request fails with this code.
    GiveUp(Code),
}
