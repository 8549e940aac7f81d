//! Executes the effects that the reducer returns.

use base::{Attempt, Ms, RequestId, TargetId};
use gossip::Announcement;
use journal::{Claim, ClaimResult, JournalError, Outcome};
use logs::note;
use policy::{Effect, Ending, Event, Grant, Refusal, Verdict};
use std::sync::atomic::Ordering;
use wire::{Answer, StageCall};

use crate::active::{ActiveRequest, Running};
use crate::attempt::{self, Job};
use crate::connector::CallLimits;
use crate::core::{Core, EndedRequest, State};
use crate::problem;
use crate::reply::Reply;

/// First delay before retrying to record the outcome of a request with a key. It doubles with each
/// retry.
const FINISH_RETRY_MIN: Ms = Ms(100);
/// Longest delay between these retries.
const FINISH_RETRY_MAX: Ms = Ms::secs(5);
/// Largest number of ended requests whose replies are held for callers that may reconnect.
const MAX_ENDED: usize = 1024;

impl Core {
    pub(crate) fn execute(&self, state: &mut State, effect: Effect) {
        match effect {
            Effect::Register { request } => self.register(state, request),
            Effect::Send { request, stage, attempt, target, offset, budget } => {
                debug_assert!(state.active.get(&request).is_none_or(|r| r.stage == stage));
                self.send(state, request, attempt, &target, offset, budget);
            }
            Effect::Cancel { request, attempt, .. } => {
                let active = state.active.get_mut(&request);
                if let Some(running) = active.and_then(|r| r.attempts.remove(&attempt)) {
                    running.task.abort();
                }
            }
            Effect::Finish { request, ending } => self.finish(state, request, ending),
            Effect::Answer { request, verdict } => self.answer(state, request, verdict),
            Effect::Poison { fingerprint, until } => {
                note!(logs::Event::PoisonFound, fingerprint);
                self.poison_marks.fetch_add(1, Ordering::Relaxed);
                let _ = self.announcements.send(Announcement::Poison { fingerprint, until });
            }
            Effect::Wake { at } => _ = self.wakeups.send(at),
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
        let Some(core) = self.weak_self.upgrade() else { return };
        let Some(active) = state.active.get_mut(&request) else { return };
        let stage = active.stage;
        let plan_stage = active.plan_stage(stage);
        let addr =
            active.plan.target(target).and_then(|t| active.plan.targets[t].address.parse().ok());
        let call = StageCall {
            request: request.to_string(),
            stage: plan_stage.name.to_string(),
            attempt: attempt.0,
            model: plan_stage.model.as_ref().map(ToString::to_string).unwrap_or_default(),
            input: active.input(),
            max_tokens: active.max_tokens(),
            prefix: active.ask.prefix.clone(),
            offset,
            resumed: active.buffer.text.clone(),
            budget_ms: budget.0,
            priority: active.priority,
            workspace: active.workspace.to_string(),
            key: match plan_stage.repeatable {
                true => String::new(),
                false => active.key.map(|k| k.to_string()).unwrap_or_default(),
            },
        };
        let job = Job {
            request,
            stage,
            attempt,
            call,
            stream: plan_stage.stream,
            repeatable: plan_stage.repeatable,
            // Validation of the plan guarantees that the target is in it and that its address
            // parses.
            addr: addr.unwrap_or(self.settings.listen),
            limits: CallLimits {
                idle_timeout: self.settings.silence.target_ms,
                max_bytes: self.settings.limits.answer_bytes,
            },
        };
        let task = tokio::spawn(attempt::run(core, job)).abort_handle();
        let running = Running { target: target.clone(), sent: self.now(), task };
        active.attempts.insert(attempt, running);
    }

    fn register(&self, state: &mut State, request: RequestId) {
        let Some(core) = self.weak_self.upgrade() else { return };
        let Some(claim) = state.active.get(&request).and_then(|r| claim(request, r)) else {
            return;
        };
        self.journal_pending.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            let granted = core.journal.register(&claim).await;
            if let Some(unused) = core.handle_grant(request, granted) {
                core.record_outcome(&claim, unused).await;
            }
            core.journal_pending.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Applies the journal's answer to a registration.
    ///
    /// If the request was answered meanwhile because its deadline passed, the grant will never be
    /// used. It is then released: otherwise the key would appear to be running for ever.
    fn handle_grant(&self, request: RequestId, granted: ClaimResult) -> Option<Outcome> {
        let mut state = self.lock();
        let (grant, replay) = grant_of(granted);
        let unused = grant == Grant::Granted && !state.active.contains_key(&request);
        if let Some(active) = state.active.get_mut(&request) {
            active.replay = replay;
        }
        self.reduce(&mut state, Event::Registered { request, grant });
        unused.then_some(Outcome::Released)
    }

    fn finish(&self, state: &mut State, request: RequestId, ending: Ending) {
        let Some(core) = self.weak_self.upgrade() else { return };
        let Some(active) = state.active.get(&request) else { return };
        let Some(claim) = claim(request, active) else { return };
        let outcome = match ending {
            Ending::Done => Outcome::Done(active.answer(&request.to_string())),
            Ending::Released => Outcome::Released,
            Ending::Lost => Outcome::Lost,
        };
        self.journal_pending.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            core.record_outcome(&claim, outcome).await;
            core.journal_pending.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Records the outcome of a request with a key. Until that is done, callers that send the key
    /// again are told `running` or `unknown` although this host has the answer. Therefore an
    /// unavailable platform is retried for as long as the journal's window, `journal.window_ms`.
    async fn record_outcome(&self, claim: &Claim, outcome: Outcome) {
        let mut wait = FINISH_RETRY_MIN;
        let give_up_at = self.now() + self.settings.journal.window_ms;
        while self.now() < give_up_at {
            match self.journal.finish(claim, outcome.clone()).await {
                Ok(()) => return,
                Err(JournalError::NotHolder) => break,
                Err(JournalError::Unavailable) => {
                    note!(logs::Event::FinishRetried, request = %claim.attempt);
                    tokio::time::sleep(wait.duration()).await;
                    wait = (wait + wait).min(FINISH_RETRY_MAX);
                }
            }
        }
        note!(logs::Event::FinishLost, request = %claim.attempt);
    }

    fn answer(&self, state: &mut State, request: RequestId, verdict: Verdict) {
        let Some(mut active) = state.active.remove(&request) else { return };
        for running in active.attempts.values() {
            running.task.abort();
        }
        let pipeline = active.plan.pipeline_name(active.pipeline).as_str();
        let elapsed = self.now() - active.arrived;
        let reply = match verdict {
            Verdict::Done => {
                self.metrics.answered(pipeline, "whole", elapsed);
                Reply::Whole(active.answer(&request.to_string()))
            }
            Verdict::Replayed => {
                self.metrics.answered(pipeline, "replayed", elapsed);
                let recorded = active.replay.take().unwrap_or_default();
                Reply::Whole(Answer { replayed: true, ..recorded })
            }
            Verdict::Refused(refusal) => {
                let Refusal { code, ran, .. } = refusal;
                let code = problem::code(code);
                self.metrics.answered(pipeline, code, elapsed);
                note!(logs::Event::RequestRefused, request = %request, code, ran = ran.as_str());
                Reply::Refused(refusal)
            }
        };
        active.outbox.push(reply);
        if active.outbox.awaits_caller() && state.ended.len() < MAX_ENDED {
            let until = self.now() + self.settings.limits.resume_ms;
            let ended = EndedRequest { workspace: active.workspace, outbox: active.outbox, until };
            state.ended.insert(request, ended);
        }
    }
}

fn claim(request: RequestId, active: &ActiveRequest) -> Option<Claim> {
    Some(Claim { workspace: active.workspace.clone(), key: active.key?, attempt: request })
}

fn grant_of(granted: ClaimResult) -> (Grant, Option<Answer>) {
    match granted {
        ClaimResult::Granted => (Grant::Granted, None),
        ClaimResult::Answered(answer) => (Grant::Answered, Some(answer)),
        ClaimResult::Running => (Grant::Running, None),
        ClaimResult::Unknown => (Grant::Unknown, None),
        ClaimResult::Unavailable => (Grant::Unavailable, None),
        ClaimResult::Expired => (Grant::Expired, None),
    }
}
