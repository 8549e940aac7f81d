//! The other hosts: who composes a service's calls, and what they must know at once.

use base::{Clock, DomainId, HostId, Ms, PoolId, RegionId, TargetId};
use gossip::{Node, NodeConfig};
use peer::{PeerClient, StagePeers, StageServer, View, ViewHost};
use sched::assignment;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::Empty;
use tokio::sync::mpsc;
use wire::{Crash, HostNews, PromptSent, TargetLimit};

use crate::settings::Settings;

/// Silence after which a call between hosts has failed, ms: links take up to some 40 ms there and
/// back, and a small host may be held up for a tenth of a second by its quota.
const SILENCE: Ms = Ms(400);
/// Time for which a host that failed a call composes nothing for this one, ms: until the others
/// notice too, or it is back.
const SUSPECT: Ms = Ms(2_000);
/// Time between heartbeats to a few peers, ms.
const GOSSIP: Ms = Ms(1_000);
/// A host unheard of for this long is taken for dead, ms.
const DEAD: Ms = Ms(3_000);
/// Calls at once to hosts that are told something.
const TOLD_AT_ONCE: usize = 64;
/// Hosts of the failure domain that are told of a prompt, at a hundred bytes each: with more hosts
/// the fleet's rate a host is lower, and a dozen know enough to avoid an engine that is in use.
const NEAR_TOLD: usize = 12;

/// Who composes a service's calls in a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This host.
    Me,
    /// Another.
    Peer {
        /// Its name.
        host: HostId,
        /// Where it listens.
        addr: SocketAddr,
    },
}

/// The other hosts.
pub(crate) struct Members {
    me: HostId,
    view: Arc<dyn View>,
    peers: Arc<PeerClient>,
    clock: Arc<dyn Clock>,
    suspects: Mutex<HashMap<HostId, Ms>>,
    crashes: mpsc::UnboundedSender<Crash>,
    prompts: mpsc::UnboundedSender<(DomainId, PromptSent)>,
    limits: mpsc::UnboundedSender<(DomainId, TargetLimit)>,
}

/// What is to be told to other hosts.
pub(crate) struct Told {
    /// Targets that broke under a request.
    pub(crate) crashes: mpsc::UnboundedReceiver<Crash>,
    /// Prompts sent to engines, with the engine's failure domain.
    pub(crate) prompts: mpsc::UnboundedReceiver<(DomainId, PromptSent)>,
    /// Limits that targets name, or don't any more, with the target's failure domain.
    pub(crate) limits: mpsc::UnboundedReceiver<(DomainId, TargetLimit)>,
}

impl Members {
    /// Starts the node that knows who is alive. What is to be told comes out of the receivers.
    pub(crate) async fn start(
        settings: &Settings,
        clock: Arc<dyn Clock>,
    ) -> std::io::Result<(Self, Node, Told)> {
        let config = NodeConfig {
            settings: node_settings(settings),
            capacity: (settings.cores * 1000.0) as u32,
        };
        let (node, _news) = Node::start(config, Arc::new(Empty), clock.clone()).await?;
        let (crashes, crashes_told) = mpsc::unbounded_channel();
        let (prompts, prompts_told) = mpsc::unbounded_channel();
        let (limits, limits_told) = mpsc::unbounded_channel();
        let members = Self {
            me: settings.host.clone(),
            view: node.view(),
            peers: Arc::new(PeerClient::new(SILENCE)),
            clock,
            suspects: Mutex::default(),
            crashes,
            prompts,
            limits,
        };
        let told = Told { crashes: crashes_told, prompts: prompts_told, limits: limits_told };
        Ok((members, node, told))
    }

    /// Calls to other hosts.
    pub(crate) fn peers(&self) -> Arc<dyn StagePeers> {
        self.peers.clone()
    }

    /// This host's name.
    pub(crate) fn me(&self) -> &HostId {
        &self.me
    }

    /// Live hosts, this one included.
    pub(crate) fn hosts(&self) -> Arc<[ViewHost]> {
        self.view.hosts()
    }

    /// The host that composes the calls of a service in a region; none where no host is alive.
    ///
    /// All hosts that see the same others name the same one. Those that don't lose fullness of
    /// calls, and at times inputs that are made again.
    pub(crate) fn owner(
        &self,
        settings: &Settings,
        service: &PoolId,
        region: &RegionId,
    ) -> Option<Owner> {
        let near = |h: &ViewHost| settings.region_of(&h.domain) == Some(region);
        self.pick(service.as_str().as_bytes(), near)
    }

    /// The host that keeps what the fleet knows of a subject, or of a request that breaks targets.
    pub(crate) fn keeper(&self, hash: u64) -> Option<Owner> {
        self.pick(&hash.to_le_bytes(), |_| true)
    }

    /// The host that reads the platform's store for a failure domain, among those that `fits` lets
    /// pass.
    pub(crate) fn store_reader(
        &self,
        domain: &DomainId,
        fits: impl Fn(&HostId) -> bool,
    ) -> Option<Owner> {
        self.pick(domain.as_str().as_bytes(), |h| h.domain == *domain && fits(&h.host))
    }

    /// The host that all name for `key`, among those that are alive and fit.
    fn pick(&self, key: &[u8], fits: impl Fn(&ViewHost) -> bool) -> Option<Owner> {
        let hosts = self.view.hosts();
        let suspects = self.suspects();
        let now = self.clock.now();
        let sound =
            |h: &&ViewHost| fits(h) && suspects.get(&h.host).is_none_or(|until| *until <= now);
        let sound: Vec<&ViewHost> = hosts.iter().filter(sound).collect();
        let found = assignment::assignee(key, &sound, |h| h.host.as_str(), |h| h.capacity)?;
        Some(match found.host == self.me {
            true => Owner::Me,
            false => Owner::Peer { host: found.host.clone(), addr: found.address },
        })
    }

    /// Whether another host composes the calls of a service in a region.
    pub(crate) fn composes(
        &self,
        settings: &Settings,
        service: &PoolId,
        region: &RegionId,
    ) -> bool {
        matches!(self.owner(settings, service, region), Some(Owner::Peer { .. }))
    }

    /// A call to this host failed: for a while it composes nothing for this one.
    pub(crate) fn suspect(&self, host: &HostId) {
        let until = self.clock.now() + SUSPECT;
        self.suspects().insert(host.clone(), until);
    }

    /// A target broke under a request; the other hosts are told.
    pub(crate) fn crashed(&self, fingerprint: u64, target: &TargetId) {
        let crash = Crash { fingerprint, target: target.as_str().to_owned() };
        // The receiver lives as long as the host.
        let _ = self.crashes.send(crash);
    }

    /// A prompt was sent to an engine of `domain` that reads it for `time`; the hosts that choose
    /// among the same engines are told.
    pub(crate) fn sent(&self, domain: &DomainId, target: &TargetId, time: Ms) {
        let prompt = PromptSent { target: target.as_str().to_owned(), time_ms: time.0 };
        // The receiver lives as long as the host.
        let _ = self.prompts.send((domain.clone(), prompt));
    }

    /// A target of `domain` names a limit, or none any more; the hosts that share it are told.
    pub(crate) fn limited(&self, domain: &DomainId, target: &TargetId, per_second: Option<f64>) {
        let limit = TargetLimit { target: target.as_str().to_owned(), per_second };
        // The receiver lives as long as the host.
        let _ = self.limits.send((domain.clone(), limit));
    }

    /// Tells all others.
    pub(crate) async fn tell_all(&self, news: HostNews) {
        self.tell(news, usize::MAX, |_| true).await;
    }

    /// Tells the others of a failure domain.
    pub(crate) async fn tell_domain(&self, domain: &DomainId, news: HostNews) {
        self.tell(news, NEAR_TOLD, |h| h.domain == *domain).await;
    }

    async fn tell(&self, news: HostNews, most: usize, fits: impl Fn(&ViewHost) -> bool) {
        let hosts = self.view.hosts();
        let others: Vec<&ViewHost> =
            hosts.iter().filter(|h| h.host != self.me && fits(h)).collect();
        let told = assignment::recipients(self.me.as_str(), &others, |h| h.host.as_str(), most);
        for part in told.chunks(TOLD_AT_ONCE) {
            let calls = part.iter().map(|h| self.tell_one(&h.host, h.address, news.clone()));
            futures::future::join_all(calls).await;
        }
    }

    /// Tells one host.
    pub(crate) async fn tell_one(&self, host: &HostId, addr: SocketAddr, news: HostNews) {
        if let Err(err) = self.peers.news(addr, news).await {
            logs::note!(logs::Event::PeerFailed, host = %host, call = "news", why = %err);
        }
    }

    fn suspects(&self) -> MutexGuard<'_, HashMap<HostId, Ms>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers other hosts' work from now on.
pub(crate) fn serve(node: &Node, stages: Arc<dyn StageServer>) {
    node.serve_stages(stages);
}

/// The node's own settings: it knows who is alive; configuration and targets come from the
/// platform directly.
fn node_settings(settings: &Settings) -> conf::Settings {
    let seeds = settings.seeds.iter().map(|address| conf::Peer {
        host: HostId::from(address.to_string()),
        domain: settings.domain.clone(),
        address: *address,
    });
    conf::Settings {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        region: settings.region().clone(),
        listen: settings.listen,
        admin: settings.ready,
        peer: settings.peer,
        platform: settings.platform,
        seeds: seeds.collect(),
        limits: conf::Limits::default(),
        silence: conf::Silence { peer_ms: SILENCE, ..conf::Silence::default() },
        journal: conf::JournalSettings::default(),
        rates: conf::Rates { gossip_ms: GOSSIP, suspect_ms: DEAD, ..conf::Rates::default() },
        drain_ms: Ms::secs(1),
        seed: 1,
    }
}
