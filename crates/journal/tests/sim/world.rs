//! Hosts with the real journal, connected by simulated links to each other and to an in-memory
//! platform.

use async_trait::async_trait;
use base::{Clock, DomainId, HostId, Ms};
use conf::JournalSettings;
use fakes::{Gate, GatedApi, MemApi, MemStore};
use journal::{Journal, Outcome, Sharded, ShardedConfig};
use peer::{PeerError, Peers, View, ViewHost};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use wire::{Claim, Exchange, Finish, Grant, GrantKind};

use super::mutation::{MutantApi, Mutation};

/// Time at which the clocks start.
pub const EPOCH: Ms = Ms(1_700_000_000_000);

/// State shared by the hosts of a run.
pub struct World {
    pub store: Arc<MemStore>,
    pub start: Instant,
    pub hosts: usize,
    pub mutation: Option<Mutation>,
    inner: Mutex<Inner>,
}

struct Inner {
    rng: ChaCha8Rng,
    hosts: BTreeMap<usize, Arc<Host>>,
    /// When the cut between two hosts ends, and when a host that is hidden from another one is seen
    /// again.
    cuts: BTreeMap<(usize, usize), Ms>,
    hidden: BTreeMap<(usize, usize), Ms>,
    died: BTreeMap<usize, Ms>,
}

/// One run of one host.
pub struct Host {
    pub journal: Sharded,
    pub gate: Arc<Gate>,
}

impl World {
    pub fn new(seed: u64, hosts: usize, mutation: Option<Mutation>) -> Arc<Self> {
        let inner = Inner {
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            cuts: BTreeMap::new(),
            hidden: BTreeMap::new(),
            died: BTreeMap::new(),
        };
        let store = MemStore::new(seed);
        let inner = Mutex::new(inner);
        Arc::new(Self { store, start: Instant::now(), hosts, mutation, inner })
    }

    pub fn now(&self) -> Ms {
        EPOCH + Ms(self.start.elapsed().as_millis() as u64)
    }

    /// Starts a host, in place of its previous run.
    pub fn start_host(self: &Arc<Self>, host: usize, skew: i64, rules: &JournalSettings) {
        let gate = Arc::new(Gate::new());
        let api: Arc<MemApi> = self.store.api(&name(host));
        let gated = Arc::new(GatedApi { inner: api, gate: gate.clone() });
        let api = Arc::new(MutantApi { inner: gated, mutation: self.mutation });
        let clock = Arc::new(SkewedClock { world: self.clone(), skew });
        let link = Arc::new(Link { world: self.clone(), from: host, gate: gate.clone() });
        let view = Arc::new(HostView { world: self.clone(), observer: host });
        let config = ShardedConfig {
            host: HostId::from(name(host)),
            incarnation: self.now().0,
            rules: rules.clone(),
        };
        let journal = Sharded::new(config, api, clock, link, view);
        let mut inner = self.lock();
        inner.died.remove(&host);
        if let Some(old) = inner.hosts.insert(host, Arc::new(Host { journal, gate })) {
            old.gate.kill();
        }
    }

    pub fn kill(&self, host: usize) {
        let now = self.now();
        let mut inner = self.lock();
        if let Some(dead) = inner.hosts.get(&host) {
            dead.gate.kill();
        }
        inner.died.entry(host).or_insert(now);
    }

    pub fn host(&self, host: usize) -> Option<Arc<Host>> {
        let found = self.lock().hosts.get(&host).cloned();
        found.filter(|h| !h.gate.is_dead())
    }

    pub fn cut(&self, a: usize, b: usize, span: Ms) {
        let until = self.now() + span;
        self.lock().cuts.insert((a.min(b), a.max(b)), until);
    }

    pub fn hide(&self, host: usize, other: usize, span: Ms) {
        let until = self.now() + span;
        self.lock().hidden.insert((host, other), until);
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let now = self.now();
        self.lock().cuts.get(&(a.min(b), a.max(b))).is_some_and(|until| *until > now)
    }

    /// Delay of one direction of a link; 3 % of the delays are long.
    fn link_delay(&self) -> Ms {
        let mut inner = self.lock();
        match inner.rng.random_range(0..100) {
            0..3 => Ms(inner.rng.random_range(500..3_000)),
            _ => Ms(inner.rng.random_range(0..3)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub fn name(host: usize) -> String {
    format!("host-{host}")
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + host as u16))
}

struct SkewedClock {
    world: Arc<World>,
    skew: i64,
}

impl Clock for SkewedClock {
    fn now(&self) -> Ms {
        Ms(self.world.now().0.saturating_add_signed(self.skew))
    }
}

/// A host's view of the others. A dead host stays in it for two more seconds.
struct HostView {
    world: Arc<World>,
    observer: usize,
}

impl View for HostView {
    fn hosts(&self) -> Arc<[ViewHost]> {
        let now = self.world.now();
        let inner = self.world.lock();
        let is_seen = |other: &usize| {
            let gone = inner.died.get(other).is_some_and(|at| *at + Ms::secs(2) < now);
            let is_hidden =
                inner.hidden.get(&(self.observer, *other)).is_some_and(|until| *until > now);
            *other == self.observer || !(gone || is_hidden)
        };
        let hosts = (0..self.world.hosts).filter(is_seen).map(|host| ViewHost {
            host: HostId::from(name(host)),
            domain: DomainId::from("one"),
            address: address(host),
            capacity: 0,
        });
        hosts.collect()
    }
}

/// The links to the other hosts during one run of a host.
struct Link {
    world: Arc<World>,
    from: usize,
    gate: Arc<Gate>,
}

enum Call {
    Claim(Claim),
    Finish(Finish),
}

enum Reply {
    Grant(Grant),
    Recorded(bool),
}

impl Host {
    async fn serve(&self, call: Call, mutation: Option<Mutation>) -> Reply {
        match call {
            Call::Finish(finish) => Reply::Recorded(self.journal.serve_finish(finish).await),
            Call::Claim(claim) => {
                let grant = self.journal.serve_claim(claim.clone()).await;
                let refused = grant.kind() == GrantKind::Unavailable;
                if refused && mutation == Some(Mutation::WriterReleases) {
                    let claim = journal::Claim {
                        workspace: claim.workspace.as_str().into(),
                        key: claim.key.parse().expect("a key"),
                        attempt: claim.attempt.parse().expect("an attempt"),
                    };
                    let _ = self.journal.finish(&claim, Outcome::Released).await;
                }
                Reply::Grant(grant)
            }
        }
    }
}

impl Link {
    /// Delivers a call. The receiver executes it even if the caller no longer waits for the reply.
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Reply, PeerError> {
        self.gate.pass().await;
        let to = usize::from(to.port()) - 1;
        let (world, from) = (self.world.clone(), self.from);
        let (done, answer) = oneshot::channel();
        if world.is_cut(from, to) {
            sleep(Ms(5).duration()).await;
            return Err(PeerError::Unreachable);
        }
        tokio::spawn(async move {
            sleep(world.link_delay().duration()).await;
            let Some(host) = world.host(to) else { return };
            host.gate.pass().await;
            let reply = host.serve(call, world.mutation).await;
            host.gate.pass().await;
            sleep(world.link_delay().duration()).await;
            // A cut that began in the meantime loses the reply.
            if world.is_cut(from, to) {
                sleep(Ms::secs(3_600).duration()).await;
            }
            let _ = done.send(reply);
        });
        let reply = answer.await.map_err(|_| PeerError::Broken);
        self.gate.pass().await;
        reply
    }
}

#[async_trait]
impl Peers for Link {
    async fn exchange(&self, _: SocketAddr, _: Exchange) -> Result<Exchange, PeerError> {
        Err(PeerError::Unreachable)
    }

    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError> {
        match self.call(to, Call::Claim(claim)).await? {
            Reply::Grant(grant) => Ok(grant),
            Reply::Recorded(_) => Err(PeerError::Broken),
        }
    }

    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError> {
        match self.call(to, Call::Finish(finish)).await? {
            Reply::Recorded(recorded) => Ok(recorded),
            Reply::Grant(_) => Err(PeerError::Broken),
        }
    }
}
