//! A small test deployment, and a test host that feeds events to the reducer and collects its
//! effects.
#![allow(dead_code)]

pub mod oracle;

use base::{Attempt, Generation, Ms, RequestId};
use conf::{Fleet, Plan};
use policy::{
    Arrival, Code, Decision, Effect, Event, Fault, HostContext, Reducer, State, Usage, Verdict,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

/// Two regions and three failure domains; `home` is the host's domain. Pools: `enc` has four
/// targets in `home`; `gen` has engines, two in `home`, one in `near` and one in `far`; `book` is
/// non-repeatable.
pub const FLEET: &str = "
deployment: test
cost_weight: 0.5
regions:
  - name: east
    domains: [{ name: home }, { name: near }]
  - name: west
    domains: [{ name: far }]
models: [{ name: m }]
pools:
  - name: enc
    kind: stage
    targets:
      - { name: enc-1, domain: home, address: '127.0.0.1:1', slots: 4 }
      - { name: enc-2, domain: home, address: '127.0.0.1:2', slots: 4 }
      - { name: enc-3, domain: home, address: '127.0.0.1:3', slots: 4 }
      - { name: enc-4, domain: home, address: '127.0.0.1:4', slots: 4 }
  - name: gen
    kind: engine
    targets:
      - { name: gen-1, domain: home, address: '127.0.0.1:5', slots: 4, models: [m] }
      - { name: gen-2, domain: home, address: '127.0.0.1:6', slots: 4, models: [m] }
      - { name: gen-3, domain: near, address: '127.0.0.1:7', slots: 4, models: [m] }
      - { name: gen-4, domain: far, address: '127.0.0.1:8', slots: 4, models: [m] }
  - name: book
    kind: service
    targets:
      - { name: book-1, domain: home, address: '127.0.0.1:9', slots: 4 }
      - { name: book-2, domain: home, address: '127.0.0.1:10', slots: 4 }
workspaces: [{ name: big }, { name: small }, { name: other }]
pipelines:
  - name: short
    stages: [{ name: e, pool: enc, typical_ms: 50 }]
  - name: chat
    stages:
      - { name: e, pool: enc, typical_ms: 50 }
      - { name: g, pool: gen, model: m, stream: true, typical_ms: 500 }
  - name: order
    stages:
      - { name: e, pool: enc, typical_ms: 50 }
      - { name: b, pool: book, repeatable: false, typical_ms: 50 }
      - { name: n, pool: enc, typical_ms: 50 }
  - name: talk
    placement: anywhere
    stages: [{ name: g, pool: gen, model: m, stream: true, typical_ms: 500 }]
";

/// The parsed deployment.
pub fn fleet() -> Fleet {
    Fleet::parse(FLEET).expect("it parses")
}

/// A validated configuration.
pub fn plan(generation: u64, fleet: Fleet) -> Arc<Plan> {
    Arc::new(Plan::new(Generation(generation), fleet).expect("it is sound"))
}

/// A host in `home`.
pub fn host_context() -> HostContext {
    HostContext { host: "h1".into(), domain: "home".into(), region: "east".into(), seed: 7 }
}

/// A stage that was sent to a target.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: RequestId,
    pub stage: usize,
    pub attempt: Attempt,
    pub target: String,
    pub offset: u32,
    pub budget: Ms,
}

/// A test host: tests feed events to it, and it sorts the effects by kind.
pub struct Host {
    pub state: Box<dyn Reducer>,
    pub now: Ms,
    pub sends: Vec<Sent>,
    pub cancels: Vec<(RequestId, Attempt)>,
    pub answers: Vec<(RequestId, Verdict, Ms)>,
    pub registers: Vec<RequestId>,
    pub other_effects: Vec<Effect>,
    next: u128,
}

impl Host {
    pub fn new() -> Self {
        Self::with_disabled(&[])
    }

    pub fn with_disabled(disabled: &[Decision]) -> Self {
        Self::with_fleet(disabled, fleet())
    }

    pub fn with_fleet(disabled: &[Decision], fleet: Fleet) -> Self {
        let mut host = Self {
            state: Box::new(State::new(host_context(), disabled)),
            now: Ms(1_000_000),
            sends: Vec::new(),
            cancels: Vec::new(),
            answers: Vec::new(),
            registers: Vec::new(),
            other_effects: Vec::new(),
            next: 0,
        };
        host.feed(Event::Config(plan(1, fleet)));
        host
    }

    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.state.reduce(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Send { request, stage, attempt, target, offset, budget } => {
                    let target = target.to_string();
                    self.sends.push(Sent { request, stage, attempt, target, offset, budget });
                }
                Effect::Cancel { request, attempt, .. } => self.cancels.push((request, attempt)),
                Effect::Answer { request, verdict } => {
                    self.answers.push((request, verdict, self.now));
                }
                Effect::Register { request } => self.registers.push(request),
                other => self.other_effects.push(other),
            }
        }
    }

    /// Advances time by `ms`, with a tick every 50 ms.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Ms(ms);
        while self.now < end {
            self.now = (self.now + Ms(50)).min(end);
            self.feed(Event::Tick);
        }
    }

    pub fn arrival(&self, workspace: &str, pipeline: &str) -> Arrival {
        Arrival {
            request: RequestId::from_u128(self.next + 1),
            workspace: workspace.into(),
            pipeline: pipeline.into(),
            priority: None,
            deadline: self.now + Ms(9_000),
            tokens_in: 100,
            max_tokens: 0,
            prefix: 0,
            fingerprint: self.next as u64 + 1,
            keyed: false,
            resent: false,
        }
    }

    pub fn arrive(&mut self, arrival: Arrival) -> RequestId {
        self.next += 1;
        let request = RequestId::from_u128(self.next);
        self.feed(Event::Arrive(Arrival { request, ..arrival }));
        request
    }

    /// Submits a request of a workspace for a pipeline.
    pub fn submit(&mut self, workspace: &str, pipeline: &str) -> RequestId {
        let arrival = self.arrival(workspace, pipeline);
        self.arrive(arrival)
    }

    /// The latest send of a request.
    pub fn last_send(&self, request: RequestId) -> Sent {
        let mut sends = self.sends.iter().rev();
        sends.find(|s| s.request == request).cloned().expect("it was sent")
    }

    pub fn sends_of(&self, request: RequestId) -> Vec<Sent> {
        self.sends.iter().filter(|s| s.request == request).cloned().collect()
    }

    pub fn mark_sent(&mut self, sent: &Sent) {
        let Sent { request, stage, attempt, .. } = *sent;
        self.feed(Event::Sent { request, stage, attempt });
    }

    pub fn piece(&mut self, sent: &Sent, offset: u32) {
        let Sent { request, stage, attempt, .. } = *sent;
        self.feed(Event::Piece { request, stage, attempt, offset });
    }

    pub fn done(&mut self, sent: &Sent) {
        let Sent { request, stage, attempt, .. } = *sent;
        self.feed(Event::Done { request, stage, attempt, usage: Usage::default() });
    }

    pub fn fail(&mut self, sent: &Sent, fault: Fault) {
        let Sent { request, stage, attempt, .. } = *sent;
        self.feed(Event::Failed { request, stage, attempt, fault });
    }

    pub fn answer(&self, request: RequestId) -> Option<Verdict> {
        self.answers.iter().find(|a| a.0 == request).map(|a| a.1)
    }

    pub fn code(&self, request: RequestId) -> Option<Code> {
        match self.answer(request)? {
            Verdict::Refused(refusal) => Some(refusal.code),
            _ => None,
        }
    }

    /// Runs in virtual time until all arrivals are answered. The duration of each call is given by
    /// `time`, in ms. A target runs as many calls concurrently as it is given.
    pub fn serve(&mut self, mut arrivals: Vec<(Ms, Arrival)>, time: impl Fn(&Sent) -> u64) {
        arrivals.reverse();
        let mut ends: BinaryHeap<Reverse<(Ms, usize)>> = BinaryHeap::new();
        let mut seen = self.sends.len();
        let mut tick = self.now;
        loop {
            while seen < self.sends.len() {
                let sent = self.sends[seen].clone();
                let end = self.now + Ms(time(&sent));
                self.mark_sent(&sent);
                ends.push(Reverse((end, seen)));
                seen += 1;
            }
            let end = ends.peek().map(|e| e.0.0);
            let next = arrivals.last().map(|a| a.0);
            let Some(now) = [end, next].into_iter().flatten().min() else { return };
            if tick <= now {
                self.now = tick.max(self.now);
                tick += Ms(50);
                self.feed(Event::Tick);
                continue;
            }
            self.now = now.max(self.now);
            if next == Some(now) {
                let (_, arrival) = arrivals.pop().expect("it was seen");
                self.feed(Event::Arrive(arrival));
            } else if let Some(Reverse((_, at))) = ends.pop() {
                let sent = self.sends[at].clone();
                if !self.cancels.contains(&(sent.request, sent.attempt)) {
                    self.done(&sent);
                }
            }
        }
    }

    /// An arrival `at` ms from now, with a deadline `left` ms later.
    pub fn arrival_at(
        &mut self,
        at: u64,
        left: u64,
        workspace: &str,
        pipeline: &str,
    ) -> (Ms, Arrival) {
        self.next += 1;
        let request = RequestId::from_u128(self.next);
        let at = self.now + Ms(at);
        let arrival = self.arrival(workspace, pipeline);
        (at, Arrival { request, deadline: at + Ms(left), ..arrival })
    }

    /// Fraction of the requests that were answered with a complete result.
    pub fn success_share(&self, requests: impl IntoIterator<Item = RequestId>) -> f64 {
        let of: BTreeMap<_, _> = self.answers.iter().map(|a| (a.0, a.1)).collect();
        let all: Vec<_> = requests.into_iter().collect();
        let done = all.iter().filter(|r| of.get(r) == Some(&Verdict::Done)).count();
        done as f64 / all.len() as f64
    }

    pub fn set_leaving(&mut self, target: &str, leaving: bool) {
        self.feed(Event::Leaving { target: target.into(), leaving });
    }
}
