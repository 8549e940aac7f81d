//! What comes of an attempt.

use base::{Attempt, Ms, RequestId};

use crate::arrive::{No, SOON};
use crate::health::HealthSignal;
use crate::open::Run;
use crate::poison::{Blame, FaultSite};
use crate::retry::TRIES;
use crate::state::State;
use crate::{Code, Decision, Effect, Ending, Fault, Verdict};

/// Tries of one stage where there is no budget for them.
const PLAIN_TRIES: u32 = 3;

impl State {
    pub(crate) fn sent(&mut self, request: RequestId, stage: usize, attempt: Attempt) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let once = !open.repeatable();
        let Some(run) = open.run(stage, attempt).filter(|r| !r.sent) else { return };
        run.sent = true;
        open.ledger.sent();
        open.exposed |= once;
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
        let first = !std::mem::replace(&mut run.piece, true);
        let target = run.target;
        open.ledger.done();
        open.offset = open.offset.max(offset);
        open.hedge = None;
        if first {
            self.signal(now, target, HealthSignal::Good);
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
        self.learn(now, request, run, true);
        self.signal(now, run.target, HealthSignal::Good);
        let Some(open) = self.open.get_mut(&request) else { return };
        if open.stage().engine && open.arrival.prefix != 0 {
            self.cache.hold(run.target, open.arrival.prefix);
        }
        self.retries.earn(open.view.plan.fleet.defaults.retry_share);
        open.spent |= !open.repeatable();
        open.exposed = false;
        if stage + 1 < open.stages().len() {
            open.stage += 1;
            open.tries = 0;
            open.offset = 0;
            open.avoid = None;
            self.enqueue(now, request, out);
        } else {
            self.whole(now, request, out);
        }
        self.pump_target(now, run.target, out);
    }

    /// The last stage has ended. An answer that came too late is none: the caller was promised
    /// it by the deadline, and has gone by then. Its record is kept for a re-send of the key.
    fn whole(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request) else { return };
        let late = now > open.arrival.deadline;
        let verdict = match late {
            true => Verdict::Refused(self.refusal(request, Code::DeadlinePassed, Some(SOON))),
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
            open.exposed &= !fault.not_run();
        }
        open.avoid = Some(run.target);
        let blame = self.blame(now, request, run, fault);
        self.end_run(request, run);
        match self.verdict(request, run, fault, blame) {
            Next::Rest => {}
            Next::Again => self.enqueue(now, request, out),
            Next::Stop(code) => {
                let after = self.after(now, request, code);
                self.give_up(now, request, No { code, after }, out);
            }
        }
        self.pump_target(now, run.target, out);
    }

    /// What a fault says of its target and of its request.
    fn blame(&mut self, now: Ms, request: RequestId, run: Run, fault: Fault) -> Option<Blame> {
        let target = &mut self.targets[run.target as usize];
        let (spot, beside) =
            (FaultSite { target: run.target, domain: target.domain }, target.mixed);
        if fault == Fault::Full {
            target.limit.full(now);
        }
        if fault.blames() {
            self.signal(now, run.target, HealthSignal::Bad(fault));
        }
        let print = self.open.get(&request)?.arrival.fingerprint;
        match fault {
            Fault::Broken if run.sent && !self.without.has(Decision::Poison) => {
                Some(self.poison.broke(now, print, spot, beside))
            }
            _ => None,
        }
    }

    /// What becomes of a request after a fault.
    fn verdict(
        &mut self,
        request: RequestId,
        run: Run,
        fault: Fault,
        blame: Option<Blame>,
    ) -> Next {
        let Some(open) = self.open.get(&request) else { return Next::Rest };
        let once = !open.repeatable() && run.sent;
        let plain = self.without.has(Decision::Retry);
        let most = if plain { PLAIN_TRIES } else { TRIES };
        match fault {
            _ if blame == Some(Blame::Guilty) => Next::Stop(Code::Poison),
            _ if blame == Some(Blame::Doubt) => Next::Stop(Code::StageFailed),
            Fault::Full if once => Next::Stop(Code::Overloaded),
            _ if once && open.exposed => Next::Stop(Code::OutcomeUnknown),
            _ if once => Next::Stop(Code::StageFailed),
            _ if !open.runs.is_empty() => Next::Rest,
            Fault::Rejected | Fault::TooLarge => Next::Stop(Code::StageFailed),
            Fault::Full if open.tries >= most => Next::Stop(Code::Overloaded),
            _ if open.tries >= most => Next::Stop(Code::StageFailed),
            Fault::Full => Next::Again,
            // What is held need not be done again.
            _ if plain || open.offset > 0 || self.retries.spend() => Next::Again,
            _ => Next::Stop(Code::StageFailed),
        }
    }

    /// When coming back makes sense after a refusal.
    fn after(&mut self, now: Ms, request: RequestId, code: Code) -> Option<Ms> {
        let open = self.open.get(&request)?;
        match code {
            Code::OutcomeUnknown => None,
            Code::Poison => Some(open.view.plan.fleet.defaults.poison_ms),
            Code::Overloaded => {
                let number = open.line();
                Some(self.drain(now, number))
            }
            _ => Some(SOON),
        }
    }

    /// Counts an attempt out.
    pub(crate) fn end_run(&mut self, request: RequestId, run: Run) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.runs.retain(|r| r.attempt != run.attempt);
        let number = open.line();
        self.lines[number as usize].running -= 1;
        self.targets[run.target as usize].end(run.marked);
    }

    /// Learns from how long an attempt took, or from how long it has taken so far.
    pub(crate) fn learn(&mut self, now: Ms, request: RequestId, run: Run, whole: bool) {
        let Some(open) = self.open.get(&request) else { return };
        let stage = open.stage();
        if !run.whole {
            return;
        }
        let took = (now - run.at).0 as f64;
        let predicted = self.times(&open.arrival, stage);
        let learned = &mut self.learned[stage.kind as usize];
        let peers = learned.peers(predicted.mean);
        let limit = &mut self.targets[run.target as usize].limit;
        match whole {
            true if predicted.learned => limit.good(took, peers),
            true => limit.fine(),
            false if predicted.learned && took > predicted.mean => limit.slower(took, peers),
            false => return,
        }
        learned.add(crate::open::work(&open.arrival, stage), took, &predicted);
    }

    /// Cancels all attempts but one.
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
            let usual = self.times(&open.arrival, open.stage()).mean;
            let limit = &mut self.targets[run.target as usize].limit;
            limit.lost((now - run.at).0 as f64, usual);
        }
        self.end_run(request, run);
        self.pump_target(now, run.target, out);
    }
}

/// What becomes of a request.
enum Next {
    /// Another attempt of it still runs.
    Rest,
    /// Its stage is tried again.
    Again,
    /// It is given up on.
    Stop(Code),
}
