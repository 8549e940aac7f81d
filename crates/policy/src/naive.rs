//! The baseline policy: first come first served, round robin, no limits.
//!
//! It keeps the guarantees (non-repeatable work is sent at most once, `ran` is reported correctly,
//! targets that are leaving service get no work) and makes no other decision. Benchmarks and
//! differential tests compare the full policy with it.

use base::{Attempt, Ms, PoolId, RequestId, TargetId};
use conf::{Plan, PlanStage};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::{
    Arrival, Code, Effect, Ending, Event, Fault, Grant, Ledger, Ran, Reducer, Refusal, Verdict,
};

/// Attempts per stage before the request fails.
const MAX_TRIES: u32 = 3;

/// State of the baseline policy.
#[derive(Debug, Default)]
pub struct Naive {
    plan: Option<Arc<Plan>>,
    open: BTreeMap<RequestId, OpenRequest>,
    leaving: HashSet<TargetId>,
    turns: HashMap<PoolId, usize>,
    draining: bool,
}

#[derive(Debug)]
struct OpenRequest {
    arrival: Arrival,
    plan: Arc<Plan>,
    pipeline: usize,
    stage: usize,
    attempt: Attempt,
    tries: u32,
    offset: u32,
    registered: bool,
    /// The current attempt was written to a socket.
    sent: bool,
    /// Non-repeatable work was written to a socket, and its outcome is pending or lost.
    unresolved: bool,
    /// Non-repeatable work has run.
    committed: bool,
    ledger: Ledger,
}

impl OpenRequest {
    fn stage(&self) -> &PlanStage {
        &self.plan.stages[self.pipeline][self.stage]
    }

    fn current(&self, stage: usize, attempt: Attempt) -> bool {
        self.stage == stage && self.attempt == attempt
    }
}

impl Naive {
    /// Creates an empty state. It serves requests after the first configuration.
    pub fn new() -> Self {
        Self::default()
    }

    fn arrive(&mut self, now: Ms, arrival: Arrival, out: &mut Vec<Effect>) {
        let plan = self.plan.clone();
        let found = plan.and_then(|p| Some((p.pipeline(arrival.pipeline.as_str())?, p)));
        let mut ledger = Ledger::default();
        let Some((pipeline, plan)) = found.filter(|_| !self.draining) else {
            ledger.refused_unregistered(arrival.resent);
            let code = if self.draining { Code::Draining } else { Code::NoTarget };
            refuse(arrival.request, code, ledger.verdict(), out);
            return;
        };
        let request = arrival.request;
        let keyed = arrival.keyed;
        let open = OpenRequest {
            arrival,
            plan,
            pipeline,
            stage: 0,
            attempt: Attempt(0),
            tries: 0,
            offset: 0,
            registered: false,
            sent: false,
            unresolved: false,
            committed: false,
            ledger,
        };
        self.open.insert(request, open);
        if keyed {
            out.push(Effect::Register { request });
        } else {
            self.send(now, request, out);
        }
    }

    fn registered(&mut self, now: Ms, request: RequestId, grant: Grant, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.ledger.registered(grant, open.arrival.resent);
        let code = match grant {
            Grant::Granted => {
                open.registered = true;
                return self.send(now, request, out);
            }
            Grant::Answered => {
                self.open.remove(&request);
                out.push(Effect::Answer { request, verdict: Verdict::Replayed });
                return;
            }
            Grant::Running => Code::Running,
            Grant::Unknown => Code::OutcomeUnknown,
            Grant::Unavailable => Code::JournalUnavailable,
            Grant::Expired => Code::KeyExpired,
        };
        self.give_up(request, code, out);
    }

    fn send(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        if now >= open.arrival.deadline {
            return self.give_up(request, Code::DeadlinePassed, out);
        }
        let stage = open.stage();
        let names = &open.plan.targets;
        let kept =
            |t: &usize| self.plan.as_ref().is_some_and(|p| p.target(&names[*t].name).is_some());
        let all = stage.targets.iter().copied();
        let ready: Vec<usize> =
            all.filter(kept).filter(|&t| !self.leaving.contains(&names[t].name)).collect();
        if ready.is_empty() {
            return self.give_up(request, Code::NoTarget, out);
        }
        let turn = self.turns.entry(stage.pool.clone()).or_default();
        *turn += 1;
        let target = open.plan.targets[ready[*turn % ready.len()]].name.clone();
        open.attempt = open.attempt.next();
        open.tries += 1;
        open.sent = false;
        out.push(Effect::Send {
            request,
            stage: open.stage,
            attempt: open.attempt,
            target,
            offset: open.offset,
            budget: open.arrival.deadline - now,
        });
    }

    fn done(&mut self, now: Ms, request: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.ledger.done();
        open.committed |= !open.stage().repeatable;
        open.unresolved = false;
        open.stage += 1;
        open.tries = 0;
        open.offset = 0;
        if open.stage < open.plan.stages[open.pipeline].len() {
            return self.send(now, request, out);
        }
        if open.registered {
            out.push(Effect::Finish { request, ending: Ending::Done });
        }
        let late = now > open.arrival.deadline;
        let ran = open.ledger.verdict();
        self.open.remove(&request);
        match late {
            true => refuse(request, Code::DeadlinePassed, ran, out),
            false => out.push(Effect::Answer { request, verdict: Verdict::Done }),
        }
    }

    fn failed(&mut self, now: Ms, request: RequestId, fault: Fault, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let non_repeatable = !open.stage().repeatable && open.sent;
        if open.sent {
            open.ledger.failed(fault);
            open.unresolved &= !fault.not_run();
        }
        let code = match fault {
            _ if open.unresolved => Code::OutcomeUnknown,
            Fault::Full if non_repeatable => Code::Overloaded,
            _ if non_repeatable => Code::StageFailed,
            Fault::Rejected | Fault::TooLarge => Code::StageFailed,
            _ if open.tries < MAX_TRIES => return self.send(now, request, out),
            _ => Code::StageFailed,
        };
        self.give_up(request, code, out);
    }

    fn give_up(&mut self, request: RequestId, code: Code, out: &mut Vec<Effect>) {
        let Some(open) = self.open.remove(&request) else { return };
        if open.registered {
            let begun = open.unresolved || open.committed;
            let ending = if begun { Ending::Lost } else { Ending::Released };
            out.push(Effect::Finish { request, ending });
        }
        refuse(request, code, open.ledger.verdict(), out);
    }

    fn cancel(&mut self, request: RequestId, code: Code, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get_mut(&request) else { return };
        // The journal has not yet answered whether the key was used before.
        if open.arrival.keyed && !open.registered {
            open.ledger.refused_unregistered(open.arrival.resent);
        }
        if open.attempt > Attempt(0) {
            let (stage, attempt) = (open.stage, open.attempt);
            out.push(Effect::Cancel { request, stage, attempt });
        }
        self.give_up(request, code, out);
    }

    fn tick(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let late: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| now >= o.arrival.deadline).map(|(&r, _)| r).collect();
        for request in late {
            self.cancel(request, Code::DeadlinePassed, out);
        }
    }

    fn current(
        &mut self,
        request: RequestId,
        stage: usize,
        attempt: Attempt,
    ) -> Option<&mut OpenRequest> {
        self.open.get_mut(&request).filter(|o| o.current(stage, attempt))
    }
}

impl Reducer for Naive {
    fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Config(plan) => self.plan = Some(plan),
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Registered { request, grant } => self.registered(now, request, grant, out),
            Event::Sent { request, stage, attempt } => {
                if let Some(open) = self.current(request, stage, attempt) {
                    open.ledger.sent();
                    open.sent = true;
                    open.unresolved |= !open.stage().repeatable;
                }
            }
            Event::Piece { request, stage, attempt, offset } => {
                if let Some(open) = self.current(request, stage, attempt) {
                    open.ledger.done();
                    open.offset = offset;
                }
            }
            Event::Done { request, stage, attempt, .. } => {
                if self.current(request, stage, attempt).is_some() {
                    self.done(now, request, out);
                }
            }
            Event::Failed { request, stage, attempt, fault } => {
                if self.current(request, stage, attempt).is_some() {
                    self.failed(now, request, fault, out);
                }
            }
            // Non-repeatable work continues after its caller disconnects, so that a re-send of the
            // key gets the answer and not `unknown`.
            Event::Gone { request }
                if self.open.get(&request).is_some_and(|o| o.unresolved || o.committed) => {}
            Event::Gone { request } => self.cancel(request, Code::CallerGone, out),
            Event::Leaving { target, leaving: true } => _ = self.leaving.insert(target),
            Event::Leaving { target, leaving: false } => _ = self.leaving.remove(&target),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, out),
            Event::Load { .. }
            | Event::DomainLoad { .. }
            | Event::Cache { .. }
            | Event::Poisoned { .. }
            | Event::Hosts { .. } => {}
        }
    }
}

fn refuse(request: RequestId, code: Code, ran: Ran, out: &mut Vec<Effect>) {
    let verdict = Verdict::Refused(Refusal { code, ran, retry_after: Some(Ms::secs(1)) });
    out.push(Effect::Answer { request, verdict });
}
