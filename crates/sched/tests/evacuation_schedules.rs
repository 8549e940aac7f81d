//! Random schedules of hosts that list evacuations and pass them on to each other, with late or
//! lost responses, hosts that restart and hosts that were cut off.

use base::{DomainId, Ms};
use catalog::Position;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::evacuation::Evacuations;
use std::collections::BTreeSet;

const HOSTS: usize = 4;
const STEPS: u64 = 200;
const SCHEDULES: u64 = 400;

/// A list on its way to a host, from the store or from another host.
struct Answer {
    /// When the call that proves it was sent, by the clock of the host that receives it.
    sent: Ms,
    position: Position,
    domains: BTreeSet<DomainId>,
}

struct World {
    rng: ChaCha8Rng,
    now: Ms,
    revision: u64,
    /// The evacuated domains since each of these times.
    history: Vec<(Ms, BTreeSet<DomainId>)>,
    hosts: Vec<Evacuations>,
    in_flight: Vec<(usize, Answer)>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Ms(1),
            revision: 10,
            history: vec![(Ms::ZERO, BTreeSet::new())],
            hosts: vec![Evacuations::default(); HOSTS],
            in_flight: Vec::new(),
        }
    }

    fn current(&self) -> BTreeSet<DomainId> {
        self.history.last().map(|(_, domains)| domains.clone()).unwrap_or_default()
    }

    fn step(&mut self) {
        self.now += Ms(self.rng.random_range(1..50));
        let host = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..20) {
            0..=2 => self.operate(),
            // Targets and other clients write to the store all the time.
            3..=4 => self.revision += 1,
            5..=8 => self.list(host),
            9..=11 => self.ask(host),
            12 => self.hosts[host] = Evacuations::default(),
            // A response is lost.
            13 => drop(self.take_answer()),
            _ => self.deliver(),
        }
    }

    fn operate(&mut self) {
        self.revision += 1;
        let names = ["a", "b", "c"];
        let domain = DomainId::from(*names.choose(&mut self.rng).unwrap_or(&"a"));
        let mut domains = self.current();
        if !domains.remove(&domain) {
            domains.insert(domain);
        }
        self.history.push((self.now, domains));
    }

    /// The store is read now; the response may arrive at any later time.
    fn list(&mut self, host: usize) {
        let delay = Ms(self.rng.random_range(0..30));
        let sent = self.now - delay;
        let list = Answer { sent, position: self.revision.into(), domains: self.current() };
        self.in_flight.push((host, list));
    }

    fn ask(&mut self, host: usize) {
        let other = self.rng.random_range(0..HOSTS);
        let known = &self.hosts[other];
        let (Some(proved), Some(position)) = (known.proved(), known.known()) else { return };
        // Delays on the way make a proof older, never newer.
        let sent = proved - Ms(self.rng.random_range(0..20));
        let answer = Answer { sent, position, domains: known.domains().clone() };
        self.in_flight.push((host, answer));
    }

    fn take_answer(&mut self) -> Option<(usize, Answer)> {
        match self.in_flight.len() {
            0 => None,
            len => Some(self.in_flight.swap_remove(self.rng.random_range(0..len))),
        }
    }

    fn deliver(&mut self) {
        let Some((host, answer)) = self.take_answer() else { return };
        self.hosts[host].list(answer.sent, answer.position, answer.domains);
    }

    /// Checks that what each host holds was true at some time since its proof was sent.
    fn check(&self, seed: u64) {
        for known in &self.hosts {
            let Some(proved) = known.proved() else { continue };
            let mut since = self.history.iter().rposition(|(at, _)| *at <= proved).unwrap_or(0);
            while since > 0 && self.history[since].0 == proved {
                since -= 1;
            }
            let was_true = self.history[since..].iter().any(|(_, d)| d == known.domains());
            assert!(was_true, "seed {seed} at {:?}: {known:?}", self.now);
        }
    }
}

/// Guards against a host that doesn't know of an evacuation although its proof is newer, in
/// whatever order it receives lists from the store and from other hosts.
#[test]
fn what_a_host_holds_is_never_older_than_its_proof() {
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
            world.check(seed);
        }
    }
}
