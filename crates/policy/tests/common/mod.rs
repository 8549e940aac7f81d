//! A small deployment, and a host that carries out effects by hand.
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

/// Two regions, three failure domains; `home` is the host's. Pools: `enc` with four targets at
/// home, `gen` engines two at home, one near and one far, `book` may not be repeated.
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

/// The deployment.
pub fn fleet() -> Fleet {
    Fleet::parse(FLEET).expect("it parses")
}

/// A checked configuration.
pub fn plan(generation: u64, fleet: Fleet) -> Arc<Plan> {
    Arc::new(Plan::new(Generation(generation), fleet).expect("it is sound"))
}

/// A host at home.
pub fn placed() -> HostContext {
    HostContext { host: "h1".into(), domain: "home".into(), region: "east".into(), seed: 7 }
}

/// A request that is sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: RequestId,
    pub stage: usize,
    pub attempt: Attempt,
    pub target: String,
    pub offset: u32,
    pub budget: Ms,
}

/// A host in a test: events go in by hand, effects are sorted.
pub struct Host {
    pub state: Box<dyn Reducer>,
    pub now: Ms,
    pub sends: Vec<Sent>,
    pub cancels: Vec<(RequestId, Attempt)>,
    pub answers: Vec<(RequestId, Verdict, Ms)>,
    pub registers: Vec<RequestId>,
    pub others: Vec<Effect>,
    next: u128,
}

impl Host {
    pub fn new() -> Self {
        Self::without(&[])
    }

    pub fn without(without: &[Decision]) -> Self {
        Self::with(without, fleet())
    }

    pub fn with(without: &[Decision], fleet: Fleet) -> Self {
        let mut host = Self {
            state: Box::new(State::new(placed(), without)),
            now: Ms(1_000_000),
            sends: Vec::new(),
            cancels: Vec::new(),
            answers: Vec::new(),
            registers: Vec::new(),
            others: Vec::new(),
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
                other => self.others.push(other),
            }
        }
    }

    /// Time passes, with a tick each 50 ms.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + Ms(ms);
        while self.now < end {
            self.now = (self.now + Ms(50)).min(end);
            self.feed(Event::Tick);
        }
    }

    pub fn ask(&self, space: &str, pipeline: &str) -> Arrival {
        Arrival {
            request: RequestId::from_u128(self.next + 1),
            workspace: space.into(),
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

    /// A request of a workspace for a pipeline.
    pub fn come(&mut self, space: &str, pipeline: &str) -> RequestId {
        let arrival = self.ask(space, pipeline);
        self.arrive(arrival)
    }

    /// The last send of a request.
    pub fn last(&self, request: RequestId) -> Sent {
        let mut sends = self.sends.iter().rev();
        sends.find(|s| s.request == request).cloned().expect("it was sent")
    }

    pub fn sent_of(&self, request: RequestId) -> Vec<Sent> {
        self.sends.iter().filter(|s| s.request == request).cloned().collect()
    }

    pub fn hand_over(&mut self, sent: &Sent) {
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

    /// Serves in virtual time until all arrivals are answered. Each call takes what `time` says,
    /// ms; a target runs as many at once as it is given.
    pub fn serve(&mut self, mut arrivals: Vec<(Ms, Arrival)>, time: impl Fn(&Sent) -> u64) {
        arrivals.reverse();
        let mut ends: BinaryHeap<Reverse<(Ms, usize)>> = BinaryHeap::new();
        let mut seen = self.sends.len();
        let mut tick = self.now;
        loop {
            while seen < self.sends.len() {
                let sent = self.sends[seen].clone();
                let end = self.now + Ms(time(&sent));
                self.hand_over(&sent);
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

    /// An arrival `at` ms from now that is due `left` ms later.
    pub fn later(&mut self, at: u64, left: u64, space: &str, pipeline: &str) -> (Ms, Arrival) {
        self.next += 1;
        let request = RequestId::from_u128(self.next);
        let at = self.now + Ms(at);
        let arrival = self.ask(space, pipeline);
        (at, Arrival { request, deadline: at + Ms(left), ..arrival })
    }

    /// Share of the requests that were answered whole.
    pub fn whole(&self, requests: impl IntoIterator<Item = RequestId>) -> f64 {
        let of: BTreeMap<_, _> = self.answers.iter().map(|a| (a.0, a.1)).collect();
        let all: Vec<_> = requests.into_iter().collect();
        let done = all.iter().filter(|r| of.get(r) == Some(&Verdict::Done)).count();
        done as f64 / all.len() as f64
    }

    pub fn leave(&mut self, target: &str, leaving: bool) {
        self.feed(Event::Leaving { target: target.into(), leaving });
    }
}
