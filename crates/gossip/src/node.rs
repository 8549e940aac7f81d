//! The node of one host: carries out what the reducer decides.

use async_trait::async_trait;
use base::{Clock, HostId, Ms, TargetId};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode, header};
use link::{Pool, PoolConfig};
use logs::note;
use memory::{Budget, budget_bytes};
use peer::{
    BoundListener, Claims, Listener, PeerClient, PeerError, PeerHandler, Peers, StageServer, View,
    ViewHost,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use store::{Api, StoreError};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use wire::{Claim, Exchange, Finish, Grant, GrantKind};

use crate::event::{CallId, Effect, Event};
use crate::reader::Reader;
use crate::{Announcement, GossipConfig, Parser, State, Update};

/// Kind of the configuration object.
pub const FLEET_KIND: &str = "fleet";
/// Name of the configuration object.
pub const FLEET_NAME: &str = "fleet";
/// Largest load report or list of cache events that is read, bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Longest wait for the final exchanges of a host that is stopping, ms.
const LEAVE_TIMEOUT_MS: Ms = Ms(500);

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The host's settings.
    pub settings: conf::Settings,
    /// CPU share in thousandths, or 0 if unknown.
    pub capacity: u32,
}

#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
    pub(crate) exchanges: AtomicU64,
    pub(crate) polls: AtomicU64,
}

/// One host's node.
pub struct Node {
    shared: Arc<Shared>,
    announcements: mpsc::UnboundedSender<Announcement>,
    addr: SocketAddr,
    listener: Listener,
    tasks: Vec<JoinHandle<()>>,
}

/// State shared by the node's tasks.
pub(crate) struct Shared {
    state: Mutex<State>,
    view: RwLock<Arc<[ViewHost]>>,
    clock: Arc<dyn Clock>,
    api: Arc<dyn Api>,
    peers: Arc<dyn Peers>,
    updates: mpsc::UnboundedSender<Update>,
    claims: OnceLock<Arc<dyn Claims>>,
    stages: OnceLock<Arc<dyn StageServer>>,
    wake: Notify,
    pub(crate) counts: Counts,
    target_ms: Ms,
    platform_ms: Ms,
    watch_ms: Ms,
}

impl Node {
    /// Starts the node. Updates arrive on the channel in the order in which they were decided.
    pub async fn start(
        config: NodeConfig,
        api: Arc<dyn Api>,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<(Self, mpsc::UnboundedReceiver<Update>)> {
        let budget = Budget::new(budget_bytes(None), clock.clone());
        Self::start_within(config, api, clock, budget).await
    }

    /// The same with a budget for what is held for other hosts.
    pub async fn start_within(
        config: NodeConfig,
        api: Arc<dyn Api>,
        clock: Arc<dyn Clock>,
        budget: Arc<Budget>,
    ) -> std::io::Result<(Self, mpsc::UnboundedReceiver<Update>)> {
        let settings = &config.settings;
        let bound = BoundListener::bind(settings.peer).await?;
        let addr = bound.addr();
        let gossip =
            GossipConfig { capacity: config.capacity, ..GossipConfig::new(settings, addr) };
        let (updates, updates_rx) = mpsc::unbounded_channel();
        let (announcements, announcements_rx) = mpsc::unbounded_channel();
        let state = State::new(gossip, Box::new(Parser), clock.now());
        let shared = Arc::new(Shared {
            view: RwLock::new(state.view()),
            state: Mutex::new(state),
            clock,
            api,
            peers: Arc::new(PeerClient::new(settings.silence.peer_ms)),
            updates,
            claims: OnceLock::new(),
            stages: OnceLock::new(),
            wake: Notify::new(),
            counts: Counts::default(),
            target_ms: settings.silence.target_ms,
            platform_ms: settings.silence.platform_ms,
            watch_ms: settings.silence.watch_ms,
        });
        let listener = bound.serve(Arc::new(NodeHandler(shared.clone())), budget);
        let tasks = vec![
            tokio::spawn(tick_loop(shared.clone())),
            tokio::spawn(forward_announcements(shared.clone(), announcements_rx)),
        ];
        Ok((Self { shared, announcements, addr, listener, tasks }, updates_rx))
    }

    /// The sender for announcements to the other hosts.
    pub fn announcements(&self) -> mpsc::UnboundedSender<Announcement> {
        self.announcements.clone()
    }

    /// The address that other hosts connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The live hosts, for other parts of the process.
    pub fn view(&self) -> Arc<dyn View> {
        Arc::new(NodeHandler(self.shared.clone()))
    }

    /// The client for calls to other hosts, which shares the node's connections.
    pub fn peers(&self) -> Arc<dyn Peers> {
        self.shared.peers.clone()
    }

    /// Sets the handler for other hosts' claims. Until then they are answered as unavailable. Only
    /// the first call has an effect.
    pub fn serve_claims(&self, claims: Arc<dyn Claims>) {
        let _ = self.shared.claims.set(claims);
    }

    /// Sets the handler for other hosts' stage calls. Only the first call has an effect.
    pub fn serve_stages(&self, stages: Arc<dyn StageServer>) {
        let _ = self.shared.stages.set(stages);
    }

    /// Read access to what the node knows and has counted.
    pub fn reader(&self) -> Reader {
        Reader::new(self.shared.clone())
    }

    /// Announces that this host is leaving; it still answers calls.
    pub fn leave(&self) {
        // A node that has stopped has already announced it.
        let _ = self.announcements.send(Announcement::Leaving);
    }

    /// Stops the node: announces to the peers that it is leaving, unless that was done, and closes
    /// its connections.
    pub async fn close(self) {
        let calls = self.shared.announce_leaving();
        let last = futures::future::join_all(calls);
        let _ = tokio::time::timeout(LEAVE_TIMEOUT_MS.duration(), last).await;
        for task in self.tasks {
            task.abort();
            let _ = task.await;
        }
        self.listener.close().await;
    }
}

/// Sends the reducer a tick whenever one is due.
async fn tick_loop(shared: Arc<Shared>) {
    loop {
        let wake = shared.lock().wake();
        let remaining = wake - shared.clock.now();
        tokio::select! {
            () = tokio::time::sleep(remaining.duration()) => {
                if shared.clock.now() >= wake {
                    shared.feed(Event::Tick);
                }
            }
            () = shared.wake.notified() => {}
        }
    }
}

async fn forward_announcements(
    shared: Arc<Shared>,
    mut announcements_rx: mpsc::UnboundedReceiver<Announcement>,
) {
    while let Some(announcement) = announcements_rx.recv().await {
        shared.feed(Event::Announce(announcement));
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the reducer and starts the effects. Returns the reply to a peer, if there
    /// is one.
    fn feed(self: &Arc<Self>, event: Event) -> Option<Exchange> {
        let mut effects = Vec::new();
        let mut state = self.lock();
        let wake = state.wake();
        state.reduce(self.clock.now(), event, &mut effects);
        let sooner = state.wake() < wake;
        let mut reply = None;
        // The lock is still held, so that updates and views are published in the order in which
        // they were decided.
        for effect in effects {
            match effect {
                Effect::Reply { exchange, .. } => reply = Some(*exchange),
                Effect::View => {
                    *self.view.write().unwrap_or_else(PoisonError::into_inner) = state.view();
                }
                Effect::Update(updates) => drop(self.updates.send(updates)),
                Effect::Note { event, subject } => note!(event, subject = %subject),
                effect => self.start(effect),
            }
        }
        drop(state);
        if sooner {
            self.wake.notify_one();
        }
        reply
    }

    /// Starts a call; its result comes back as an event.
    fn start(self: &Arc<Self>, effect: Effect) {
        let shared = self.clone();
        match effect {
            Effect::Exchange { call, to, exchange } => {
                tokio::spawn(async move {
                    let result = shared.exchange(to, *exchange).await.map(Box::new);
                    shared.feed(Event::Answered { call, result });
                });
            }
            Effect::List { call, kind } => {
                tokio::spawn(async move {
                    // The client's own timeout may fail to end the call, and a call that never ends
                    // would block its slot for good.
                    let bound = shared.platform_ms + shared.watch_ms;
                    let read = shared.api.list(kind.name());
                    let result = with_timeout(bound, read).await;
                    shared.feed(Event::Listed { call, kind, result });
                });
            }
            Effect::Watch { call, kind, after, wait } => {
                tokio::spawn(async move {
                    let watch = shared.api.watch(kind.name(), after, wait);
                    let result = with_timeout(wait + shared.watch_ms, watch).await;
                    shared.feed(Event::Listed { call, kind, result });
                });
            }
            Effect::Poll { target, address, since } => {
                tokio::spawn(async move { shared.poll(target, address, since).await });
            }
            Effect::Reply { .. } | Effect::Update(_) | Effect::View | Effect::Note { .. } => {}
        }
    }

    async fn exchange(&self, to: SocketAddr, exchange: Exchange) -> Result<Exchange, PeerError> {
        self.counts.exchanges.fetch_add(1, Ordering::Relaxed);
        self.count_sent(peer::call_bytes(&exchange));
        let answer = self.peers.exchange(to, exchange).await?;
        self.count_received(peer::answer_bytes(&answer));
        Ok(answer)
    }

    fn count_sent(&self, bytes: usize) {
        self.counts.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_received(&self, bytes: usize) {
        self.counts.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn poll(self: Arc<Self>, target: TargetId, address: SocketAddr, since: Option<u64>) {
        self.counts.polls.fetch_add(1, Ordering::Relaxed);
        let config = PoolConfig { connect_ms: self.target_ms, ..PoolConfig::default() };
        // Each poll opens a new connection: a pooled one may have gone dead on the path, and a poll
        // that hangs on it would hide a target that is leaving.
        let pool = Pool::new(address, config);
        let report = read_json(&pool, "/v1/load", self.target_ms).await;
        let events = match since {
            Some(n) if report.is_some() => {
                read_json(&pool, &format!("/v1/cache-events?since={n}"), self.target_ms).await
            }
            _ => None,
        };
        self.feed(Event::Polled { target, report, events });
    }

    /// Announces that this host is leaving, and returns the calls that carry the announcement.
    fn announce_leaving(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let mut effects = Vec::new();
        let now = self.clock.now();
        let mut state = self.lock();
        state.reduce(now, Event::Announce(Announcement::Leaving), &mut effects);
        state.final_round(now, &mut effects);
        drop(state);
        let calls = effects.into_iter().filter_map(|effect| match effect {
            Effect::Exchange { to, exchange, .. } => Some((to, exchange)),
            _ => None,
        });
        calls
            .map(|(to, exchange)| {
                let shared = self.clone();
                tokio::spawn(async move {
                    // A peer that misses it learns it from the others.
                    let _ = shared.exchange(to, *exchange).await;
                })
            })
            .collect()
    }
}

async fn with_timeout<T>(
    bound: Ms,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    tokio::time::timeout(bound.duration(), call).await.unwrap_or(Err(StoreError::Down))
}

async fn read_json<T: DeserializeOwned>(pool: &Pool, path: &str, timeout: Ms) -> Option<T> {
    let mut request = Request::new(Bytes::new());
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.parse().ok()?;
    request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("target"));
    let response = link::call(pool, request, timeout, MAX_REPORT_BYTES).await.ok()?;
    match response.status() {
        StatusCode::OK => serde_json::from_slice(response.body()).ok(),
        _ => None,
    }
}

/// Handles other hosts' calls and provides the view of live hosts.
struct NodeHandler(Arc<Shared>);

#[async_trait]
impl PeerHandler for NodeHandler {
    async fn exchange(&self, exchange: Exchange) -> Exchange {
        self.0.count_received(peer::call_bytes(&exchange));
        let exchange = Box::new(exchange);
        let reply = self.0.feed(Event::Request { call: CallId(0), exchange }).unwrap_or_default();
        self.0.count_sent(peer::answer_bytes(&reply));
        reply
    }

    async fn claim(&self, claim: Claim) -> Grant {
        match self.0.claims.get() {
            Some(claims) => claims.claim(claim).await,
            None => Grant { kind: GrantKind::Unavailable.into(), ..Grant::default() },
        }
    }

    async fn finish(&self, finish: Finish) -> bool {
        match self.0.claims.get() {
            Some(claims) => claims.finish(finish).await,
            None => false,
        }
    }

    fn stages(&self) -> Option<Arc<dyn StageServer>> {
        self.0.stages.get().cloned()
    }
}

impl View for NodeHandler {
    fn hosts(&self) -> Arc<[ViewHost]> {
        self.0.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn incarnation(&self, host: &HostId) -> Option<u64> {
        self.0.lock().incarnation(host.as_str())
    }
}
