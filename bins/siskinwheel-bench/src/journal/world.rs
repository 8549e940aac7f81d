//! Hosts with one of the designs, over loopback or in memory.

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

/// Where the clock starts.
const EPOCH: Ms = Ms(1_700_000_000_000);
/// One way between two hosts in memory, ms: a little over a millisecond between domains.
const HOP: Ms = Ms(2);
/// Time of a call to the platform over loopback, ms; in memory it is 2 to 6.
const CALL_MS: u64 = 4;
/// Silence after which a call to another host is given up.
const SILENCE: Ms = Ms(500);
/// Until a dead host is taken out of the view, as `rates.suspect_ms`.
const SUSPECT: Ms = Ms::secs(5);

/// How keys are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// One object a key.
    Direct,
    /// One log, written by the holder of a lease.
    Leased,
    /// Shard objects with preferred writers.
    Sharded,
}

/// Where a world runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// HTTP and tarpc over loopback, in real time.
    Loopback,
    /// In memory, in virtual time.
    Memory,
}

/// Calls to the object API.
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

/// Hosts and their platform.
pub struct World {
    pub journals: Vec<Arc<dyn Journal>>,
    /// One of the journals, to ask who writes.
    sharded: Option<Arc<Sharded>>,
    listeners: Mutex<Vec<Option<Listener>>>,
    net: Arc<Net>,
    backend: Backend,
    counted: Arc<Counted>,
    roll: Arc<Roll>,
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
                let platform = Platform::start(local()).await.context("starting the platform")?;
                platform.set_faults(PlatformFaults { slow_ms: CALL_MS, ..Default::default() });
                let config = HttpConfig { silence_ms: Ms::secs(1), watch_ms: Ms::secs(1) };
                let api = Arc::new(HttpApi::new(platform.addr(), config));
                (Backend::Loopback(platform), api)
            }
        };
        let clock: Arc<dyn Clock> = Arc::new(TokioClock(Instant::now()));
        let counted = Arc::new(Counted::new(api));
        let mut world = Self {
            journals: Vec::new(),
            sharded: None,
            listeners: Mutex::default(),
            net: Arc::default(),
            backend,
            counted,
            roll: Arc::default(),
            clock,
        };
        let serves: Vec<_> =
            (0..hosts).map(|host| world.host(design, host, place, rules)).collect();
        for (host, serves) in serves.into_iter().enumerate() {
            world.listen(place, host, serves).await?;
        }
        Ok(world)
    }

    fn host(
        &mut self,
        design: Design,
        host: usize,
        place: Place,
        rules: &JournalSettings,
    ) -> Arc<dyn PeerHandler> {
        let (api, clock, view): (Arc<dyn Api>, _, Arc<dyn View>) =
            (self.counted.clone(), self.clock.clone(), self.roll.clone());
        let peers: Arc<dyn Peers> = match place {
            Place::Memory => self.net.clone(),
            Place::Loopback => Arc::new(PeerClient::new(SILENCE)),
        };
        let config =
            ShardedConfig { host: HostId::from(name(host)), incarnation: 1, rules: rules.clone() };
        match design {
            Design::Direct => {
                let rules = &config.rules;
                let direct = Direct::new(api, clock, rules.window_ms, rules.ahead_ms);
                self.journals.push(Arc::new(direct));
                Arc::new(Nothing)
            }
            Design::Sharded => {
                let sharded = Arc::new(Sharded::new(config, api, clock, peers, view));
                self.journals.push(sharded.clone());
                self.sharded.get_or_insert_with(|| sharded.clone());
                Arc::new(Serving(sharded))
            }
            Design::Leased => {
                let leased = Leased::new(config, api, clock, peers, view);
                self.journals.push(leased.clone());
                leased
            }
        }
    }

    async fn listen(&self, place: Place, host: usize, serves: Arc<dyn PeerHandler>) -> Result<()> {
        let (address, listener) = match place {
            Place::Memory => (address(host), None),
            Place::Loopback => {
                let listener = Listener::start(local(), serves.clone()).await?;
                (listener.addr(), Some(listener))
            }
        };
        lock(&self.net.serves).push(Some(serves));
        lock(&self.listeners).push(listener);
        let found = ViewHost {
            host: HostId::from(name(host)),
            domain: DomainId::from("one"),
            address,
            capacity: 0,
        };
        let mut hosts = lock(&self.roll.0);
        *hosts = hosts.iter().cloned().chain([found]).collect();
        Ok(())
    }

    /// The host that records a key that is made now.
    pub async fn writer(&self, design: Design) -> usize {
        let hosts = lock(&self.roll.0).clone();
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
        let object = self.counted.get(leased::KIND, leased::NAME).await.ok()??;
        let lease: wire::Lease = serde_json::from_str(&object.body).ok()?;
        Some(HostId::from(lease.holder))
    }

    /// Ends a host without warning. In memory its calls then go silent; over loopback its
    /// connections break.
    pub async fn kill(&self, host: usize) {
        lock(&self.net.serves)[host] = None;
        let listener = lock(&self.listeners)[host].take();
        if let Some(listener) = listener {
            listener.close().await;
        }
        let (roll, dead) = (self.roll.clone(), name(host));
        tokio::spawn(async move {
            sleep(SUSPECT.duration()).await;
            let mut hosts = lock(&roll.0);
            *hosts = hosts.iter().filter(|h| h.host.as_str() != dead).cloned().collect();
        });
    }

    /// Takes the platform away, or gives it back.
    pub fn outage(&self, down: bool) {
        match &self.backend {
            Backend::Memory(store) => store.set_faults(MemFaults { down, ..MemFaults::default() }),
            Backend::Loopback(platform) => {
                platform.set_faults(PlatformFaults { down, slow_ms: CALL_MS, ..Default::default() })
            }
        }
    }

    pub fn calls(&self) -> Calls {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let Counted { writes, reads, bytes, .. } = self.counted.as_ref();
        Calls { writes: read(writes), reads: read(reads), bytes: read(bytes) }
    }
}

fn local() -> SocketAddr {
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

/// Virtual where tokio's time is.
struct TokioClock(Instant);

impl Clock for TokioClock {
    fn now(&self) -> Ms {
        EPOCH + Ms(self.0.elapsed().as_millis() as u64)
    }
}

struct Roll(Mutex<Arc<[ViewHost]>>);

impl Default for Roll {
    fn default() -> Self {
        Self(Mutex::new(Arc::from([])))
    }
}

impl View for Roll {
    fn hosts(&self) -> Arc<[ViewHost]> {
        lock(&self.0).clone()
    }
}

/// Counts calls and written bytes.
struct Counted {
    inner: Arc<dyn Api>,
    writes: AtomicU64,
    reads: AtomicU64,
    bytes: AtomicU64,
}

impl Counted {
    fn new(inner: Arc<dyn Api>) -> Self {
        let zero = AtomicU64::default;
        Self { inner, writes: zero(), reads: zero(), bytes: zero() }
    }
}

#[async_trait]
impl Api for Counted {
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

/// Links between hosts in memory.
#[derive(Default)]
struct Net {
    serves: Mutex<Vec<Option<Arc<dyn PeerHandler>>>>,
}

impl Net {
    async fn reach(&self, to: SocketAddr) -> Arc<dyn PeerHandler> {
        sleep(HOP.duration()).await;
        let serves = lock(&self.serves)[usize::from(to.port()) - 1].clone();
        match serves {
            Some(serves) => serves,
            None => std::future::pending().await,
        }
    }
}

#[async_trait]
impl Peers for Net {
    async fn exchange(&self, _: SocketAddr, _: Exchange) -> Result<Exchange, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError> {
        let call = async { self.reach(to).await.claim(claim).await };
        let grant = tokio::time::timeout(SILENCE.duration(), call).await;
        sleep(HOP.duration()).await;
        grant.map_err(|_| PeerError::Silent)
    }

    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError> {
        let call = async { self.reach(to).await.finish(finish).await };
        let done = tokio::time::timeout(SILENCE.duration(), call).await;
        sleep(HOP.duration()).await;
        done.map_err(|_| PeerError::Silent)
    }
}

/// The answering side of a sharded journal.
struct Serving(Arc<Sharded>);

#[async_trait]
impl PeerHandler for Serving {
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

/// The answering side of a design whose hosts don't ask each other.
struct Nothing;

#[async_trait]
impl PeerHandler for Nothing {
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
