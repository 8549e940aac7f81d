//! Cold targets in virtual time: how hosts keep together to what one stands.
//!
//! A failure domain comes back cold into a burst. Each host of the fleet sends its requests to the
//! targets there as long as its design lets it; what it may not send goes elsewhere. Hosts may be
//! cut into groups that know nothing of each other.

use base::{HostId, Ms, hash_parts, rendezvous};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::warmup::{WarmupState, share};
use std::collections::{BTreeMap, HashMap};

/// How long targets stay cold.
const COLD: Ms = Ms::secs(3);
/// Targets of the domain.
const TARGETS: usize = 10;
/// Failure domains, one of which is cold.
const DOMAINS: usize = 6;
/// One way between hosts of a domain, and across the fleet, ms.
const NEAR: u64 = 1;
const FAR: u64 = 20;
/// Span of the limit.
const SECOND: Ms = Ms::secs(1);

/// How hosts keep together to the limit of a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Not at all.
    Unlimited,
    /// Each host of the fleet sends its equal part of the limit.
    EqualParts,
    /// Time is cut into turns by the hosts' clocks; in each the next host of the domain sends.
    Turns,
    /// One host of the domain, by rendezvous hashing, hands out permits; who can't reach it sends
    /// nothing.
    Permits,
    /// A few hosts of the domain share half of the limit; see [`sched::warmup`].
    Shares,
}

/// Which hosts know of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// All.
    None,
    /// Two halves that have just started on their own side.
    Halves,
    /// Each host only itself, having known the others before.
    Isolated,
}

/// One play.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Requests a second and target that would go to the cold domain.
    pub rate: f64,
    /// Requests a second that a cold target stands.
    pub limit: f64,
    /// Who knows whom.
    pub partition: Partition,
    /// Largest difference between two hosts' clocks, ms; only [`Design::Turns`] reads them.
    pub skew: u64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests in the worst second at the busiest target.
    pub worst: usize,
    /// Requests a second and target while cold.
    pub served: f64,
    /// Calls between hosts for each request.
    pub calls: f64,
    /// Mean wait for permission, ms.
    pub wait: f64,
}

struct Host {
    id: HostId,
    domain: usize,
    group: usize,
    skew: u64,
    warmth: HashMap<usize, WarmupState>,
}

struct World {
    scenario: Scenario,
    design: Design,
    hosts: Vec<Host>,
    /// Times of permits by target and the host that gives them.
    given: BTreeMap<(usize, usize), WarmupState>,
    arrived: Vec<Vec<Ms>>,
    calls: usize,
    waited: u64,
    asked: usize,
}

/// Plays one seed.
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
        warmth: HashMap::new(),
    };
    let mut hosts: Vec<Host> = (0..scenario.hosts).map(host).collect();
    hosts.iter_mut().for_each(|h| h.skew = rng.random_range(0..=scenario.skew));
    let mut world = World {
        scenario,
        design,
        hosts,
        given: BTreeMap::new(),
        arrived: vec![Vec::new(); TARGETS],
        calls: 0,
        waited: 0,
        asked: 0,
    };
    let every = 1_000.0 / (scenario.rate * TARGETS as f64);
    let mut at = 0.0;
    while at < COLD.0 as f64 {
        let who = rng.random_range(0..scenario.hosts);
        let target = rng.random_range(0..TARGETS);
        world.request(Ms(at as u64), who, target);
        at += -every * (1.0 - rng.random::<f64>()).ln();
    }
    world.figures()
}

impl World {
    fn request(&mut self, now: Ms, who: usize, target: usize) {
        self.asked += 1;
        let sent = match self.design {
            Design::Unlimited => Some(now),
            Design::EqualParts => self.equal_part(now, who, target),
            Design::Turns => self.turn(now, who, target).then_some(now),
            Design::Permits => self.permit(now, who, target),
            Design::Shares => self.share(now, who, target),
        };
        let Some(at) = sent else { return };
        self.waited += (at - now).0;
        self.arrived[target].push(at);
    }

    fn near(&self, who: usize) -> bool {
        self.hosts[who].domain == 0
    }

    /// Hosts of the cold domain that `who` counts.
    fn known(&self, who: usize) -> Vec<usize> {
        let mine = self.hosts[who].group;
        // One that knew the others goes on counting them.
        let seen = |i: &usize| {
            self.scenario.partition != Partition::Halves || self.hosts[*i].group == mine
        };
        (0..self.hosts.len()).filter(|i| self.hosts[*i].domain == 0 && seen(i)).collect()
    }

    fn equal_part(&mut self, now: Ms, who: usize, target: usize) -> Option<Ms> {
        let part = self.scenario.limit / self.hosts.len() as f64;
        // Less than one a second means one in some seconds.
        let span = Ms((1_000.0 / part.max(f64::MIN_POSITIVE)) as u64).max(SECOND);
        let warmth = self.hosts[who].warmth.entry(target).or_default();
        let free = warmth.remaining(now) == Ms::ZERO;
        free.then(|| warmth.cold_until(now + span));
        free.then_some(now)
    }

    fn turn(&mut self, now: Ms, who: usize, target: usize) -> bool {
        let known = self.known(who);
        let length = Ms((1_000.0 / self.scenario.limit) as u64).max(Ms(1));
        let skew = self.hosts[who].skew;
        let clock = now.0 + skew;
        let holder = known[(clock / length.0) as usize % known.len().max(1)];
        let turn = clock / length.0;
        let warmth = self.hosts[who].warmth.entry(target).or_default();
        let free = warmth.remaining(now) == Ms::ZERO;
        let mine = holder == who && free;
        if mine {
            // None until the turn is over.
            warmth.cold_until(Ms(((turn + 1) * length.0).saturating_sub(skew)));
        }
        mine
    }

    fn permit(&mut self, now: Ms, who: usize, target: usize) -> Option<Ms> {
        let mine = self.hosts[who].group;
        let alive = |i: &usize| self.hosts[*i].group == mine && self.hosts[*i].domain == 0;
        let alive: Vec<usize> = (0..self.hosts.len()).filter(alive).collect();
        let key = target.to_le_bytes();
        let names: Vec<(usize, &HostId)> = alive.iter().map(|i| (*i, &self.hosts[*i].id)).collect();
        let (giver, _) = *rendezvous(&key, &names, |(_, id)| id.as_str())?;
        let way = match (giver == who, self.near(who)) {
            (true, _) => 0,
            (false, true) => 2 * NEAR,
            (false, false) => 2 * FAR,
        };
        self.calls += usize::from(way > 0);
        let given = self.given.entry((target, giver)).or_default();
        given.cold_until(now + COLD);
        // Two givers at once stay within the limit together.
        let open = given.admits(now, (self.scenario.limit / 2.0) as u32);
        open.then(|| given.sent(now));
        open.then(|| now + Ms(way))
    }

    fn share(&mut self, now: Ms, who: usize, target: usize) -> Option<Ms> {
        if !self.near(who) {
            return None;
        }
        let known = self.known(who);
        let ids = known.iter().map(|i| &self.hosts[*i].id);
        let name = format!("target-{target}-{}", hash_parts(&[&target.to_le_bytes()]));
        let share = share(self.scenario.limit, &name, &self.hosts[who].id, ids);
        let warmth = self.hosts[who].warmth.entry(target).or_default();
        warmth.cold_until(Ms::MAX);
        let open = warmth.admits(now, share);
        open.then(|| warmth.sent(now));
        open.then_some(now)
    }

    fn figures(mut self) -> Figures {
        let sent: usize = self.arrived.iter().map(Vec::len).sum();
        let worst = |times: &mut Vec<Ms>| {
            times.sort_unstable();
            let within =
                |from: Ms| times.iter().filter(|t| **t >= from && **t < from + SECOND).count();
            times.iter().map(|from| within(*from)).max().unwrap_or(0)
        };
        Figures {
            worst: self.arrived.iter_mut().map(worst).max().unwrap_or(0),
            served: sent as f64 / TARGETS as f64 / (COLD.0 as f64 / 1_000.0),
            calls: self.calls as f64 / self.asked.max(1) as f64,
            wait: self.waited as f64 / sent.max(1) as f64,
        }
    }
}
