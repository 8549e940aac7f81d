//! The other hosts of the fleet: which of them is responsible for what, such as composing the calls
//! of a service, and the news that they need at once.

mod succession;

use base::{Clock, DomainId, HostId, Ms, PauseMeter, PoolId, RegionId, TargetId};
use gossip::{Node, NodeConfig};
use memory::Budget;
use peer::{PeerClient, StagePeers, StageServer, View, ViewHost};
use sched::assignment;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use store::Empty;
use tokio::sync::mpsc;
use wire::{HostNews, PromptSent, TargetLimit};

use crate::diagnose::Ended;
use crate::settings::Settings;

/// Time-out of a call between hosts. The round trip takes up to about 40 ms, and a small host may
/// be stopped for a tenth of a second by its CPU quota.
const PEER_TIMEOUT: Ms = Ms(400);
/// Time for which a host that failed a call is given no duties by this host. By then the other
/// hosts have noticed its failure too, or it is back.
const SUSPECT_TIME: Ms = Ms(2_000);
/// Interval between gossip heartbeats to a few peers.
const GOSSIP_INTERVAL: Ms = Ms(1_000);
/// Time without a heartbeat after which a host counts as dead.
const DEAD_AFTER: Ms = Ms(3_000);
/// Limit of concurrent calls when several hosts are notified or asked.
pub(crate) const MAX_PARALLEL_CALLS: usize = 64;
/// Limit of hosts of a failure domain that are notified. A message about a prompt takes a hundred
/// bytes for each host. In a domain with more hosts each host sends fewer requests, and a dozen
/// informed hosts are enough to avoid an engine that is in use.
const MAX_DOMAIN_AUDIENCE: usize = 12;

/// The host that has a duty, such as composing the calls of a service in a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This host.
    Me,
    /// Another host.
    Peer {
        /// The name of the host.
        host: HostId,
        /// The address that it listens on for other hosts.
        addr: SocketAddr,
    },
}

/// The hosts of the fleet, as this host knows them.
pub(crate) struct Members {
    me: HostId,
    view: Arc<dyn View>,
    peers: Arc<PeerClient>,
    clock: Arc<dyn Clock>,
    suspects: Mutex<HashMap<HostId, Ms>>,
    ends: mpsc::UnboundedSender<Ended>,
    prompts: mpsc::UnboundedSender<(DomainId, PromptSent)>,
    limits: mpsc::UnboundedSender<(DomainId, TargetLimit)>,
}

/// News to be sent to other hosts.
pub(crate) struct Outbox {
    /// Ends of targets, with the requests that may have caused them.
    pub(crate) ends: mpsc::UnboundedReceiver<Ended>,
    /// Prompts sent to engines, with the engine's failure domain.
    pub(crate) prompts: mpsc::UnboundedReceiver<(DomainId, PromptSent)>,
    /// Rate limits that targets name, or no longer name, with the target's failure domain.
    pub(crate) limits: mpsc::UnboundedReceiver<(DomainId, TargetLimit)>,
}

impl Members {
    /// Starts the gossip node, which knows the live hosts. News to be sent to other hosts arrives
    /// in the returned outbox.
    pub(crate) async fn start(
        settings: &Settings,
        clock: Arc<dyn Clock>,
        pauses: Arc<PauseMeter>,
        budget: Arc<Budget>,
    ) -> std::io::Result<(Self, Node, Outbox)> {
        let config = NodeConfig {
            settings: node_settings(settings),
            capacity: (settings.cores * 1000.0) as u32,
        };
        let (node, _news) =
            Node::start_within(config, Arc::new(Empty), clock.clone(), budget).await?;
        let (ends, ends_out) = mpsc::unbounded_channel();
        let (prompts, prompts_out) = mpsc::unbounded_channel();
        let (limits, limits_out) = mpsc::unbounded_channel();
        let members = Self {
            me: settings.host.clone(),
            view: node.view(),
            peers: Arc::new(PeerClient::new(PEER_TIMEOUT).with_pauses(pauses)),
            clock,
            suspects: Mutex::default(),
            ends,
            prompts,
            limits,
        };
        let outbox = Outbox { ends: ends_out, prompts: prompts_out, limits: limits_out };
        Ok((members, node, outbox))
    }

    /// The client for calls to other hosts.
    pub(crate) fn peers(&self) -> Arc<dyn StagePeers> {
        self.peers.clone()
    }

    /// This host's name.
    pub(crate) fn me(&self) -> &HostId {
        &self.me
    }

    /// The live hosts, including this one.
    pub(crate) fn hosts(&self) -> Arc<[ViewHost]> {
        self.view.hosts()
    }

    /// The host that composes the calls of a service in a region; none if no host is alive there.
    ///
    /// All hosts that see the same live hosts choose the same one. If they differ, calls are less
    /// full, and some inputs may have to be computed again.
    pub(crate) fn owner(
        &self,
        settings: &Settings,
        service: &PoolId,
        region: &RegionId,
    ) -> Option<Owner> {
        let in_region = |h: &ViewHost| settings.region_of(&h.domain) == Some(region);
        self.pick(service.as_str().as_bytes(), in_region)
    }

    /// The host responsible for a hash: it keeps what the fleet knows about the subject of a
    /// prompt.
    pub(crate) fn hash_owner(&self, hash: u64) -> Option<Owner> {
        self.pick(&hash.to_le_bytes(), |_| true)
    }

    /// The host that reads the platform's store for a failure domain, among those for which
    /// `eligible` holds.
    pub(crate) fn store_reader(
        &self,
        domain: &DomainId,
        eligible: impl Fn(&HostId) -> bool,
    ) -> Option<Owner> {
        self.pick(domain.as_str().as_bytes(), |h| h.domain == *domain && eligible(&h.host))
    }

    /// The host that all hosts choose for `key`, among the live and eligible ones that aren't
    /// suspected of having failed.
    fn pick(&self, key: &[u8], eligible: impl Fn(&ViewHost) -> bool) -> Option<Owner> {
        let hosts = self.view.hosts();
        let suspects = self.suspects();
        let now = self.clock.now();
        let available =
            |h: &&ViewHost| eligible(h) && suspects.get(&h.host).is_none_or(|until| *until <= now);
        let available: Vec<&ViewHost> = hosts.iter().filter(available).collect();
        let found = assignment::assignee(key, &available, |h| h.host.as_str(), |h| h.capacity)?;
        Some(match found.host == self.me {
            true => Owner::Me,
            false => Owner::Peer { host: found.host.clone(), addr: found.address },
        })
    }

    /// Whether another host composes the calls of a service in a region.
    pub(crate) fn peer_composes(
        &self,
        settings: &Settings,
        service: &PoolId,
        region: &RegionId,
    ) -> bool {
        matches!(self.owner(settings, service, region), Some(Owner::Peer { .. }))
    }

    /// Records that a call to a host failed: for [`SUSPECT_TIME`] it is given no duties by this
    /// host.
    pub(crate) fn suspect(&self, host: &HostId) {
        let until = self.clock.now() + SUSPECT_TIME;
        self.suspects().insert(host.clone(), until);
    }

    /// Queues the news that a target ended, for the hosts that find out why.
    pub(crate) fn queue_end(&self, end: Ended) {
        // The receiver lives as long as the host.
        let _ = self.ends.send(end);
    }

    /// Queues the news that a prompt was sent to an engine of `domain`, which needs `time` to read
    /// it, for the hosts that choose among the same engines.
    pub(crate) fn queue_prompt(&self, domain: &DomainId, target: &TargetId, time: Ms) {
        let prompt = PromptSent { target: target.as_str().to_owned(), time_ms: time.0 };
        // The receiver lives as long as the host.
        let _ = self.prompts.send((domain.clone(), prompt));
    }

    /// Queues the news that a target of `domain` names a rate limit, or no longer names one, for
    /// the hosts that share the limit.
    pub(crate) fn queue_limit(
        &self,
        domain: &DomainId,
        target: &TargetId,
        per_second: Option<f64>,
    ) {
        let limit = TargetLimit { target: target.as_str().to_owned(), per_second };
        // The receiver lives as long as the host.
        let _ = self.limits.send((domain.clone(), limit));
    }

    /// Notifies all other hosts.
    pub(crate) async fn notify_all(&self, news: HostNews) {
        self.notify(news, usize::MAX, |_| true).await;
    }

    /// Notifies other hosts of a failure domain, [`MAX_DOMAIN_AUDIENCE`] at most.
    pub(crate) async fn notify_domain(&self, domain: &DomainId, news: HostNews) {
        self.notify(news, MAX_DOMAIN_AUDIENCE, |h| h.domain == *domain).await;
    }

    async fn notify(&self, news: HostNews, most: usize, eligible: impl Fn(&ViewHost) -> bool) {
        let hosts = self.view.hosts();
        let others: Vec<&ViewHost> =
            hosts.iter().filter(|h| h.host != self.me && eligible(h)).collect();
        let audience = assignment::recipients(self.me.as_str(), &others, |h| h.host.as_str(), most);
        for part in audience.chunks(MAX_PARALLEL_CALLS) {
            let calls = part.iter().map(|h| self.notify_one(&h.host, h.address, news.clone()));
            futures::future::join_all(calls).await;
        }
    }

    /// Notifies one host.
    pub(crate) async fn notify_one(&self, host: &HostId, addr: SocketAddr, news: HostNews) {
        if let Err(err) = self.peers.news(addr, news).await {
            logs::note!(logs::Event::PeerFailed, host = %host, call = "news", why = %err);
        }
    }

    fn suspects(&self) -> MutexGuard<'_, HashMap<HostId, Ms>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts to serve the calls of other hosts.
pub(crate) fn serve(node: &Node, stages: Arc<dyn StageServer>) {
    node.serve_stages(stages);
}

/// The settings of the gossip node. The node only keeps track of the live hosts; configuration and
/// targets come directly from the platform.
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
        silence: conf::Silence { peer_ms: PEER_TIMEOUT, ..conf::Silence::default() },
        journal: conf::JournalSettings::default(),
        rates: conf::Rates {
            gossip_ms: GOSSIP_INTERVAL,
            suspect_ms: DEAD_AFTER,
            ..conf::Rates::default()
        },
        drain_ms: Ms::secs(1),
        seed: 1,
    }
}
