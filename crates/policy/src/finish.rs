//! Ends requests, with a result or an error.

use base::{Ms, RequestId};

use crate::arrive::Rejection;
use crate::lifecycle::{Phase, Step};
use crate::state::State;
use crate::view::queue_id;
use crate::{Code, Effect, Ending, Ran, Refusal, Verdict};

impl State {
    /// The caller has disconnected. Non-repeatable work continues without its caller, so that a
    /// re-send of the key gets the answer and not `unknown`. If the key is being registered, the
    /// answer of the journal is awaited, or the key would stay granted without anybody running it.
    pub(crate) fn caller_gone(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.caller_gone = true;
        if !open.non_repeatable_begun() && !open.in_phase(Phase::Registering {}) {
            self.give_up(
                now,
                request,
                Rejection { code: Code::CallerGone, retry_after: None },
                out,
            );
        }
    }

    /// The time of a request has run out.
    pub(crate) fn time_out(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.in_phase(Phase::Registering {}) {
            open.ledger.refused_unregistered(open.arrival.resent);
        }
        let not_started = open.in_phase(Phase::Waiting {}) && open.ledger.verdict() == Ran::No;
        let (queue, runs) = (open.queue_id(), open.runs.clone());
        for run in runs {
            self.record_time(now, request, run, false);
        }
        let code = if not_started { Code::Overloaded } else { Code::DeadlinePassed };
        let retry_after = Some(self.drain_time(now, queue));
        self.give_up(now, request, Rejection { code, retry_after }, out);
    }

    /// Answers a request with an error immediately.
    pub(crate) fn give_up(
        &mut self,
        now: Ms,
        request: RequestId,
        rejection: Rejection,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(&request) else { return };
        if rejection.code == Code::Poison {
            let fingerprint = open.arrival.fingerprint;
            let until = now + open.view.plan.fleet.defaults.poison_ms;
            self.poison.block(fingerprint, until);
            out.push(Effect::Poison { fingerprint, until });
        }
        for run in &open.runs {
            out.push(Effect::Cancel { request, stage: open.stage, attempt: run.attempt });
        }
        if open.registered {
            let ending = if open.non_repeatable_begun() { Ending::Lost } else { Ending::Released };
            out.push(Effect::Finish { request, ending });
        }
        let refusal = self.refusal(request, rejection.code, rejection.retry_after);
        self.end(now, request, Verdict::Refused(refusal), out);
    }

    pub(crate) fn refusal(
        &self,
        request: RequestId,
        code: Code,
        retry_after: Option<Ms>,
    ) -> Refusal {
        let ran = self.open.get(&request).map_or(Ran::Unknown, |o| o.ledger.verdict());
        Refusal { code, ran, retry_after }
    }

    /// Answers a request, removes it, and passes the capacity that it held to waiting requests.
    pub(crate) fn end(
        &mut self,
        now: Ms,
        request: RequestId,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) {
        self.dequeue(request, false);
        let Some(open) = self.open.get(&request) else { return };
        let runs = open.runs.clone();
        for &run in &runs {
            self.end_run(request, run);
        }
        let Some(mut open) = self.open.remove(&request) else { return };
        open.step(Step::End);
        self.timers.remove(&(open.due, request));
        for at in open.released..open.costs.len() {
            let queue = queue_id(open.stages()[at].kind, open.rules.placement);
            self.queues[queue as usize].fair.release(open.flow, open.lane(at), open.costs[at]);
        }
        out.push(Effect::Answer { request, verdict });
        for run in runs {
            self.dispatch_target(now, run.target, out);
        }
    }
}
