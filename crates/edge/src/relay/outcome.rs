//! Handles the end of an attempt, and gives up engines.

use base::Ms;
use hyper::Response;
use hyper::http::response::Parts;
use logs::note;
use sched::health::Outcome;
use std::sync::Arc;

use super::attempt::{AttemptFault, Ended, Progress};
use super::silence::Silence;
use super::{OpenStream, Relay, Step, refusal};
use crate::body::{ResponseBody, full_body, is_framed};
use crate::core::Core;
use crate::gate::BlockReason;
use crate::links::Link;
use crate::refusal::Reason;
use crate::send::{Answered, SendFault};
use crate::stages;

/// Largest refusal or error of a target that is read, bytes.
const ERROR_BYTES: usize = 1 << 20;

/// What an attempt has come to.
enum Verdict {
    /// The engine streams.
    Began(Box<Parts>),
    /// The engine has answered that it failed.
    Answer(Box<Answered>),
    /// It did not run.
    NotRun,
    /// It did not run because the results of the stages are gone.
    InputsGone,
    /// It failed, and the engine may have run it.
    Lost,
    /// No engine may get it.
    Blocked(AttemptFault),
}

impl Relay {
    /// Handles the end of the attempt in `pending`, while no engine streams. Returns the next step
    /// if that is decided.
    pub(super) async fn attempt_ended(&mut self, ended: Ended) -> Option<Step> {
        self.pending = None;
        let verdict = self.judge(ended);
        match verdict {
            Verdict::Began(parts) => {
                self.withdraw_successor();
                Some(Step::Began(parts))
            }
            _ => match self.promote() {
                true => None,
                false => self.attempt_failed(verdict).await,
            },
        }
    }

    /// An attempt has failed, and nobody runs the stream any more. Without a result it is sent to
    /// another engine.
    async fn attempt_failed(&mut self, verdict: Verdict) -> Option<Step> {
        match verdict {
            Verdict::Began(_) | Verdict::NotRun => None,
            Verdict::InputsGone if self.stages_rerun => Some(Step::GivenUp(self.stages_failed())),
            Verdict::InputsGone => {
                self.inputs_gone = true;
                None
            }
            Verdict::Blocked(fault) => {
                self.obstacle = Some(fault);
                Some(Step::GivenUp(refusal(fault, self.runs)))
            }
            Verdict::Answer(_) | Verdict::Lost if self.may_resume() => None,
            Verdict::Answer(answered) if !self.begun => {
                let left = self.call.left(self.core.clock.now());
                let core = self.core.clone();
                Some(match read_failure(&core, left, *answered).await {
                    Some(response) => Step::Answer(response),
                    None => Step::GivenUp(self.failure()),
                })
            }
            Verdict::Answer(_) | Verdict::Lost => Some(Step::GivenUp(self.failure())),
        }
    }

    /// The end of the successor's attempt, while the engine before it is silent. That one is given up
    /// only if the successor has begun.
    pub(super) async fn successor_ended(&mut self, ended: Ended) -> Option<Step> {
        self.successor = None;
        match self.judge(ended) {
            Verdict::Began(parts) => {
                self.give_up_pending();
                return Some(Step::Began(parts));
            }
            Verdict::Blocked(fault) => {
                self.obstacle = Some(fault);
                return None;
            }
            Verdict::InputsGone => self.inputs_gone = !self.stages_rerun,
            Verdict::NotRun | Verdict::Lost | Verdict::Answer(_) => {}
        }
        if self.may_take_over() {
            self.begin_successor();
        }
        None
    }

    /// Judges the end of an attempt. If the engine streams, it is the open one from now on.
    fn judge(&mut self, ended: Ended) -> Verdict {
        let Ended { progress, sent_at, was_idle, results, result } = ended;
        if let Some(results) = results {
            self.results = results;
        }
        self.tried.extend(progress.link.clone());
        let link = match (&result, progress.link) {
            (Err(fault @ (AttemptFault::Blocked(_) | AttemptFault::Stages(_))), _) => {
                return Verdict::Blocked(*fault);
            }
            (_, None) => return Verdict::NotRun,
            (_, Some(link)) => link,
        };
        match result {
            Ok(answered) => {
                self.sends += 1;
                self.judge_answer(link, sent_at, was_idle, answered)
            }
            Err(AttemptFault::Send(fault)) => {
                self.sends += u32::from(!matches!(fault, SendFault::Blocked(_)));
                self.record_failure(&link, fault, None);
                match fault.unsent() {
                    true => Verdict::NotRun,
                    false => {
                        self.runs += 1;
                        Verdict::Lost
                    }
                }
            }
            Err(_) => Verdict::NotRun,
        }
    }

    fn judge_answer(
        &mut self,
        link: Arc<Link>,
        sent_at: Ms,
        was_idle: bool,
        answered: Answered,
    ) -> Verdict {
        let now = self.core.clock.now();
        let head = &answered.head;
        if head.inputs_gone {
            note!(logs::Event::InputsGone, request = %self.call.head.id, target = link.name());
            if self.tried.len() == 1 {
                self.results.inputs_read_late();
            }
            self.results.free();
            // The engine itself is healthy: it may be tried again.
            self.tried.pop();
            answered.lease.close();
            return Verdict::InputsGone;
        }
        if head.not_run {
            let outcome = if head.moved { Outcome::NoConnection } else { Outcome::Full };
            link.record(now, outcome);
            self.core.metrics.sent(&self.call.route.name, "not_run");
            answered.lease.close();
            return Verdict::NotRun;
        }
        self.runs += 1;
        match answered.parts.status.is_success() {
            true if head.signed && !head.encoded => {
                Verdict::Began(self.open(link, sent_at, was_idle, answered))
            }
            true => {
                self.record_failure(&link, SendFault::Mismatch, None);
                Verdict::Lost
            }
            false => {
                link.record(now, Outcome::Failed);
                self.core.metrics.sent(&self.call.route.name, "failed");
                Verdict::Answer(Box::new(answered))
            }
        }
    }

    /// Makes the engine that has begun the open one.
    fn open(
        &mut self,
        link: Arc<Link>,
        sent_at: Ms,
        was_idle: bool,
        answered: Answered,
    ) -> Box<Parts> {
        let Answered { parts, body, lease, .. } = answered;
        lease.answering();
        self.give_up_open(SendFault::Silent);
        self.open = Some(OpenStream {
            link,
            lease,
            body,
            sent_at,
            begun: self.core.clock.now(),
            awaits_first: true,
            framed: is_framed(&parts.headers),
            lived: Ms::ZERO,
            going: None,
            sound: false,
            was_idle,
        });
        self.begun = true;
        self.results.free();
        self.events.restart();
        self.silence = Silence::begin(&self.core);
        Box::new(parts)
    }

    /// Counts an attempt that is dropped.
    pub(super) fn count(&mut self, progress: &Progress) {
        let written = u32::from(progress.written.is_some());
        self.tried.extend(progress.link.clone());
        self.sends += written;
        // The engine may have begun to read it.
        self.runs += written;
    }

    /// Drops the attempts because the request or a part of its prompt ends engines. Returns what the
    /// caller gets if no engine streams.
    pub(super) fn poisoned(&mut self, blocked: BlockReason) -> Option<Step> {
        self.withdraw_successor();
        let attempt = self.pending.take()?;
        self.count(&attempt.progress());
        Some(Step::GivenUp(blocked.into()))
    }

    /// The end of the caller's time.
    pub(super) fn time_out(&mut self) -> Reason {
        self.withdraw_successor();
        self.give_up_open(SendFault::Silent);
        self.give_up_pending();
        if self.runs > 0 { Reason::Timeout } else { Reason::NoTime }
    }

    /// The refusal of a request whose stages can't be run once more.
    pub(super) fn stages_failed(&self) -> Reason {
        let reason = Reason::Stages(stages::longest_call(&self.call));
        refusal(AttemptFault::Stages(reason), self.runs)
    }

    /// Why a request has failed that an engine may have run.
    fn failure(&self) -> Reason {
        match self.call.left(self.core.clock.now()) {
            Ms::ZERO => Reason::Timeout,
            _ => Reason::Failed,
        }
    }

    /// Closes the connection of the engine that streams, so that it stops.
    pub(super) fn give_up_open(&mut self, fault: SendFault) {
        let Some(mut open) = self.open.take() else { return };
        if fault == SendFault::Broken {
            open.lease.broken();
        }
        let outcome = match fault {
            SendFault::Silent => Outcome::Silent,
            _ => Outcome::Broken,
        };
        let now = self.core.clock.now();
        open.link.record(now, outcome);
        self.record_failure(&open.link, fault, Some(now - open.begun));
        self.events.restart();
    }

    /// Drops the attempt at an engine that does not answer.
    pub(super) fn give_up_pending(&mut self) {
        let Some(attempt) = self.pending.take() else { return };
        let progress = attempt.progress();
        self.count(&progress);
        if let Progress { link: Some(link), written: Some(_) } = progress {
            self.core.record_silence(&link);
            link.record(self.core.clock.now(), Outcome::Silent);
            self.record_failure(&link, SendFault::Silent, None);
        }
    }

    /// Logs and counts a failed send, or a stream that failed. `answering` is the time since the engine
    /// began to answer; none if it had not.
    fn record_failure(&self, link: &Link, fault: SendFault, answering: Option<Ms>) {
        note!(
            logs::Event::AttemptFailed,
            request = %self.call.head.id,
            key = format!("{:x}", self.call.suspects.key()),
            target = link.name(),
            fault = fault.name(),
            last_event = self.events.last(),
            parts = self.call.head.shared_ids(),
            answering_ms = answering.map(|time| time.0),
            left_ms = self.call.left(self.core.clock.now()).0
        );
        self.core.metrics.sent(&self.call.route.name, fault.name());
    }
}

/// Reads an engine's answer that it has failed; none if it does not arrive whole.
async fn read_failure(
    core: &Core,
    left: Ms,
    answered: Answered,
) -> Option<Box<Response<ResponseBody>>> {
    let Answered { parts, body, lease, .. } = answered;
    let read = tokio::time::timeout(left.duration(), link::read(body, ERROR_BYTES));
    let body = read.await.ok()?.ok()?;
    lease.close();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = core.dialect.response_headers(&parts.headers);
    Some(Box::new(response))
}
