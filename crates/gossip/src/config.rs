//! Configuration of a node's gossip: its identity, intervals and limits.

use base::{DomainId, HostId, Ms};
use std::net::SocketAddr;

/// A node's identity, intervals and limits, from the host's settings.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
    /// CPU share in thousandths, or 0 if unknown.
    pub capacity: u32,
    /// Addresses of hosts to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Interval between gossip rounds, ms.
    pub gossip_ms: Ms,
    /// Peers called per round.
    pub fanout: usize,
    /// Hosts per failure domain that watch the platform.
    pub watchers: usize,
    /// Interval between polls of a target, ms.
    pub poll_ms: Ms,
    /// Most calls to the platform per second.
    pub platform_calls: u32,
    /// Time for which a suspected host can refute the suspicion before it is marked as dead, ms.
    pub suspect_ms: Ms,
    /// Time beyond a watch's agreed wait after which the watch has failed, ms.
    pub watch_ms: Ms,
    /// Timeout of a call to the platform, ms.
    pub platform_ms: Ms,
    /// Timeout of a poll, ms.
    pub target_ms: Ms,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The safeguard that is disabled, if any; tests use it to show what each one prevents.
    pub disabled: Option<Safeguard>,
}

/// A safeguard that a test can disable to show what then fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// An older configuration is never accepted.
    GenerationFloor,
    /// Lists are read again periodically.
    Relist,
    /// A call to the platform that gets no answer times out.
    WatchBound,
    /// A suspected or dead host can refute the claim with a later heartbeat.
    Refutation,
    /// Dead hosts and seed addresses are called now and then.
    Rejoin,
    /// The newest mark of a leaving target wins.
    LeavingOrder,
    /// A host that has just started waits for a peer's answer before it uses the platform's
    /// configuration.
    PeersFirst,
    /// A peer with an older configuration is sent the newer one.
    Push,
    /// Retries of failed calls to the platform back off.
    Backoff,
    /// A watcher that can't reach the platform hands over to another host of its domain.
    BlindHandover,
}

impl GossipConfig {
    /// Takes the values from the host's settings; `address` is the address that it actually listens
    /// at.
    pub fn new(settings: &conf::Settings, address: SocketAddr) -> Self {
        let rates = &settings.rates;
        Self {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            address,
            capacity: 0,
            seeds: settings.seeds.iter().map(|s| s.address).filter(|a| *a != address).collect(),
            gossip_ms: rates.gossip_ms,
            fanout: rates.fanout,
            watchers: rates.watchers,
            poll_ms: rates.poll_ms,
            platform_calls: rates.platform_calls,
            suspect_ms: rates.suspect_ms,
            watch_ms: settings.silence.watch_ms,
            platform_ms: settings.silence.platform_ms,
            target_ms: settings.silence.target_ms,
            seed: settings.seed,
            disabled: None,
        }
    }

    /// Whether a safeguard is enabled.
    pub(crate) fn is_enabled(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }
}
