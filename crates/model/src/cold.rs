//! Simulation of cold targets in virtual time: how all hosts together keep to the request rate that
//! a cold target can take.
//!
//! A failure domain comes back with cold targets during a burst of load. Each host of the fleet
//! sends requests to these targets as far as the simulated design permits; all other requests go
//! elsewhere. A network partition may split the hosts into groups that don't know of each other.

use base::{HostId, Ms, hash_parts, rendezvous};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::warmup::{WarmupState, share};
use std::collections::{BTreeMap, HashMap};

/// How long targets stay cold; the simulation ends then.
const COLD_TIME: Ms = Ms::secs(3);
/// Targets in the cold failure domain.
const TARGETS: usize = 10;
/// Number of failure domains; the first is cold.
const DOMAINS: usize = 6;
/// One-way latency between hosts of one failure domain, and across the fleet, ms.
const LOCAL_MS: u64 = 1;
const REMOTE_MS: u64 = 20;
/// Window over which the limit counts requests.
const LIMIT_WINDOW: Ms = Ms::secs(1);

/// How hosts share the rate limit of a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// They ignore it.
    Unlimited,
    /// Each host of the fleet may use an equal part of the limit.
    EqualParts,
    /// The hosts' clocks divide time into turns; in each turn the next host of the domain may send.
    Turns,
    /// One host of the domain, chosen by rendezvous hashing, issues permits; a host that can't
    /// reach it sends nothing.
    Permits,
    /// A few hosts of the domain share half of the limit; see [`sched::warmup`].
    Shares,
}

/// Network partition between the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// All hosts know of each other.
    None,
    /// Two halves, each of which was started during the partition and never knew the other.
    Halves,
    /// Each host is isolated after it had known all others.
    Isolated,
}

/// Parameters of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Requests per second and target that would go to the cold domain without a limit.
    pub rate: f64,
    /// Requests per second that a cold target can take.
    pub limit: f64,
    /// Which hosts know of each other.
    pub partition: Partition,
    /// Largest difference between two hosts' clocks, ms; only [`Design::Turns`] uses the clocks.
    pub skew: u64,
}

/// Results of one simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Most requests that any target got within one second.
    pub worst: usize,
    /// Requests per second and target while the targets were cold.
    pub served: f64,
    /// Mean number of calls between hosts per request.
    pub calls: f64,
    /// Mean wait for a permit, ms.
    pub wait: f64,
}

struct Host {
    id: HostId,
    domain: usize,
    group: usize,
    skew: u64,
    warmup: HashMap<usize, WarmupState>,
}

struct World {
    scenario: Scenario,
    design: Design,
    hosts: Vec<Host>,
    /// Issued permits by target and issuing host.
    permits: BTreeMap<(usize, usize), WarmupState>,
    arrived: Vec<Vec<Ms>>,
    calls: usize,
    waited: u64,
    requests: usize,
}

/// Simulates a scenario; all random values are drawn from `seed`.
pub fn simulate(design: Design, scenario: Scenario, seed: u64) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let group = |i: usize| match scenario.partition {
        Partition::None => 0,
        Partition::Halves => i % 2,
        Partition::Isolated => i,
    };
    let host = |i: usize| Host {
        id: HostId::from(format!("edge-{i}")),
        domain: i / 2 % DOMAINS,
        group: group(i),
        skew: 0,
        warmup: HashMap::new(),
    };
    let mut hosts: Vec<Host> = (0..scenario.hosts).map(host).collect();
    hosts.iter_mut().for_each(|h| h.skew = rng.random_range(0..=scenario.skew));
    let mut world = World {
        scenario,
        design,
        hosts,
        permits: BTreeMap::new(),
        arrived: vec![Vec::new(); TARGETS],
        calls: 0,
        waited: 0,
        requests: 0,
    };
    let interval = 1_000.0 / (scenario.rate * TARGETS as f64);
    let mut at = 0.0;
    while at < COLD_TIME.0 as f64 {
        let sender = rng.random_range(0..scenario.hosts);
        let target = rng.random_range(0..TARGETS);
        world.request(Ms(at as u64), sender, target);
        at += -interval * (1.0 - rng.random::<f64>()).ln();
    }
    world.figures()
}

impl World {
    fn request(&mut self, now: Ms, sender: usize, target: usize) {
        self.requests += 1;
        let sent = match self.design {
            Design::Unlimited => Some(now),
            Design::EqualParts => self.equal_part(now, sender, target),
            Design::Turns => self.turn(now, sender, target).then_some(now),
            Design::Permits => self.permit(now, sender, target),
            Design::Shares => self.share(now, sender, target),
        };
        let Some(at) = sent else { return };
        self.waited += (at - now).0;
        self.arrived[target].push(at);
    }

    fn in_cold_domain(&self, sender: usize) -> bool {
        self.hosts[sender].domain == 0
    }

    /// Hosts of the cold domain that `sender` knows of.
    fn known(&self, sender: usize) -> Vec<usize> {
        let mine = self.hosts[sender].group;
        // A host that knew the others before it was isolated still counts them.
        let seen = |i: &usize| {
            self.scenario.partition != Partition::Halves || self.hosts[*i].group == mine
        };
        (0..self.hosts.len()).filter(|i| self.hosts[*i].domain == 0 && seen(i)).collect()
    }

    fn equal_part(&mut self, now: Ms, sender: usize, target: usize) -> Option<Ms> {
        let part = self.scenario.limit / self.hosts.len() as f64;
        // A share below one request per second means one request every few seconds.
        let span = Ms((1_000.0 / part.max(f64::MIN_POSITIVE)) as u64).max(LIMIT_WINDOW);
        let warmup = self.hosts[sender].warmup.entry(target).or_default();
        let free = warmup.remaining(now) == Ms::ZERO;
        free.then(|| warmup.cold_until(now + span));
        free.then_some(now)
    }

    fn turn(&mut self, now: Ms, sender: usize, target: usize) -> bool {
        let known = self.known(sender);
        let length = Ms((1_000.0 / self.scenario.limit) as u64).max(Ms(1));
        let skew = self.hosts[sender].skew;
        let clock = now.0 + skew;
        let holder = known[(clock / length.0) as usize % known.len().max(1)];
        let turn = clock / length.0;
        let warmup = self.hosts[sender].warmup.entry(target).or_default();
        let free = warmup.remaining(now) == Ms::ZERO;
        let mine = holder == sender && free;
        if mine {
            // One request per turn: block the target until the turn ends.
            warmup.cold_until(Ms(((turn + 1) * length.0).saturating_sub(skew)));
        }
        mine
    }

    fn permit(&mut self, now: Ms, sender: usize, target: usize) -> Option<Ms> {
        let mine = self.hosts[sender].group;
        let alive = |i: &usize| self.hosts[*i].group == mine && self.hosts[*i].domain == 0;
        let alive: Vec<usize> = (0..self.hosts.len()).filter(alive).collect();
        let key = target.to_le_bytes();
        let names: Vec<(usize, &HostId)> = alive.iter().map(|i| (*i, &self.hosts[*i].id)).collect();
        let (issuer, _) = *rendezvous(&key, &names, |(_, id)| id.as_str())?;
        let way = match (issuer == sender, self.in_cold_domain(sender)) {
            (true, _) => 0,
            (false, true) => 2 * LOCAL_MS,
            (false, false) => 2 * REMOTE_MS,
        };
        self.calls += usize::from(way > 0);
        let issued = self.permits.entry((target, issuer)).or_default();
        issued.cold_until(now + COLD_TIME);
        // During a partition two issuers may be active at once; half of the limit each keeps their
        // sum within it.
        let open = issued.admits(now, (self.scenario.limit / 2.0) as u32);
        open.then(|| issued.sent(now));
        open.then(|| now + Ms(way))
    }

    fn share(&mut self, now: Ms, sender: usize, target: usize) -> Option<Ms> {
        if !self.in_cold_domain(sender) {
            return None;
        }
        let known = self.known(sender);
        let ids = known.iter().map(|i| &self.hosts[*i].id);
        let name = format!("target-{target}-{}", hash_parts(&[&target.to_le_bytes()]));
        let share = share(self.scenario.limit, &name, &self.hosts[sender].id, ids);
        let warmup = self.hosts[sender].warmup.entry(target).or_default();
        warmup.cold_until(Ms::MAX);
        let open = warmup.admits(now, share);
        open.then(|| warmup.sent(now));
        open.then_some(now)
    }

    fn figures(mut self) -> Figures {
        let sent: usize = self.arrived.iter().map(Vec::len).sum();
        let worst = |times: &mut Vec<Ms>| {
            times.sort_unstable();
            let within = |from: Ms| {
                times.iter().filter(|t| **t >= from && **t < from + LIMIT_WINDOW).count()
            };
            times.iter().map(|from| within(*from)).max().unwrap_or(0)
        };
        Figures {
            worst: self.arrived.iter_mut().map(worst).max().unwrap_or(0),
            served: sent as f64 / TARGETS as f64 / (COLD_TIME.0 as f64 / 1_000.0),
            calls: self.calls as f64 / self.requests.max(1) as f64,
            wait: self.waited as f64 / sent.max(1) as f64,
        }
    }
}
