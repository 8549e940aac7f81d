//! A request ends.

use base::{Ms, RequestId};

use crate::arrive::No;
use crate::life::{Phase, Step};
use crate::state::State;
use crate::view::line;
use crate::{Code, Effect, Ending, Ran, Refusal, Verdict};

impl State {
    /// The caller has gone. Work that may not be repeated goes on without its caller, so that a
    /// re-send of the key gets the answer and not `unknown`. A key that is being recorded is
    /// waited for, or its record would stay granted with nobody to run it.
    pub(crate) fn gone(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.gone = true;
        if !open.once_begun() && !open.is(Phase::Registering {}) {
            self.give_up(now, request, No { code: Code::CallerGone, after: None }, out);
        }
    }

    /// A request's time has run out.
    pub(crate) fn too_late(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.is(Phase::Registering {}) {
            open.ledger.refused_unregistered(open.arrival.resent);
        }
        let fresh = open.is(Phase::Waiting {}) && open.ledger.verdict() == Ran::No;
        let (number, runs) = (open.line(), open.runs.clone());
        for run in runs {
            self.learn(now, request, run, false);
        }
        let code = if fresh { Code::Overloaded } else { Code::DeadlinePassed };
        let after = Some(self.drain(now, number));
        self.give_up(now, request, No { code, after }, out);
    }

    /// Answers a request with an error, at once.
    pub(crate) fn give_up(&mut self, now: Ms, request: RequestId, no: No, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request) else { return };
        if no.code == Code::Poison {
            let fingerprint = open.arrival.fingerprint;
            let until = now + open.view.plan.fleet.defaults.poison_ms;
            self.poison.convict(fingerprint, until);
            out.push(Effect::Poison { fingerprint, until });
        }
        for run in &open.runs {
            out.push(Effect::Cancel { request, stage: open.stage, attempt: run.attempt });
        }
        if open.registered {
            let ending = if open.once_begun() { Ending::Lost } else { Ending::Released };
            out.push(Effect::Finish { request, ending });
        }
        let refusal = self.refusal(request, no.code, no.after);
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

    /// Answers a request and forgets it; what it held goes to others.
    pub(crate) fn end(
        &mut self,
        now: Ms,
        request: RequestId,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) {
        self.leave_line(request, false);
        let Some(open) = self.open.get(&request) else { return };
        let runs = open.runs.clone();
        for &run in &runs {
            self.end_run(request, run);
        }
        let Some(mut open) = self.open.remove(&request) else { return };
        open.step(Step::End);
        self.timers.remove(&(open.due, request));
        for at in open.released..open.costs.len() {
            let number = line(open.stages()[at].kind, open.rules.placement);
            self.lines[number as usize].fair.release(open.flow, open.lane(at), open.costs[at]);
        }
        out.push(Effect::Answer { request, verdict });
        for run in runs {
            self.pump_target(now, run.target, out);
        }
    }
}
