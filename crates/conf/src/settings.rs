//! The settings of one host, read once from a YAML file.

use base::{DomainId, HostId, Ms, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::{Fault, FaultKind, ParseError, names};

/// The settings that a host process reads at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This host's name, unique in the fleet.
    pub host: HostId,
    /// The failure domain that it belongs to.
    pub domain: DomainId,
    /// The region of that failure domain.
    pub region: RegionId,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address where the load balancer and operators read health and metrics.
    pub admin: SocketAddr,
    /// Address that other hosts connect to.
    pub peer: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Hosts to contact at start, in addition to the platform's list of hosts. Default none.
    #[serde(default)]
    pub seeds: Vec<Peer>,
    /// Limits on what callers and targets send.
    #[serde(default)]
    pub limits: Limits,
    /// How long a connection may be silent.
    #[serde(default)]
    pub silence: Silence,
    /// Records of work that may not be repeated.
    #[serde(default)]
    pub journal: JournalSettings,
    /// How often the host contacts the platform, peers and targets.
    #[serde(default)]
    pub rates: Rates,
    /// Time that open requests have to finish at a graceful stop, ms; those left are aborted.
    /// Default 30000.
    #[serde(default = "drain_ms")]
    pub drain_ms: Ms,
    /// Seed of the policy's random number generator. Hosts with the same seed still differ by name.
    /// Default 1.
    #[serde(default = "seed")]
    pub seed: u64,
}

/// The name and address of another host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address that other hosts connect to.
    pub address: SocketAddr,
}

/// Least memory of a machine, in millions of bytes: a host without callers takes up to half of it.
const MIN_MEMORY_MB: u32 = 64;

/// Limits on what is read from callers and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a caller's headers, bytes. Default 16384.
    pub header_bytes: usize,
    /// Maximum size of a caller's body, bytes. Default 1048576.
    pub body_bytes: usize,
    /// Maximum size of a stage's answer, bytes. Default 4194304.
    pub answer_bytes: usize,
    /// Time in which a caller must send its headers, and again for its body, ms. Default 10000.
    pub read_ms: Ms,
    /// Maximum number of open connections of callers; further ones are closed immediately.
    /// Default 10000.
    pub connections: usize,
    /// Memory of the machine, in millions of bytes. Default: what the operating system reports.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u32>,
    /// Time-out for a connection to a target, ms. Above one second, because the operating system
    /// retransmits a lost packet after one second, and a single loss should not be a failure.
    /// Default 1500.
    pub connect_ms: Ms,
    /// How long a stream is kept for a caller whose connection broke, so that it can resume, ms.
    /// Default 5000.
    pub resume_ms: Ms,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            answer_bytes: 4 << 20,
            read_ms: Ms::secs(10),
            connections: 10_000,
            memory_mb: None,
            connect_ms: Ms(1_500),
            resume_ms: Ms::secs(5),
        }
    }
}

/// How long a connection may be silent before it is considered dead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Silence {
    /// Target that has a piece or an answer outstanding: after this time, it is probed on a new
    /// connection, ms. Default 2000.
    pub target_ms: Ms,
    /// Call to the object API, ms. Default 1000.
    pub platform_ms: Ms,
    /// Watch on the object API, in addition to the wait that it asked for, ms. Default 2000.
    pub watch_ms: Ms,
    /// Call to another host, ms. Default 500.
    pub peer_ms: Ms,
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            target_ms: Ms::secs(2),
            platform_ms: Ms::secs(1),
            watch_ms: Ms::secs(2),
            peer_ms: Ms(500),
        }
    }
}

/// Records of work that may not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Number of shard objects. It must be the same on all hosts, and can't change while keys are
    /// remembered. Default 512.
    pub shards: u32,
    /// Number of shards that accept new keys at a time; the others hold older keys. More lanes allow
    /// more writes per second at the same latency. It must be the same on all hosts. Default 1.
    pub lanes: u32,
    /// How long a key is remembered; older keys are refused, ms. Default 600000.
    pub window_ms: Ms,
    /// How far a caller's clock may be ahead of the host's, ms. Default 60000.
    pub ahead_ms: Ms,
    /// Largest answer that is stored for re-sends, bytes. Re-sends of a request with a larger one are
    /// answered as `unknown`. Default 4096.
    pub answer_bytes: usize,
    /// Minimum time between two commits of a shard, ms; keys that arrive in between share the next
    /// one. Default 25.
    pub commit_ms: Ms,
    /// Time-out for recording a key, ms; after it, the request is refused. Default 2000.
    pub claim_ms: Ms,
    /// How long a started key is answered as `running` while its host is alive, ms; after that, as
    /// `unknown`. Must be longer than any deadline. Default 60000.
    pub running_ms: Ms,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            shards: 512,
            lanes: 1,
            window_ms: Ms::secs(600),
            ahead_ms: Ms::secs(60),
            answer_bytes: 4096,
            commit_ms: Ms(25),
            claim_ms: Ms::secs(2),
            running_ms: Ms::secs(60),
        }
    }
}

/// How often the host contacts others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// Interval of heartbeats and digests to a few peers, ms. Default 1000.
    pub gossip_ms: Ms,
    /// Number of peers that each digest is sent to. Default 2.
    pub fanout: usize,
    /// Number of hosts per failure domain that watch the platform. Default 2.
    pub watchers: usize,
    /// Interval at which a target's poller reads its load, ms. Default 500.
    pub poll_ms: Ms,
    /// Maximum calls per second from this host to the object API. The preferred writer of the newest
    /// journal shard alone makes up to 60. Default 100.
    pub platform_calls: u32,
    /// A peer without heartbeats for this long is considered dead, ms. Default 5000.
    pub suspect_ms: Ms,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            gossip_ms: Ms::secs(1),
            fanout: 2,
            watchers: 2,
            poll_ms: Ms(500),
            platform_calls: 100,
            suspect_ms: Ms::secs(5),
        }
    }
}

impl Settings {
    /// Parses and checks YAML. Unknown fields are refused with line and column.
    pub fn parse(yaml: &str) -> Result<Self, ParseError> {
        let settings: Self =
            serde_saphyr::from_str(yaml).map_err(|err| ParseError::from_parser(err, yaml))?;
        match settings.faults() {
            faults if faults.is_empty() => Ok(settings),
            faults => Err(ParseError::Faults(faults).locate(yaml)),
        }
    }

    fn faults(&self) -> Vec<Fault> {
        let ranges = [
            ("limits.header_bytes", self.limits.header_bytes >= 8192, "at least 8192"),
            ("limits.body_bytes", self.limits.body_bytes >= 1, "at least 1"),
            ("limits.answer_bytes", self.limits.answer_bytes >= 1, "at least 1"),
            ("limits.connections", self.limits.connections >= 1, "at least 1"),
            (
                "limits.memory_mb",
                self.limits.memory_mb.is_none_or(|mb| mb >= MIN_MEMORY_MB),
                "at least 64",
            ),
            ("silence.target_ms", self.silence.target_ms >= Ms(1), "at least 1"),
            ("silence.platform_ms", self.silence.platform_ms >= Ms(1), "at least 1"),
            ("limits.read_ms", self.limits.read_ms >= Ms(1), "at least 1"),
            ("limits.connect_ms", self.limits.connect_ms >= Ms(1), "at least 1"),
            ("silence.watch_ms", self.silence.watch_ms >= Ms(1), "at least 1"),
            ("silence.peer_ms", self.silence.peer_ms >= Ms(1), "at least 1"),
            ("journal.shards", (1..=4096).contains(&self.journal.shards), "1 to 4096"),
            (
                "journal.lanes",
                (1..=self.journal.shards.max(1)).contains(&self.journal.lanes),
                "1 to journal.shards",
            ),
            ("journal.claim_ms", self.journal.claim_ms >= Ms(10), "at least 10"),
            ("journal.window_ms", self.journal.window_ms >= Ms::secs(1), "at least 1000"),
            ("journal.answer_bytes", self.journal.answer_bytes <= 65_536, "at most 65536"),
            ("rates.gossip_ms", self.rates.gossip_ms >= Ms(10), "at least 10"),
            ("rates.poll_ms", self.rates.poll_ms >= Ms(10), "at least 10"),
            ("rates.fanout", self.rates.fanout >= 1, "at least 1"),
            ("rates.watchers", self.rates.watchers >= 1, "at least 1"),
            (
                "rates.suspect_ms",
                self.rates.suspect_ms > self.rates.gossip_ms,
                "longer than gossip_ms, or every peer is taken for dead between two heartbeats",
            ),
            ("rates.platform_calls", self.rates.platform_calls >= 1, "at least 1"),
        ];
        let names = [
            names::check_setting("host", self.host.as_str()),
            names::check_setting("domain", self.domain.as_str()),
            names::check_setting("region", self.region.as_str()),
        ];
        let fault = |(field, valid, range): (&str, bool, _)| {
            let kind = FaultKind::Range(range);
            (!valid).then(|| Fault { field: field.to_owned(), line: None, kind })
        };
        names.into_iter().chain(ranges.into_iter().map(fault)).flatten().collect()
    }
}

fn drain_ms() -> Ms {
    Ms::secs(30)
}
fn seed() -> u64 {
    1
}
