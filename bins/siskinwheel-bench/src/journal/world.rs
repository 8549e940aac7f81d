//! A fleet of hosts that use one of the journal designs, over loopback or in memory.

use super::leased::{self, Leased};
use anyhow::{Context, Result};
use async_trait::async_trait;
use base::{Clock, DomainId, HostId, Ms, Version};
use conf::JournalSettings;
use fakes::{MemFaults, MemStore, Platform, PlatformFaults};
use journal::{Direct, Journal, Sharded, ShardedConfig};
use peer::{Listener, PeerClient, PeerError, PeerHandler, Peers, View, ViewHost};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use store::{Api, HttpApi, HttpConfig, StoreError};
use tokio::time::{Instant, sleep};
use wire::{Claim, Exchange, Finish, Grant, Object, ObjectList};

/// Time at which the clock starts.
const CLOCK_START: Ms = Ms(1_700_000_000_000);
/// One-way delay between two hosts in memory. Between failure domains it is a little over 1 ms.
const HOP_DELAY: Ms = Ms(2);
/// Duration of a call to the platform over loopback; in memory it is 2 to 6 ms.
const CALL_MS: u64 = 4;
/// A call to another host fails after this long without an answer.
const CALL_TIMEOUT: Ms = Ms(500);
/// Time after which a dead host is removed from the view, as with `rates.suspect_ms`.
const SUSPECT_AFTER: Ms = Ms::secs(5);

/// How keys are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// One object per key.
    Direct,
    /// One log that the holder of a lease writes.
    Leased,
    /// Shard objects with preferred writers.
    Sharded,
}

/// How the hosts are connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// HTTP and tarpc over loopback, in real time.
    Loopback,
    /// In memory, in virtual time.
    Memory,
}

/// Number of calls to the object API, and bytes written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    pub writes: u64,
    pub reads: u64,
    pub bytes: u64,
}

enum Backend {
    Loopback(Platform),
    Memory(Arc<MemStore>),
}

/// A fleet of hosts and its platform.
pub struct World {
    pub journals: Vec<Arc<dyn Journal>>,
    /// One of the sharded journals, to look up which host writes a key.
    sharded: Option<Arc<Sharded>>,
    listeners: Mutex<Vec<Option<Listener>>>,
    net: Arc<MemoryNetwork>,
    backend: Backend,
    counting_api: Arc<CountingApi>,
    shared_view: Arc<SharedView>,
    pub clock: Arc<dyn Clock>,
}

impl World {
    pub async fn start(
        design: Design,
        place: Place,
        hosts: usize,
        seed: u64,
        rules: &JournalSettings,
    ) -> Result<Self> {
        let (backend, api): (Backend, Arc<dyn Api>) = match place {
            Place::Memory => {
                let store = MemStore::new(seed);
                let api = store.api("all");
                (Backend::Memory(store), api)
            }
            Place::Loopback => {
                let platform =
                    Platform::start(loopback_any_port()).await.context("starting the platform")?;
                platform.set_faults(PlatformFaults { slow_ms: CALL_MS, ..Default::default() });
                let config = HttpConfig { silence_ms: Ms::secs(1), watch_ms: Ms::secs(1) };
                let api = Arc::new(HttpApi::new(platform.addr(), config));
                (Backend::Loopback(platform), api)
            }
        };
        let clock: Arc<dyn Clock> = Arc::new(TokioClock(Instant::now()));
        let counting_api = Arc::new(CountingApi::new(api));
        let mut world = Self {
            journals: Vec::new(),
            sharded: None,
            listeners: Mutex::default(),
            net: Arc::default(),
            backend,
            counting_api,
            shared_view: Arc::default(),
            clock,
        };
        let handlers: Vec<_> =
            (0..hosts).map(|host| world.add_host(design, host, place, rules)).collect();
        for (host, handler) in handlers.into_iter().enumerate() {
            world.listen(place, host, handler).await?;
        }
        Ok(world)
    }

    fn add_host(
        &mut self,
        design: Design,
        host: usize,
        place: Place,
        rules: &JournalSettings,
    ) -> Arc<dyn PeerHandler> {
        let (api, clock, view): (Arc<dyn Api>, _, Arc<dyn View>) =
            (self.counting_api.clone(), self.clock.clone(), self.shared_view.clone());
        let peers: Arc<dyn Peers> = match place {
            Place::Memory => self.net.clone(),
            Place::Loopback => Arc::new(PeerClient::new(CALL_TIMEOUT)),
        };
        let config =
            ShardedConfig { host: HostId::from(name(host)), incarnation: 1, rules: rules.clone() };
        match design {
            Design::Direct => {
                let rules = &config.rules;
                let direct = Direct::new(api, clock, rules.window_ms, rules.ahead_ms);
                self.journals.push(Arc::new(direct));
                Arc::new(NoPeerCalls)
            }
            Design::Sharded => {
                let sharded = Arc::new(Sharded::new(config, api, clock, peers, view));
                self.journals.push(sharded.clone());
                self.sharded.get_or_insert_with(|| sharded.clone());
                Arc::new(ShardedHandler(sharded))
            }
            Design::Leased => {
                let leased = Leased::new(config, api, clock, peers, view);
                self.journals.push(leased.clone());
                leased
            }
        }
    }

    async fn listen(&self, place: Place, host: usize, handler: Arc<dyn PeerHandler>) -> Result<()> {
        let (address, listener) = match place {
            Place::Memory => (address(host), None),
            Place::Loopback => {
                let listener = Listener::start(loopback_any_port(), handler.clone()).await?;
                (listener.addr(), Some(listener))
            }
        };
        lock(&self.net.handlers).push(Some(handler));
        lock(&self.listeners).push(listener);
        let found = ViewHost {
            host: HostId::from(name(host)),
            domain: DomainId::from("one"),
            address,
            capacity: 0,
        };
        let mut hosts = lock(&self.shared_view.0);
        *hosts = hosts.iter().cloned().chain([found]).collect();
        Ok(())
    }

    /// Index of the host that records a key created now.
    pub async fn writer(&self, design: Design) -> usize {
        let hosts = lock(&self.shared_view.0).clone();
        let claim = journal::Claim {
            workspace: "w".into(),
            key: base::Key::at(self.clock.now(), 1),
            attempt: base::RequestId::from_u128(1),
        };
        let name = match (design, &self.sharded) {
            (Design::Leased, _) => self.holder().await,
            (Design::Sharded, Some(sharded)) => Some(sharded.writer(&claim)),
            _ => None,
        };
        hosts.iter().position(|h| Some(&h.host) == name.as_ref()).unwrap_or(0)
    }

    async fn holder(&self) -> Option<HostId> {
        let object = self.counting_api.get(leased::LEASE_KIND, leased::LEASE_NAME).await.ok()??;
        let lease: wire::Lease = serde_json::from_str(&object.body).ok()?;
        Some(HostId::from(lease.holder))
    }

    /// Kills a host without warning. In memory, calls to it then get no answer; over loopback, its
    /// connections break.
    pub async fn kill(&self, host: usize) {
        lock(&self.net.handlers)[host] = None;
        let listener = lock(&self.listeners)[host].take();
        if let Some(listener) = listener {
            listener.close().await;
        }
        let (shared_view, dead) = (self.shared_view.clone(), name(host));
        tokio::spawn(async move {
            sleep(SUSPECT_AFTER.duration()).await;
            let mut hosts = lock(&shared_view.0);
            *hosts = hosts.iter().filter(|h| h.host.as_str() != dead).cloned().collect();
        });
    }

    /// Starts or ends an outage of the platform.
    pub fn set_outage(&self, down: bool) {
        match &self.backend {
            Backend::Memory(store) => store.set_faults(MemFaults { down, ..MemFaults::default() }),
            Backend::Loopback(platform) => {
                platform.set_faults(PlatformFaults { down, slow_ms: CALL_MS, ..Default::default() })
            }
        }
    }

    pub fn calls(&self) -> Calls {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let CountingApi { writes, reads, bytes, .. } = self.counting_api.as_ref();
        Calls { writes: read(writes), reads: read(reads), bytes: read(bytes) }
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + host as u16))
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clock that follows tokio's time, and so is virtual where tokio's time is paused.
struct TokioClock(Instant);

impl Clock for TokioClock {
    fn now(&self) -> Ms {
        CLOCK_START + Ms(self.0.elapsed().as_millis() as u64)
    }
}

/// View of the fleet that all hosts share.
struct SharedView(Mutex<Arc<[ViewHost]>>);

impl Default for SharedView {
    fn default() -> Self {
        Self(Mutex::new(Arc::from([])))
    }
}

impl View for SharedView {
    fn hosts(&self) -> Arc<[ViewHost]> {
        lock(&self.0).clone()
    }
}

/// An object API that counts calls and written bytes.
struct CountingApi {
    inner: Arc<dyn Api>,
    writes: AtomicU64,
    reads: AtomicU64,
    bytes: AtomicU64,
}

impl CountingApi {
    fn new(inner: Arc<dyn Api>) -> Self {
        let zero = AtomicU64::default;
        Self { inner, writes: zero(), reads: zero(), bytes: zero() }
    }
}

#[async_trait]
impl Api for CountingApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.inner.get(kind, name).await
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        self.inner.put(kind, name, expected, body).await
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.inner.watch(kind, after, wait).await
    }
}

/// Network between hosts in memory.
#[derive(Default)]
struct MemoryNetwork {
    handlers: Mutex<Vec<Option<Arc<dyn PeerHandler>>>>,
}

impl MemoryNetwork {
    async fn handler(&self, to: SocketAddr) -> Arc<dyn PeerHandler> {
        sleep(HOP_DELAY.duration()).await;
        let handler = lock(&self.handlers)[usize::from(to.port()) - 1].clone();
        match handler {
            Some(handler) => handler,
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Peers for MemoryNetwork {
    async fn exchange(&self, _: SocketAddr, _: Exchange) -> Result<Exchange, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError> {
        let call = async { self.handler(to).await.claim(claim).await };
        let grant = tokio::time::timeout(CALL_TIMEOUT.duration(), call).await;
        sleep(HOP_DELAY.duration()).await;
        grant.map_err(|_| PeerError::Silent)
    }

    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError> {
        let call = async { self.handler(to).await.finish(finish).await };
        let done = tokio::time::timeout(CALL_TIMEOUT.duration(), call).await;
        sleep(HOP_DELAY.duration()).await;
        done.map_err(|_| PeerError::Silent)
    }
}

/// Peer handler of a sharded journal.
struct ShardedHandler(Arc<Sharded>);

#[async_trait]
impl PeerHandler for ShardedHandler {
    async fn exchange(&self, _: Exchange) -> Exchange {
        Exchange::default()
    }

    async fn claim(&self, claim: Claim) -> Grant {
        self.0.serve_claim(claim).await
    }

    async fn finish(&self, finish: Finish) -> bool {
        self.0.serve_finish(finish).await
    }
}

/// Peer handler for a design whose hosts do not call each other.
struct NoPeerCalls;

#[async_trait]
impl PeerHandler for NoPeerCalls {
    async fn exchange(&self, _: Exchange) -> Exchange {
        Exchange::default()
    }

    async fn claim(&self, _: Claim) -> Grant {
        Grant::default()
    }

    async fn finish(&self, _: Finish) -> bool {
        false
    }
}
