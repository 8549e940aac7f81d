//! Invariants of every policy, checked on each effect by a test host that tracks the true state.

use base::{Attempt, Ms, RequestId};
use conf::Plan;
use policy::{Arrival, Code, Effect, Ending, Event, Fault, Grant, Ran, Reducer, Usage, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{fleet, plan};

/// An operation of a random test. Each `pick` is taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Op {
    Arrive { workspace: usize, pipeline: usize, resent: bool, left: u64, fingerprint: u64 },
    Grant { pick: usize, grant: Grant },
    Sent { pick: usize },
    Piece { pick: usize, tokens: u32 },
    Done { pick: usize },
    Fail { pick: usize, fault: Fault },
    Gone { pick: usize },
    Leaving { target: usize, leaving: bool },
    Load { target: usize, running: u32 },
    Config { which: usize },
    Hosts { live: u32 },
    Poisoned { fingerprint: u64 },
    Cache { target: usize, seq: u64, prefix: u64, stored: bool },
    Drain,
    Advance { ms: u64 },
}

const TARGETS: [&str; 10] =
    ["enc-1", "enc-2", "enc-3", "enc-4", "gen-1", "gen-2", "gen-3", "gen-4", "book-1", "book-2"];
const WORKSPACES: [&str; 3] = ["big", "small", "other"];
const PIPELINES: [&str; 4] = ["short", "chat", "order", "talk"];

/// A request as the test host tracks it.
struct Live {
    plan: Arc<Plan>,
    pipeline: usize,
    deadline: Ms,
    keyed: bool,
    resent: bool,
    grant: Option<Grant>,
    stage: usize,
    received: u32,
    streaming: Option<Attempt>,
    attempts: BTreeMap<Attempt, bool>,
    /// Attempts that were written to a socket and not refused by their target.
    open_sends: u32,
    ran: bool,
    /// Non-repeatable stages that were written to a socket.
    sent_once: BTreeSet<usize>,
    non_repeatable_begun: bool,
    finish: Option<Ending>,
}

impl Live {
    fn repeatable(&self) -> bool {
        self.plan.stages[self.pipeline][self.stage].repeatable
    }
}

/// A test host that checks each effect against the invariants.
pub struct Oracle {
    state: Box<dyn Reducer>,
    now: Ms,
    plans: [Arc<Plan>; 2],
    plan: Arc<Plan>,
    leaving: BTreeSet<String>,
    draining: bool,
    live: BTreeMap<RequestId, Live>,
    registering: BTreeSet<RequestId>,
    submitted: u128,
    answered: BTreeSet<RequestId>,
    trace: String,
}

impl Oracle {
    pub fn new(state: Box<dyn Reducer>) -> Self {
        let mut less = fleet();
        less.pools[0].targets.pop();
        let plans = [plan(1, fleet()), plan(2, less)];
        let mut oracle = Self {
            state,
            now: Ms(1_000_000),
            plan: plans[0].clone(),
            plans,
            leaving: BTreeSet::new(),
            draining: false,
            live: BTreeMap::new(),
            registering: BTreeSet::new(),
            submitted: 0,
            answered: BTreeSet::new(),
            trace: String::new(),
        };
        oracle.feed(Event::Config(oracle.plan.clone()));
        oracle
    }

    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        let late = match &event {
            Event::Done { request, stage, .. } => {
                let live = &self.live[request];
                let last = *stage + 1 == live.plan.stages[live.pipeline].len();
                (last && self.now > live.deadline).then_some(*request)
            }
            _ => None,
        };
        if let Event::Done { request, .. } = &event
            && let Some(live) = self.live.get_mut(request)
        {
            live.stage += 1;
            live.received = 0;
            live.streaming = None;
        }
        self.state.reduce(self.now, event, &mut out);
        self.trace.push_str(&serde_json::to_string(&out).expect("effects serialise"));
        for effect in out {
            if let (Some(late), Effect::Answer { request, verdict }) = (late, &effect)
                && late == *request
            {
                let code = |r: &policy::Refusal| r.code == Code::DeadlinePassed;
                assert!(
                    matches!(verdict, Verdict::Refused(r) if code(r)),
                    "an answer after the deadline is refused"
                );
            }
            self.check_effect(effect);
        }
        // A stream is accepted from one attempt until it ends: chunks of another attempt would be
        // dropped forever, so the accepted attempt must not be cancelled.
        let cancelled = |l: &&Live| l.streaming.is_some_and(|t| !l.attempts.contains_key(&t));
        assert!(self.live.values().find(cancelled).is_none(), "the accepted stream was cancelled");
    }

    fn check_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Register { request } => {
                assert!(self.live[&request].keyed);
                assert!(self.registering.insert(request), "registered twice");
            }
            Effect::Send { request, stage, attempt, target, offset, budget } => {
                let live = self.live.get_mut(&request).expect("only open requests are sent");
                let name = target.as_str();
                assert!(!self.leaving.contains(name), "{name} is leaving service but got work");
                assert!(
                    self.plan.target(&target).is_some(),
                    "{name} was removed from the configuration but got work"
                );
                assert!(
                    !live.keyed || live.grant == Some(Grant::Granted),
                    "sent before its key was granted"
                );
                assert_eq!(stage, live.stage);
                assert_eq!(offset, live.received, "a stream resumes after the tokens received");
                assert!(budget > Ms::ZERO);
                assert!(live.attempts.len() < 2, "a hedge at most");
                if !live.repeatable() {
                    assert!(
                        live.attempts.is_empty(),
                        "two concurrent attempts of non-repeatable work"
                    );
                    assert!(!live.sent_once.contains(&stage), "non-repeatable work was sent twice");
                }
                assert!(
                    live.attempts.insert(attempt, false).is_none(),
                    "each attempt has a new number"
                );
            }
            Effect::Cancel { request, attempt, .. } => {
                let live = self.live.get_mut(&request).expect("only open requests are cancelled");
                assert!(
                    live.attempts.remove(&attempt).is_some(),
                    "only running attempts are cancelled"
                );
            }
            Effect::Finish { request, ending } => {
                let live = self.live.get_mut(&request).expect("finished before it is answered");
                assert_eq!(live.grant, Some(Grant::Granted));
                assert!(live.finish.replace(ending).is_none(), "finished twice");
                match ending {
                    Ending::Released => assert!(
                        !live.non_repeatable_begun,
                        "the key of started non-repeatable work was released"
                    ),
                    Ending::Lost => assert!(live.non_repeatable_begun),
                    Ending::Done => assert_eq!(live.stage, live.plan.stages[live.pipeline].len()),
                }
            }
            Effect::Answer { request, verdict } => self.answered(request, verdict),
            Effect::Poison { .. } | Effect::Wake { .. } => {}
        }
    }

    fn answered(&mut self, request: RequestId, verdict: Verdict) {
        assert!(self.answered.insert(request), "answered twice");
        let live = self.live.remove(&request).expect("it was open");
        self.registering.remove(&request);
        assert!(live.attempts.is_empty(), "answered while an attempt runs");
        assert_eq!(live.grant == Some(Grant::Granted), live.finish.is_some());
        match verdict {
            Verdict::Done => {
                assert_eq!(live.stage, live.plan.stages[live.pipeline].len());
                assert!(self.now <= live.deadline);
            }
            Verdict::Replayed => assert_eq!(live.grant, Some(Grant::Answered)),
            Verdict::Refused(refusal) if refusal.ran == Ran::No => {
                assert_eq!(live.open_sends, 0, "reported as not run although it was sent");
                assert!(!live.ran, "reported as not run although it ran");
                assert!(!live.resent || live.grant == Some(Grant::Granted), "it may have run");
                assert!(!matches!(live.grant, Some(Grant::Running | Grant::Unknown)));
            }
            Verdict::Refused(_) => {}
        }
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Arrive { workspace, pipeline, resent, left, fingerprint } => {
                self.submitted += 1;
                let request = RequestId::from_u128(self.submitted);
                let keyed = PIPELINES[pipeline] == "order";
                let resent = resent && keyed;
                let deadline = self.now + Ms(left);
                let live = Live {
                    plan: self.plan.clone(),
                    pipeline,
                    deadline,
                    keyed,
                    resent,
                    grant: None,
                    stage: 0,
                    received: 0,
                    streaming: None,
                    attempts: BTreeMap::new(),
                    open_sends: 0,
                    ran: false,
                    sent_once: BTreeSet::new(),
                    non_repeatable_begun: false,
                    finish: None,
                };
                self.live.insert(request, live);
                self.feed(Event::Arrive(Arrival {
                    request,
                    workspace: WORKSPACES[workspace].into(),
                    pipeline: PIPELINES[pipeline].into(),
                    priority: None,
                    deadline,
                    tokens_in: 100,
                    max_tokens: 64,
                    prefix: fingerprint % 4,
                    fingerprint,
                    keyed,
                    resent,
                }));
                if self.draining {
                    assert!(self.answered.contains(&request), "admitted while draining");
                }
            }
            Op::Grant { pick, grant } => {
                let Some(&request) = nth(self.registering.iter(), pick) else { return };
                self.registering.remove(&request);
                if let Some(live) = self.live.get_mut(&request) {
                    live.grant = Some(grant);
                }
                self.feed(Event::Registered { request, grant });
            }
            Op::Sent { pick } => {
                let Some((request, attempt, false)) = self.pick(pick) else { return };
                let live = self.live.get_mut(&request).expect("it is open");
                live.attempts.insert(attempt, true);
                live.open_sends += 1;
                if !live.repeatable() {
                    live.sent_once.insert(live.stage);
                    live.non_repeatable_begun = true;
                }
                let stage = live.stage;
                self.feed(Event::Sent { request, stage, attempt });
            }
            Op::Piece { pick, tokens } => {
                let Some((request, attempt, true)) = self.pick(pick) else { return };
                let live = self.live.get_mut(&request).expect("it is open");
                let stream = live.plan.stages[live.pipeline][live.stage].stream;
                if !stream || live.streaming.is_some_and(|t| t != attempt) {
                    return;
                }
                live.streaming = Some(attempt);
                live.received += tokens;
                live.ran = true;
                let (stage, offset) = (live.stage, live.received);
                self.feed(Event::Piece { request, stage, attempt, offset });
                let left = self.live.get(&request).map(|l| l.attempts.len());
                assert_eq!(left, Some(1), "the other attempts are cancelled");
            }
            Op::Done { pick } => {
                let Some((request, attempt, true)) = self.pick(pick) else { return };
                let live = self.live.get_mut(&request).expect("it is open");
                if live.streaming.is_some_and(|t| t != attempt) {
                    return;
                }
                live.ran = true;
                live.attempts.remove(&attempt);
                let stage = live.stage;
                self.feed(Event::Done { request, stage, attempt, usage: Usage::default() });
            }
            Op::Fail { pick, fault } => {
                let Some((request, attempt, sent)) = self.pick(pick) else { return };
                let fault = if sent { fault } else { Fault::Connect };
                let live = self.live.get_mut(&request).expect("it is open");
                live.attempts.remove(&attempt);
                if live.streaming == Some(attempt) {
                    live.streaming = None;
                }
                if sent && fault.not_run() {
                    live.open_sends -= 1;
                    // Earlier stages that ran still count.
                    let earlier = live.sent_once.iter().any(|&s| s < live.stage);
                    live.non_repeatable_begun = earlier;
                }
                let stage = live.stage;
                self.feed(Event::Failed { request, stage, attempt, fault });
            }
            Op::Gone { pick } => {
                if let Some(&request) = nth(self.live.keys(), pick) {
                    self.feed(Event::Gone { request });
                }
            }
            Op::Leaving { target, leaving } => {
                let name = TARGETS[target];
                match leaving {
                    true => self.leaving.insert(name.to_owned()),
                    false => self.leaving.remove(name),
                };
                self.feed(Event::Leaving { target: name.into(), leaving });
            }
            Op::Load { target, running } => self.feed(Event::Load {
                target: TARGETS[target].into(),
                running,
                queued: running / 3,
                at: self.now - Ms(300),
            }),
            Op::Config { which } => {
                self.plan = self.plans[which].clone();
                self.feed(Event::Config(self.plan.clone()));
            }
            Op::Hosts { live } => self.feed(Event::Hosts { live }),
            Op::Poisoned { fingerprint } => {
                self.feed(Event::Poisoned { fingerprint, until: self.now + Ms(500) });
            }
            Op::Cache { target, seq, prefix, stored } => {
                self.feed(Event::Cache { target: TARGETS[target].into(), seq, prefix, stored });
            }
            Op::Drain => {
                self.draining = true;
                self.feed(Event::Drain);
            }
            Op::Advance { ms } => self.advance(ms),
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + Ms(ms);
        while self.now < end {
            self.now = (self.now + Ms(50)).min(end);
            self.feed(Event::Tick);
            let overdue = self.live.values().find(|l| l.deadline <= self.now);
            assert!(overdue.is_none(), "not answered by its deadline");
        }
    }

    /// A running attempt, and whether it was sent.
    fn pick(&self, pick: usize) -> Option<(RequestId, Attempt, bool)> {
        let all = self.live.iter();
        let all = all.flat_map(|(&r, l)| l.attempts.iter().map(move |(&a, &sent)| (r, a, sent)));
        nth(all, pick)
    }

    /// Lets all open requests end, and checks that each one was answered.
    pub fn finish(mut self) -> String {
        self.advance(9_500);
        assert!(self.live.is_empty(), "never answered");
        assert_eq!(self.answered.len() as u128, self.submitted);
        self.trace
    }
}

fn nth<T>(all: impl Iterator<Item = T> + Clone, pick: usize) -> Option<T> {
    let len = all.clone().count();
    all.into_iter().nth(pick.checked_rem(len)?)
}
