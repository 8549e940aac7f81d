//! Targets in memory, behind the host's border to targets.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use entry::{Bounds, Dial, Line, Probed};
use fakes::{Gate, expected_output, token};
use hyper::StatusCode;
use link::{ConnPolicy, LinkError};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use wire::{Piece, StageCall, StageReply};

use crate::faults::Faults;
use crate::mutation::Mutation;
use crate::schedule::Kind;

/// The targets that stream.
const ENGINES: [usize; 2] = [2, 3];

/// One call that a target began to run.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub request: String,
    pub key: String,
    pub at: Ms,
}

/// All targets of a run.
pub struct Targets {
    pub faults: Arc<Faults>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    runs: Vec<RunLog>,
    /// Keys that were handed to a connection, whether they arrived or not.
    handed: BTreeSet<String>,
    calls: BTreeMap<String, Call>,
    /// Counts a target's crashes and silences: what is of an older count is lost.
    crashes: BTreeMap<usize, u32>,
    silences: BTreeMap<usize, u32>,
}

#[derive(Clone)]
enum Call {
    Running(u32),
    Done(StageReply),
}

impl Targets {
    pub fn new(faults: Arc<Faults>) -> Arc<Self> {
        Arc::new(Self { faults, inner: Mutex::default() })
    }

    pub fn fault(&self, target: usize, kind: Kind, span: Ms) {
        self.faults.set(target, kind, span);
        let mut inner = self.lock();
        match kind {
            Kind::Down => {
                *inner.crashes.entry(target).or_default() += 1;
                // What it knew of its calls is gone with it.
                let prefix = format!("{target}/");
                inner.calls.retain(|id, _| !id.starts_with(&prefix));
            }
            Kind::Silent => *inner.silences.entry(target).or_default() += 1,
            _ => {}
        }
    }

    pub fn runs(&self) -> Vec<RunLog> {
        self.lock().runs.clone()
    }

    pub fn handed(&self) -> BTreeSet<String> {
        self.lock().handed.clone()
    }

    fn crashes(&self, target: usize) -> u32 {
        self.lock().crashes.get(&target).copied().unwrap_or(0)
    }

    fn silences(&self, target: usize) -> u32 {
        self.lock().silences.get(&target).copied().unwrap_or(0)
    }

    fn pace(&self, target: usize, range: std::ops::Range<u64>) -> Ms {
        let time = self.faults.within(range);
        if self.faults.has(target, Kind::Slow) { time.scale(40, 1) } else { time }
    }

    fn begin(&self, target: usize, call: &StageCall) -> String {
        let id = call_id(target, call);
        let mut inner = self.lock();
        let at = self.faults.now();
        inner.runs.push(RunLog { request: call.request.clone(), key: call.key.clone(), at });
        inner.calls.insert(id.clone(), Call::Running(call.offset));
        id
    }

    /// Runs a call to its end, unless the target crashes.
    async fn run(self: Arc<Self>, target: usize, call: StageCall, out: mpsc::Sender<Bytes>) {
        let life = self.crashes(target);
        let id = self.begin(target, &call);
        let engine = ENGINES.contains(&target);
        let mut reply = StageReply {
            request: call.request.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt,
            ..StageReply::default()
        };
        sleep(self.pace(target, 3..20).duration()).await;
        if !engine {
            reply.output = expected_output(&call.stage, &call.input);
            if self.crashes(target) == life {
                self.lock().calls.insert(id, Call::Done(reply.clone()));
                self.foreign(target, &mut reply.request, &mut reply.output);
                let _ = out.send(json(&reply)).await;
            }
            return;
        }
        for offset in call.offset..call.max_tokens {
            sleep(self.pace(target, 1..4).duration()).await;
            let cut = self.faults.has(target, Kind::Cut) && self.faults.chance(20);
            if cut || self.crashes(target) != life {
                return;
            }
            self.lock().calls.insert(id.clone(), Call::Running(offset + 1));
            let mut piece = Piece {
                request: call.request.clone(),
                stage: call.stage.clone(),
                attempt: call.attempt,
                offset,
                text: token(&call.input, offset),
                tokens: 1,
                end: offset + 1 == call.max_tokens,
                ..Piece::default()
            };
            self.foreign(target, &mut piece.request, &mut piece.text);
            let mut sent = vec![json(&piece)];
            if self.faults.has(target, Kind::Doubled) && self.faults.chance(30) {
                let old = offset.saturating_sub(self.faults.within(0..4).0 as u32);
                let late =
                    Piece { offset: old, text: token(&call.input, old), end: false, ..piece };
                sent.insert(0, json(&late));
            }
            for bytes in sent {
                if out.send(bytes).await.is_err() {
                    return;
                }
            }
        }
        reply.output = (0..call.max_tokens).map(|i| token(&call.input, i)).collect();
        self.lock().calls.insert(id, Call::Done(reply));
    }

    fn foreign(&self, target: usize, request: &mut String, text: &mut String) {
        if self.faults.has(target, Kind::Foreign) && self.faults.chance(30) {
            *request = "another".to_owned();
            *text = "foreign ".to_owned();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One host's ways to the targets.
pub struct Ways {
    pub targets: Arc<Targets>,
    pub host: usize,
    pub gate: Arc<Gate>,
    pub mutation: Option<Mutation>,
}

impl Ways {
    fn reachable(&self, target: usize) -> bool {
        let faults = &self.targets.faults;
        !faults.has(target, Kind::Down) && !faults.is_cut(self.host, target)
    }
}

#[async_trait]
impl Dial for Ways {
    async fn open(&self, addr: SocketAddr, _: ConnPolicy) -> Result<Box<dyn Line>, LinkError> {
        self.gate.pass().await;
        let target = usize::from(addr.port()) - 1;
        sleep(self.targets.faults.within(0..3).duration()).await;
        self.gate.pass().await;
        if !self.reachable(target) {
            return Err(LinkError::Connect);
        }
        Ok(Box::new(MemLine {
            targets: self.targets.clone(),
            host: self.host,
            target,
            life: self.targets.crashes(target),
            silence: self.targets.silences(target),
            gate: self.gate.clone(),
            mutation: self.mutation,
            call: StageCall::default(),
            next: 0,
            first: None,
            answer: None,
        }))
    }

    async fn probe(&self, addr: SocketAddr, call: &StageCall, bounds: Bounds) -> Probed {
        self.gate.pass().await;
        let target = usize::from(addr.port()) - 1;
        if !self.reachable(target) {
            sleep(bounds.silence.duration()).await;
            return Probed::Dead;
        }
        sleep(self.targets.faults.within(0..3).duration()).await;
        let found = self.targets.lock().calls.get(&call_id(target, call)).cloned();
        match found {
            Some(Call::Running(tokens)) => Probed::Running { tokens },
            Some(Call::Done(reply)) => Probed::Done(Box::new(reply)),
            None => Probed::Lost,
        }
    }

    fn clear(&self, _: SocketAddr) {}
}

struct MemLine {
    targets: Arc<Targets>,
    host: usize,
    target: usize,
    life: u32,
    silence: u32,
    gate: Arc<Gate>,
    mutation: Option<Mutation>,
    call: StageCall,
    /// The token that the response has come to.
    next: u32,
    /// What came with the head.
    first: Option<Bytes>,
    answer: Option<mpsc::Receiver<Bytes>>,
}

impl MemLine {
    fn broken(&self) -> bool {
        self.targets.crashes(self.target) != self.life
    }

    fn mute(&self) -> bool {
        self.targets.silences(self.target) != self.silence
            || self.targets.faults.is_cut(self.host, self.target)
    }
}

#[async_trait]
impl Line for MemLine {
    async fn send(&mut self, body: Bytes, silence: Ms) -> Result<StatusCode, LinkError> {
        self.call = serde_json::from_slice(&body).expect("a call");
        self.targets.lock().handed.insert(self.call.key.clone());
        self.gate.pass().await;
        sleep(self.targets.faults.within(0..3).duration()).await;
        self.gate.pass().await;
        self.next = self.call.offset;
        // A silent connection may have lost the call or only its answer.
        let arrives = !self.broken() && (!self.mute() || self.targets.faults.chance(50));
        if arrives && self.targets.faults.has(self.target, Kind::Full) && !self.mute() {
            return Ok(StatusCode::SERVICE_UNAVAILABLE);
        }
        if arrives {
            let (tx, rx) = mpsc::channel(1024);
            self.answer = Some(rx);
            let (targets, target, call) = (self.targets.clone(), self.target, self.call.clone());
            // It runs on though its caller goes: what that does to the promises is the worst.
            tokio::spawn(targets.run(target, call, tx));
        }
        match () {
            () if self.mute() => {
                sleep(silence.duration()).await;
                Err(LinkError::Silent)
            }
            () if !arrives => Err(LinkError::Broken { reused: false }),
            () => self.wait(silence).await,
        }
    }

    /// The head of a whole answer comes with the answer, that of a stream at once.
    async fn wait(&mut self, silence: Ms) -> Result<StatusCode, LinkError> {
        if !ENGINES.contains(&self.target) {
            self.first = self.chunk(silence).await?;
        }
        Ok(StatusCode::OK)
    }

    async fn chunk(&mut self, silence: Ms) -> Result<Option<Bytes>, LinkError> {
        self.gate.pass().await;
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.mute() {
            sleep(silence.duration()).await;
            return Err(LinkError::Silent);
        }
        let Some(answer) = &mut self.answer else { return Ok(None) };
        let next = timeout(silence.duration(), answer.recv()).await;
        self.gate.pass().await;
        match next {
            Err(_) => Err(LinkError::Silent),
            Ok(_) if self.mute() => {
                sleep(silence.duration()).await;
                Err(LinkError::Silent)
            }
            Ok(None) if self.broken() => Err(LinkError::Broken { reused: false }),
            Ok(None) if !ENGINES.contains(&self.target) => Ok(None),
            Ok(None) => match Mutation::completes(self.mutation, &self.call, self.next) {
                Some(piece) => Ok(Some(json(&piece))),
                None => Ok(None),
            },
            Ok(Some(bytes)) => {
                let next = &mut self.next;
                Ok(Some(Mutation::rewrite(self.mutation, &self.call, bytes, next)))
            }
        }
    }

    fn keep(self: Box<Self>) {}
}

pub fn json<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = serde_json::to_vec(value).expect("JSON");
    bytes.push(b'\n');
    Bytes::from(bytes)
}

fn call_id(target: usize, call: &StageCall) -> String {
    format!("{target}/{}/{}/{}", call.request, call.stage, call.attempt)
}
