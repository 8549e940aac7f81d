//! In-memory targets behind the host's connector interface.

use async_trait::async_trait;
use base::Ms;
use bytes::Bytes;
use entry::{CallLimits, Connection, Connector, ProbeResult};
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
use crate::schedule::FaultKind;

/// Indices of the targets that stream.
const ENGINES: [usize; 2] = [2, 3];

/// A call that a target started to run.
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
    /// Keys that were handed to a connection, whether or not they arrived.
    handed_keys: BTreeSet<String>,
    calls: BTreeMap<String, Call>,
    /// Number of crashes and silences of each target. Connections and calls started at a lower
    /// count are lost.
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

    pub fn fault(&self, target: usize, kind: FaultKind, duration: Ms) {
        self.faults.set(target, kind, duration);
        let mut inner = self.lock();
        match kind {
            FaultKind::Down => {
                *inner.crashes.entry(target).or_default() += 1;
                // The target forgets its calls.
                let prefix = format!("{target}/");
                inner.calls.retain(|id, _| !id.starts_with(&prefix));
            }
            FaultKind::Silent => *inner.silences.entry(target).or_default() += 1,
            _ => {}
        }
    }

    pub fn runs(&self) -> Vec<RunLog> {
        self.lock().runs.clone()
    }

    pub fn handed_keys(&self) -> BTreeSet<String> {
        self.lock().handed_keys.clone()
    }

    fn crashes(&self, target: usize) -> u32 {
        self.lock().crashes.get(&target).copied().unwrap_or(0)
    }

    fn silences(&self, target: usize) -> u32 {
        self.lock().silences.get(&target).copied().unwrap_or(0)
    }

    fn delay(&self, target: usize, range: std::ops::Range<u64>) -> Ms {
        let time = self.faults.random_ms(range);
        if self.faults.has(target, FaultKind::Slow) { time.scale(40, 1) } else { time }
    }

    fn record_start(&self, target: usize, call: &StageCall) -> String {
        let id = call_id(target, call);
        let mut inner = self.lock();
        let at = self.faults.now();
        inner.runs.push(RunLog { request: call.request.clone(), key: call.key.clone(), at });
        inner.calls.insert(id.clone(), Call::Running(call.offset));
        id
    }

    /// Runs a call to its end, unless the target crashes or the stream is cut.
    async fn run(self: Arc<Self>, target: usize, call: StageCall, out: mpsc::Sender<Bytes>) {
        let crash_count = self.crashes(target);
        let id = self.record_start(target, &call);
        let engine = ENGINES.contains(&target);
        let mut reply = StageReply {
            request: call.request.clone(),
            stage: call.stage.clone(),
            attempt: call.attempt,
            ..StageReply::default()
        };
        sleep(self.delay(target, 3..20).duration()).await;
        if !engine {
            reply.output = expected_output(&call.stage, &call.input);
            if self.crashes(target) == crash_count {
                self.lock().calls.insert(id, Call::Done(reply.clone()));
                self.corrupt(target, &mut reply.request, &mut reply.output);
                let _ = out.send(json(&reply)).await;
            }
            return;
        }
        for offset in call.offset..call.max_tokens {
            sleep(self.delay(target, 1..4).duration()).await;
            let cut = self.faults.has(target, FaultKind::Cut) && self.faults.chance(20);
            if cut || self.crashes(target) != crash_count {
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
            self.corrupt(target, &mut piece.request, &mut piece.text);
            let mut sent = vec![json(&piece)];
            if self.faults.has(target, FaultKind::Doubled) && self.faults.chance(30) {
                let old = offset.saturating_sub(self.faults.random_ms(0..4).0 as u32);
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

    fn corrupt(&self, target: usize, request: &mut String, text: &mut String) {
        if self.faults.has(target, FaultKind::Foreign) && self.faults.chance(30) {
            *request = "another".to_owned();
            *text = "foreign ".to_owned();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects one host to the targets.
pub struct MemConnector {
    pub targets: Arc<Targets>,
    pub host: usize,
    pub gate: Arc<Gate>,
    pub mutation: Option<Mutation>,
}

impl MemConnector {
    fn reachable(&self, target: usize) -> bool {
        let faults = &self.targets.faults;
        !faults.has(target, FaultKind::Down) && !faults.is_cut(self.host, target)
    }
}

#[async_trait]
impl Connector for MemConnector {
    async fn open(
        &self,
        addr: SocketAddr,
        _: ConnPolicy,
    ) -> Result<Box<dyn Connection>, LinkError> {
        self.gate.pass().await;
        let target = usize::from(addr.port()) - 1;
        sleep(self.targets.faults.random_ms(0..3).duration()).await;
        self.gate.pass().await;
        if !self.reachable(target) {
            return Err(LinkError::Connect);
        }
        Ok(Box::new(MemConnection {
            targets: self.targets.clone(),
            host: self.host,
            target,
            crash_count: self.targets.crashes(target),
            silence_count: self.targets.silences(target),
            gate: self.gate.clone(),
            mutation: self.mutation,
            call: StageCall::default(),
            next: 0,
            first: None,
            answer: None,
        }))
    }

    async fn probe(&self, addr: SocketAddr, call: &StageCall, limits: CallLimits) -> ProbeResult {
        self.gate.pass().await;
        let target = usize::from(addr.port()) - 1;
        if !self.reachable(target) {
            sleep(limits.idle_timeout.duration()).await;
            return ProbeResult::Unreachable;
        }
        sleep(self.targets.faults.random_ms(0..3).duration()).await;
        let found = self.targets.lock().calls.get(&call_id(target, call)).cloned();
        match found {
            Some(Call::Running(tokens)) => ProbeResult::Running { tokens },
            Some(Call::Done(reply)) => ProbeResult::Done(Box::new(reply)),
            None => ProbeResult::Lost,
        }
    }

    fn clear(&self, _: SocketAddr) {}
}

struct MemConnection {
    targets: Arc<Targets>,
    host: usize,
    target: usize,
    crash_count: u32,
    silence_count: u32,
    gate: Arc<Gate>,
    mutation: Option<Mutation>,
    call: StageCall,
    /// Offset of the next token of the response.
    next: u32,
    /// The reply that arrived with the head of the response.
    first: Option<Bytes>,
    answer: Option<mpsc::Receiver<Bytes>>,
}

impl MemConnection {
    fn is_broken(&self) -> bool {
        self.targets.crashes(self.target) != self.crash_count
    }

    fn is_silent(&self) -> bool {
        self.targets.silences(self.target) != self.silence_count
            || self.targets.faults.is_cut(self.host, self.target)
    }
}

#[async_trait]
impl Connection for MemConnection {
    async fn send(&mut self, body: Bytes, idle_timeout: Ms) -> Result<StatusCode, LinkError> {
        self.call = serde_json::from_slice(&body).expect("a call");
        self.targets.lock().handed_keys.insert(self.call.key.clone());
        self.gate.pass().await;
        sleep(self.targets.faults.random_ms(0..3).duration()).await;
        self.gate.pass().await;
        self.next = self.call.offset;
        // A silent connection may have lost the call or only its response.
        let arrives = !self.is_broken() && (!self.is_silent() || self.targets.faults.chance(50));
        if arrives && self.targets.faults.has(self.target, FaultKind::Full) && !self.is_silent() {
            return Ok(StatusCode::SERVICE_UNAVAILABLE);
        }
        if arrives {
            let (tx, rx) = mpsc::channel(1024);
            self.answer = Some(rx);
            let (targets, target, call) = (self.targets.clone(), self.target, self.call.clone());
            // The call keeps running even if its host cancels it: that is the worst case for the
            // guarantees under test.
            tokio::spawn(targets.run(target, call, tx));
        }
        match () {
            () if self.is_silent() => {
                sleep(idle_timeout.duration()).await;
                Err(LinkError::Silent)
            }
            () if !arrives => Err(LinkError::Broken { reused: false }),
            () => self.wait(idle_timeout).await,
        }
    }

    /// The head of a whole reply arrives together with the reply, that of a stream at once.
    async fn wait(&mut self, idle_timeout: Ms) -> Result<StatusCode, LinkError> {
        if !ENGINES.contains(&self.target) {
            self.first = self.chunk(idle_timeout).await?;
        }
        Ok(StatusCode::OK)
    }

    async fn chunk(&mut self, idle_timeout: Ms) -> Result<Option<Bytes>, LinkError> {
        self.gate.pass().await;
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.is_silent() {
            sleep(idle_timeout.duration()).await;
            return Err(LinkError::Silent);
        }
        let Some(answer) = &mut self.answer else { return Ok(None) };
        let next = timeout(idle_timeout.duration(), answer.recv()).await;
        self.gate.pass().await;
        match next {
            Err(_) => Err(LinkError::Silent),
            Ok(_) if self.is_silent() => {
                sleep(idle_timeout.duration()).await;
                Err(LinkError::Silent)
            }
            Ok(None) if self.is_broken() => Err(LinkError::Broken { reused: false }),
            Ok(None) if !ENGINES.contains(&self.target) => Ok(None),
            Ok(None) => match Mutation::fake_end(self.mutation, &self.call, self.next) {
                Some(piece) => Ok(Some(json(&piece))),
                None => Ok(None),
            },
            Ok(Some(bytes)) => {
                let next = &mut self.next;
                Ok(Some(Mutation::rewrite(self.mutation, &self.call, bytes, next)))
            }
        }
    }

    fn release(self: Box<Self>) {}
}

pub fn json<T: serde::Serialize>(value: &T) -> Bytes {
    let mut bytes = serde_json::to_vec(value).expect("JSON");
    bytes.push(b'\n');
    Bytes::from(bytes)
}

fn call_id(target: usize, call: &StageCall) -> String {
    format!("{target}/{}/{}/{}", call.request, call.stage, call.attempt)
}
