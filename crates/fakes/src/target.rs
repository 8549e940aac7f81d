//! A fake target as a small HTTP server: a model engine, a member of a stage pool, or a plain
//! service.

use base::{Ms, hash_parts};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use link::{Body, Bounds, Handler, Stop, json, read, serve, stream};
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;
use wire::{CacheEvent, CacheEvents, EngineState, LoadReport, Order, Piece, StageCall, StageReply};

use crate::platform::{closed_connection, param, parse_faults, status, text_param};
use crate::target_config::{TargetConfig, TargetFaults, TargetStats};
use crate::target_guard::{QueueGuard, RunGuard, SlotGuard};
use crate::text::{expected_output, generated, token};

/// Size limit of a call's body, bytes.
const BODY_BYTES: usize = 8 << 20;
/// Capacity of an engine's prefix cache.
const CACHED_PREFIXES: usize = 64;
/// Number of cache events that are kept for readers.
const MAX_EVENTS: usize = 1024;

/// A running target.
pub struct Target {
    addr: SocketAddr,
    state: Arc<State>,
    stop: Stop,
    task: JoinHandle<()>,
}

pub(crate) struct State {
    config: TargetConfig,
    pub(crate) slots: Semaphore,
    inner: Mutex<Inner>,
}

#[derive(Default)]
pub(crate) struct Inner {
    faults: TargetFaults,
    pub(crate) stats: TargetStats,
    down_until: Ms,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) calls: HashMap<String, Call>,
    /// Ended calls, oldest first.
    pub(crate) ended: VecDeque<String>,
    cache: VecDeque<String>,
    /// Cache events, each with its time.
    events: VecDeque<(Ms, CacheEvent)>,
    next_event: u64,
    loads: VecDeque<LoadReport>,
    engine: EngineState,
}

#[derive(Clone, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Call {
    /// In progress; `tokens` is the position of its stream, counted from the start of the answer
    /// even if the stream was resumed.
    Running {
        tokens: u32,
    },
    Done {
        reply: Option<StageReply>,
    },
}

impl Target {
    /// Starts the server.
    pub async fn start(config: TargetConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.addr).await?;
        let addr = listener.local_addr()?;
        let engine = EngineState {
            target: config.name.clone(),
            models: config.models.clone(),
            checks_fence: config.checks_fence,
            ..EngineState::default()
        };
        let inner = Mutex::new(Inner { engine, ..Inner::default() });
        let slots = Semaphore::new(config.slots);
        let state = Arc::new(State { config, slots, inner });
        let stop = Stop::new();
        let served = serve(listener, Bounds::default(), state.clone(), stop.clone());
        let task = tokio::spawn(async move {
            served.await;
        });
        Ok(Self { addr, state, stop, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.lock().faults = faults;
    }

    /// Its counters so far.
    pub fn stats(&self) -> TargetStats {
        self.state.lock().stats.clone()
    }

    /// Stops it.
    pub async fn close(self) {
        self.stop.stop();
        self.task.abort();
        let _ = self.task.await;
    }
}

impl State {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().map(str::to_owned);
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/faults") => Some(self.set(request).await),
            (Method::GET, "/v1/stats") => Some(json(StatusCode::OK, &self.lock().stats)),
            _ if self.is_down() => None,
            (Method::POST, "/v1/stage") => self.stage(request).await,
            (Method::GET, "/v1/load") => Some(json(StatusCode::OK, &self.load())),
            (Method::GET, "/v1/calls") => Some(self.call(query.as_deref())),
            (Method::GET, "/v1/cache-events") => Some(self.events(query.as_deref())),
            (Method::POST, "/v1/orders") => Some(self.order(request).await),
            (Method::GET, "/v1/engine") => Some(json(StatusCode::OK, &self.lock().engine)),
            _ => Some(status(StatusCode::NOT_FOUND)),
        }
    }

    fn is_down(&self) -> bool {
        let inner = self.lock();
        inner.faults.down || wall_clock() < inner.down_until
    }

    async fn set(&self, request: Request<Incoming>) -> Response<Body> {
        match parse_faults(request).await {
            Ok(faults) => {
                self.lock().faults = faults;
                status(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        }
    }

    async fn stage(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let Ok(body) = read(request.into_body(), BODY_BYTES).await else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        let Ok(call) = serde_json::from_slice::<StageCall>(&body) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        let faults = self.lock().faults.clone();
        if faults.full {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if !faults.crash_on.is_empty() && call.input.contains(&faults.crash_on) {
            let mut inner = self.lock();
            inner.stats.crashes += 1;
            inner.down_until = wall_clock() + Ms(faults.crash_ms);
            return None;
        }
        self.lock().queued += 1;
        let waiting = QueueGuard(self.clone());
        let state = self.clone();
        let permit = state.slots.acquire().await.ok()?;
        permit.forget();
        drop(waiting);
        let slot = SlotGuard(self.clone());
        let running = self.begin(&call);
        let cached = self.use_prefix(&call.prefix);
        match self.config.engine {
            true => Some(self.generate(call, faults, running, slot, cached)),
            false => self.run_stage(call, faults, running, slot).await,
        }
    }

    fn begin(self: &Arc<Self>, call: &StageCall) -> RunGuard {
        let id = call_id(&call.request, &call.stage, call.attempt);
        let mut inner = self.lock();
        inner.running += 1;
        inner.stats.started += 1;
        if !call.key.is_empty() {
            *inner.stats.keys.entry(call.key.clone()).or_default() += 1;
        }
        inner.calls.insert(id.clone(), Call::Running { tokens: call.offset });
        RunGuard { state: self.clone(), id, ended: false }
    }

    async fn run_stage(
        self: Arc<Self>,
        call: StageCall,
        faults: TargetFaults,
        mut running: RunGuard,
        slot: SlotGuard,
    ) -> Option<Response<Body>> {
        let time = Ms(self.config.call_ms * faults.slow.max(1));
        // No sleep for a time of zero: the runtime's shortest sleep is a millisecond, which would
        // hide the latency that a host adds.
        if time > Ms::ZERO {
            tokio::time::sleep(time.duration()).await;
        }
        let reply = StageReply {
            output: expected_output(&call.stage, &call.input),
            request: answered_request(&call, &faults),
            stage: call.stage,
            attempt: call.attempt,
            tokens_in: tokens(&call.input),
            ..StageReply::default()
        };
        running.end(Some(reply.clone()));
        drop((running, slot));
        if faults.silent {
            std::future::pending::<()>().await;
        }
        Some(json(StatusCode::OK, &reply))
    }

    fn generate(
        self: Arc<Self>,
        call: StageCall,
        faults: TargetFaults,
        mut running: RunGuard,
        slot: SlotGuard,
        cached: bool,
    ) -> Response<Body> {
        let (tx, rx) = mpsc::channel::<Bytes>(16);
        tokio::spawn(async move {
            let read = tokens(&call.input);
            let prompt = if cached { self.config.call_ms / 4 } else { self.config.call_ms };
            let slow = faults.slow.max(1);
            if sleep_or_disconnect(&tx, Ms(prompt * slow)).await.is_err() {
                return;
            }
            for offset in call.offset..call.max_tokens {
                if sleep_or_disconnect(&tx, Ms(self.config.token_ms * slow)).await.is_err() {
                    return;
                }
                if faults.cut_after > 0 && offset - call.offset >= faults.cut_after {
                    return;
                }
                let piece = Piece {
                    request: answered_request(&call, &faults),
                    stage: call.stage.clone(),
                    attempt: call.attempt,
                    offset,
                    text: token(&call.input, offset),
                    tokens: 1,
                    end: offset + 1 == call.max_tokens,
                    tokens_in: read,
                    cached_tokens: if cached { read / 2 } else { 0 },
                };
                running.progress(offset + 1);
                if faults.silent {
                    tx.closed().await;
                    return;
                }
                let mut line = serde_json::to_vec(&piece).unwrap_or_default();
                line.push(b'\n');
                if tx.send(Bytes::from(line)).await.is_err() {
                    return;
                }
            }
            running.end(Some(StageReply {
                output: generated(&call.input, call.max_tokens),
                request: call.request.clone(),
                stage: call.stage.clone(),
                attempt: call.attempt,
                tokens_in: read,
                tokens_out: call.max_tokens - call.offset.min(call.max_tokens),
                cached_tokens: if cached { read / 2 } else { 0 },
            }));
            drop(slot);
        });
        Response::new(stream(rx))
    }

    /// Adds a prefix to the cache and returns whether it was cached before.
    fn use_prefix(&self, prefix: &str) -> bool {
        if prefix.is_empty() || !self.config.engine {
            return false;
        }
        let mut inner = self.lock();
        let known = inner.cache.iter().position(|p| p == prefix);
        if let Some(at) = known {
            inner.cache.remove(at);
        }
        inner.cache.push_back(prefix.to_owned());
        if known.is_none() {
            inner.publish_cache_event(prefix, true);
        }
        if inner.cache.len() > CACHED_PREFIXES {
            let old = inner.cache.pop_front().unwrap_or_default();
            inner.publish_cache_event(&old, false);
        }
        known.is_some()
    }

    fn load(&self) -> LoadReport {
        let mut inner = self.lock();
        let now = wall_clock();
        let report = LoadReport {
            target: self.config.name.clone(),
            running: inner.running,
            queued: inner.queued,
            slots: self.config.slots as u32,
            at_ms: now.0,
            models: inner.engine.models.clone(),
            leaving: inner.faults.leaving,
        };
        let lag = Ms(inner.faults.lag_ms);
        inner.loads.push_back(report.clone());
        while inner.loads.len() > 1 && Ms(inner.loads[1].at_ms) + lag <= now {
            inner.loads.pop_front();
        }
        inner.loads.front().cloned().unwrap_or(report)
    }

    fn call(&self, query: Option<&str>) -> Response<Body> {
        let request = text_param(query, "request").unwrap_or_default();
        let stage = text_param(query, "stage").unwrap_or_default();
        let attempt = param(query, "attempt").unwrap_or_default() as u32;
        match self.lock().calls.get(&call_id(request, stage, attempt)) {
            Some(call) => json(StatusCode::OK, call),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn events(&self, query: Option<&str>) -> Response<Body> {
        let since = param(query, "since").unwrap_or(0);
        let inner = self.lock();
        let visible_until = wall_clock() - Ms(inner.faults.late_events_ms);
        let visible = inner.events.iter().filter(|(at, _)| *at <= visible_until).map(|(_, e)| e);
        let events: Vec<_> = visible.filter(|e| e.seq >= since).cloned().collect();
        let next = match inner.faults.late_events_ms {
            0 => inner.next_event,
            _ => events.last().map_or(since, |e| e.seq + 1),
        };
        json(StatusCode::OK, &CacheEvents { target: self.config.name.clone(), next, events })
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = read(request.into_body(), BODY_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut inner = self.lock();
        if self.config.checks_fence && order.fence < inner.engine.fence {
            return json(StatusCode::CONFLICT, &inner.engine);
        }
        inner.engine.fence = inner.engine.fence.max(order.fence);
        inner.engine.models.retain(|m| *m != order.drop_model && *m != order.load_model);
        if !order.load_model.is_empty() {
            inner.engine.models.push(order.load_model);
        }
        if !order.role.is_empty() {
            inner.engine.role = order.role;
        }
        json(StatusCode::OK, &inner.engine)
    }
}

impl Inner {
    fn publish_cache_event(&mut self, prefix: &str, stored: bool) {
        let seq = self.next_event;
        self.next_event += 1;
        let lost = self.faults.lose_events > 0 && seq.is_multiple_of(self.faults.lose_events);
        if lost {
            return;
        }
        self.events
            .push_back((wall_clock(), CacheEvent { seq, prefix: prefix.to_owned(), stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

impl Handler for State {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        match self.answer(request).await {
            Some(response) => response,
            None => closed_connection(),
        }
    }
}

async fn sleep_or_disconnect(tx: &mpsc::Sender<Bytes>, time: Ms) -> Result<(), ()> {
    tokio::select! {
        () = tokio::time::sleep(time.duration()) => Ok(()),
        () = tx.closed() => Err(()),
    }
}

fn call_id(request: &str, stage: &str, attempt: u32) -> String {
    format!("{request}/{stage}/{attempt}")
}

fn answered_request(call: &StageCall, faults: &TargetFaults) -> String {
    match faults.mismatch {
        true => format!("{:032x}", hash_parts(&[call.request.as_bytes()])),
        false => call.request.clone(),
    }
}

fn tokens(input: &str) -> u32 {
    input.len().div_ceil(4) as u32
}

fn wall_clock() -> Ms {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ms(since.as_millis() as u64)
}
