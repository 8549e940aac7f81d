//! The reducer's effects, carried out.

use base::{Attempt, Ms, RequestId, TargetId};
use gossip::Announcement;
use journal::{Claim, ClaimResult, JournalError, Outcome};
use logs::note;
use policy::{Effect, Ending, Event, Grant, Refusal, Verdict};
use std::sync::atomic::Ordering;
use wire::{Answer, StageCall};

use crate::attempt::{self, Job};
use crate::core::{Core, Kept, State};
use crate::dial::Bounds;
use crate::open::{Open, Running};
use crate::problem;
use crate::ticket::Reply;

/// Wait before how a keyed request ended is recorded again; it doubles up to the longest.
const FINISH_WAIT: Ms = Ms(100);
/// Longest such wait.
const FINISH_WAIT_MOST: Ms = Ms::secs(5);
/// Ended requests that are kept for callers who may come back.
const KEPT: usize = 1024;

impl Core {
    pub(crate) fn carry_out(&self, state: &mut State, effect: Effect) {
        match effect {
            Effect::Register { request } => self.register(state, request),
            Effect::Send { request, stage, attempt, target, offset, budget } => {
                debug_assert!(state.open.get(&request).is_none_or(|o| o.stage == stage));
                self.send(state, request, attempt, &target, offset, budget);
            }
            Effect::Cancel { request, attempt, .. } => {
                let open = state.open.get_mut(&request);
                if let Some(running) = open.and_then(|o| o.attempts.remove(&attempt)) {
                    running.task.abort();
                }
            }
            Effect::Finish { request, ending } => self.finish(state, request, ending),
            Effect::Answer { request, verdict } => self.answer(state, request, verdict),
            Effect::Poison { fingerprint, until } => {
                note!(logs::Event::PoisonFound, fingerprint);
                self.poison.fetch_add(1, Ordering::Relaxed);
                let _ = self.tells.send(Announcement::Poison { fingerprint, until });
            }
            Effect::Wake { at } => _ = self.wakes.send(at),
        }
    }

    fn send(
        &self,
        state: &mut State,
        request: RequestId,
        attempt: Attempt,
        target: &TargetId,
        offset: u32,
        budget: Ms,
    ) {
        let Some(core) = self.me.upgrade() else { return };
        let Some(open) = state.open.get_mut(&request) else { return };
        let stage = open.stage;
        let plan_stage = open.plan_stage(stage);
        let addr = open.plan.target(target).and_then(|t| open.plan.targets[t].address.parse().ok());
        let call = StageCall {
            request: request.to_string(),
            stage: plan_stage.name.to_string(),
            attempt: attempt.0,
            model: plan_stage.model.as_ref().map(ToString::to_string).unwrap_or_default(),
            input: open.input(),
            max_tokens: open.max_tokens(),
            prefix: open.ask.prefix.clone(),
            offset,
            resumed: open.held.text.clone(),
            budget_ms: budget.0,
            priority: open.priority,
            workspace: open.workspace.to_string(),
            key: match plan_stage.repeatable {
                true => String::new(),
                false => open.key.map(|k| k.to_string()).unwrap_or_default(),
            },
        };
        let job = Job {
            request,
            stage,
            attempt,
            call,
            stream: plan_stage.stream,
            repeatable: plan_stage.repeatable,
            // A checked plan has only addresses that parse, and targets of its own.
            addr: addr.unwrap_or(self.settings.listen),
            bounds: Bounds {
                silence: self.settings.silence.target_ms,
                limit: self.settings.limits.answer_bytes,
            },
        };
        let task = tokio::spawn(attempt::run(core, job)).abort_handle();
        let running = Running { target: target.clone(), sent: self.now(), task };
        open.attempts.insert(attempt, running);
    }

    fn register(&self, state: &mut State, request: RequestId) {
        let Some(core) = self.me.upgrade() else { return };
        let Some(claim) = state.open.get(&request).and_then(|o| claim(request, o)) else { return };
        self.finishing.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let granted = core.journal.register(&claim).await;
            if let Some(unused) = core.registered(request, granted) {
                core.record(&claim, unused).await;
            }
            core.finishing.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Takes the journal's answer. A grant whose request was answered meanwhile, because its
    /// deadline passed, is never used; it is given back, or the key would seem to run for ever.
    fn registered(&self, request: RequestId, granted: ClaimResult) -> Option<Outcome> {
        let mut state = self.lock();
        let (grant, replay) = grant(granted);
        let unused = grant == Grant::Granted && !state.open.contains_key(&request);
        if let Some(open) = state.open.get_mut(&request) {
            open.replay = replay;
        }
        self.reduce(&mut state, Event::Registered { request, grant });
        unused.then_some(Outcome::Released)
    }

    fn finish(&self, state: &mut State, request: RequestId, ending: Ending) {
        let Some(core) = self.me.upgrade() else { return };
        let Some(open) = state.open.get(&request) else { return };
        let Some(claim) = claim(request, open) else { return };
        let outcome = match ending {
            Ending::Done => Outcome::Done(open.answer(&request.to_string())),
            Ending::Released => Outcome::Released,
            Ending::Lost => Outcome::Lost,
        };
        self.finishing.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            core.record(&claim, outcome).await;
            core.finishing.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Records how a keyed request ended, however long the platform is away: until then re-sends
    /// of the key are told `running` or `unknown` though the answer is here.
    async fn record(&self, claim: &Claim, outcome: Outcome) {
        let mut wait = FINISH_WAIT;
        let end = self.now() + self.settings.journal.window_ms;
        while self.now() < end {
            match self.journal.finish(claim, outcome.clone()).await {
                Ok(()) => return,
                Err(JournalError::NotHolder) => break,
                Err(JournalError::Unavailable) => {
                    note!(logs::Event::FinishRetried, request = %claim.attempt);
                    tokio::time::sleep(wait.duration()).await;
                    wait = (wait + wait).min(FINISH_WAIT_MOST);
                }
            }
        }
        note!(logs::Event::FinishLost, request = %claim.attempt);
    }

    fn answer(&self, state: &mut State, request: RequestId, verdict: Verdict) {
        let Some(mut open) = state.open.remove(&request) else { return };
        for running in open.attempts.values() {
            running.task.abort();
        }
        let pipeline = open.plan.pipeline_name(open.pipeline).as_str();
        let took = self.now() - open.arrived;
        let reply = match verdict {
            Verdict::Done => {
                self.metrics.answered(pipeline, "whole", took);
                Reply::Whole(open.answer(&request.to_string()))
            }
            Verdict::Replayed => {
                self.metrics.answered(pipeline, "replayed", took);
                let kept = open.replay.take().unwrap_or_default();
                Reply::Whole(Answer { replayed: true, ..kept })
            }
            Verdict::Refused(refusal) => {
                let Refusal { code, ran, .. } = refusal;
                let code = problem::code(code);
                self.metrics.answered(pipeline, code, took);
                note!(logs::Event::RequestRefused, request = %request, code, ran = ran.as_str());
                Reply::Refused(refusal)
            }
        };
        open.outbox.push(reply);
        if open.outbox.waits() && state.kept.len() < KEPT {
            let until = self.now() + self.settings.limits.resume_ms;
            let kept = Kept { workspace: open.workspace, outbox: open.outbox, until };
            state.kept.insert(request, kept);
        }
    }
}

fn claim(request: RequestId, open: &Open) -> Option<Claim> {
    Some(Claim { workspace: open.workspace.clone(), key: open.key?, attempt: request })
}

fn grant(granted: ClaimResult) -> (Grant, Option<Answer>) {
    match granted {
        ClaimResult::Granted => (Grant::Granted, None),
        ClaimResult::Answered(answer) => (Grant::Answered, Some(answer)),
        ClaimResult::Running => (Grant::Running, None),
        ClaimResult::Unknown => (Grant::Unknown, None),
        ClaimResult::Unavailable => (Grant::Unavailable, None),
        ClaimResult::Expired => (Grant::Expired, None),
    }
}
