//! The bounds that a node keeps to.

use base::{DomainId, HostId, Ms};
use std::net::SocketAddr;

/// A node's identity and bounds, from the host's settings.
#[derive(Clone, Debug)]
pub struct Rules {
    /// This host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// Its share of a processor, in thousandths; 0 where it isn't told.
    pub capacity: u32,
    /// Hosts to learn from at the start.
    pub seeds: Vec<SocketAddr>,
    /// Time between rounds of exchanges, ms.
    pub gossip_ms: Ms,
    /// Peers per round.
    pub fanout: usize,
    /// Watchers of the platform per failure domain.
    pub watchers: usize,
    /// Time between polls of a target, ms.
    pub poll_ms: Ms,
    /// Calls to the platform, a second at most.
    pub platform_calls: u32,
    /// How long a suspected host has to show that it is alive, ms.
    pub suspect_ms: Ms,
    /// Silence past a watch's agreed wait, ms.
    pub watch_ms: Ms,
    /// Silence after which a call to the platform has failed, ms.
    pub platform_ms: Ms,
    /// Silence after which a poll has failed, ms.
    pub target_ms: Ms,
    /// Seed of the generator.
    pub seed: u64,
    /// Which safeguard is off; tests show with it what each is for.
    pub disabled: Option<Safeguard>,
}

/// A safeguard that a test takes away to show what then fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Only a higher generation is taken.
    GenerationFloor,
    /// Lists are read again now and then.
    Relist,
    /// A watch has a bound on its silence.
    WatchBound,
    /// A suspected host is heard before it is taken for dead.
    Refutation,
    /// Dead hosts and seeds are called now and then.
    Rejoin,
    /// The newest word on a leaving target wins.
    LeavingOrder,
    /// A host that has just started hears its peers before it believes the platform.
    PeersFirst,
    /// A host with a lower generation is given the configuration.
    Push,
    /// Failed calls to the platform are spaced out.
    Backoff,
    /// A watcher that can't reach the platform hands on to another host of its domain.
    BlindHandover,
}

impl Rules {
    /// From the host's settings; `address` is where it really listens.
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

    /// Whether a safeguard is in its place.
    pub(crate) fn is_enabled(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }
}
