//! A day of requests with stages, by design.

use base::{DomainId, Ms, PoolId};
use catalog::Batch;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::batch::{Batcher, CallEnd, CallId, Effect, Event, PieceEnd, PieceId, TargetInfo};
use sched::budget::Allowance;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::design::{Design, Fault, Load, RunStats};
use super::faults::{FAULT, NOTICE};
use super::path::{self, KEEP, Kind, RATE, TARGETS};
use super::targets::{Call, Target, name, number};

/// Length of a day, ms.
pub const RUN_LENGTH: Ms = Ms(25_000);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum What {
    Arrive(usize),
    Submit(u64, usize),
    Wake(usize),
    End(usize),
    Timeout(usize, CallId, usize),
    Begin,
    Notice,
    Over,
}

pub(super) struct Request {
    pub(super) kind: &'static Kind,
    pub(super) host: usize,
    pub(super) since: Ms,
    pub(super) pieces: Vec<u64>,
    /// Pieces by stage: those to be made, and those made.
    pub(super) left: Vec<u64>,
    pub(super) made: Vec<Vec<(PieceId, usize)>>,
    /// Pieces of the stage that have not read their inputs.
    pub(super) unread: Vec<u64>,
    pub(super) over: bool,
}

pub(super) struct Unit {
    pub(super) service: usize,
    pub(super) batcher: Batcher,
    pub(super) wake: Ms,
    /// Targets that it composes for while all are well.
    pub(super) places: Vec<usize>,
    /// Its host is gone.
    pub(super) dead: bool,
}

pub(super) struct World {
    pub(super) now: Ms,
    pub(super) heap: BinaryHeap<Reverse<(Ms, u64, What)>>,
    pub(super) order: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) design: Design,
    pub(super) load: Load,
    pub(super) services: [Batch; 3],
    pub(super) units: Vec<Unit>,
    pub(super) targets: Vec<Target>,
    pub(super) requests: HashMap<u64, Request>,
    /// Request and stage of a piece, and the composer that has it.
    pub(super) pieces: HashMap<PieceId, (u64, usize, usize)>,
    pub(super) made_by: HashMap<PieceId, usize>,
    pub(super) next: u64,
    pub(super) pending: HashSet<(usize, CallId)>,
    pub(super) lease: Vec<usize>,
    pub(super) faulty: bool,
    /// Composers that follow those that are gone.
    pub(super) followers: HashMap<usize, usize>,
    pub(super) served: RunStats,
}

/// Plays a day. The same arguments give the same day.
pub fn simulate(design: Design, load: Load, seed: u64) -> RunStats {
    let mut world = World::new(design, load, seed);
    world.schedule();
    while let Some(Reverse((at, _, what))) = world.heap.pop() {
        world.now = at;
        world.step(what);
    }
    world.served
}

impl World {
    pub(super) fn new(design: Design, load: Load, seed: u64) -> Self {
        let mut world = Self {
            now: Ms::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            design,
            load,
            services: path::services(),
            units: Vec::new(),
            targets: (0..3 * TARGETS).map(|t| Target::new(t / TARGETS)).collect(),
            requests: HashMap::new(),
            pieces: HashMap::new(),
            made_by: HashMap::new(),
            next: 0,
            pending: HashSet::new(),
            lease: vec![0; 3 * TARGETS],
            faulty: false,
            followers: HashMap::new(),
            served: RunStats::default(),
        };
        for service in 0..3 {
            world.add_units(service);
        }
        world
    }

    /// The composers of a service, in the order that [`Self::unit`] counts on.
    pub(super) fn add_units(&mut self, service: usize) {
        let first = service * TARGETS;
        let all: Vec<usize> = (first..first + TARGETS).collect();
        match self.design {
            Design::Single => {}
            Design::PerHost | Design::Window => {
                for _ in 0..self.load.hosts {
                    self.add_unit(service, &all);
                }
            }
            Design::Lease => {
                for _ in 0..self.load.hosts {
                    self.add_unit(service, &[]);
                }
            }
            Design::PerTarget => {
                for target in all {
                    self.add_unit(service, &[target]);
                }
            }
            // The second composes when the first is gone, or beside it.
            Design::Composer => {
                self.add_unit(service, &all);
                self.add_unit(service, &all);
            }
        }
    }

    pub(super) fn add_unit(&mut self, service: usize, targets: &[usize]) -> usize {
        let allowance = Allowance { ratio: 0.2, slack: 50.0, window: Ms(10_000) };
        let pool = PoolId::from(service.to_string());
        let batcher = Batcher::new(pool, self.services[service].clone(), allowance);
        let places = targets.to_vec();
        self.units.push(Unit { service, batcher, wake: Ms::MAX, places, dead: false });
        let unit = self.units.len() - 1;
        self.tell_targets(unit, targets);
        unit
    }

    pub(super) fn tell_targets(&mut self, unit: usize, targets: &[usize]) {
        let places = targets
            .iter()
            .map(|t| TargetInfo {
                id: name(*t),
                born: 1,
                domain: DomainId::from("only"),
                region: None,
                reserved: false,
            })
            .collect();
        self.feed(unit, Event::Targets(places));
    }

    pub(super) fn at(&mut self, at: Ms, what: What) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, what)));
    }

    pub(super) fn schedule(&mut self) {
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / (RATE * self.load.factor);
            if Ms(at as u64) >= RUN_LENGTH {
                break;
            }
            let host = self.rng.random_range(0..self.load.hosts);
            self.at(Ms(at as u64), What::Arrive(host));
        }
        if self.load.fault != Fault::None {
            self.at(FAULT.0, What::Begin);
            self.at(FAULT.0 + NOTICE.1, What::Notice);
            self.at(FAULT.1, What::Over);
        }
    }

    pub(super) fn step(&mut self, what: What) {
        match what {
            What::Arrive(host) => self.arrive(host),
            What::Submit(request, stage) => self.submit(request, stage),
            What::Wake(unit) if self.units[unit].dead => {}
            What::Wake(unit) => self.feed(unit, Event::Tick),
            What::End(target) => self.end(target),
            What::Timeout(unit, call, target) => self.timeout(unit, call, target),
            What::Begin => self.begin_fault(),
            What::Notice => self.notice(),
            What::Over => self.end_fault(),
        }
    }

    pub(super) fn feed(&mut self, unit: usize, event: Event) {
        let mut out = Vec::new();
        self.units[unit].batcher.reduce(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Call { call, target, pieces, ids, timeout } => {
                    let target = number(&target);
                    self.served.calls.0 += 1;
                    self.served.calls.1 += ids.len() as u64;
                    self.pending.insert((unit, call));
                    self.at(self.now + timeout, What::Timeout(unit, call, target));
                    if self.targets[target].take(Call { unit, id: call, pieces, ids }).is_some() {
                        self.answer(unit, call, CallEnd::Full);
                    }
                    self.turn(target);
                }
                Effect::End { piece, end, target } => {
                    self.ended(piece, &end, target.map(|t| number(&t)));
                }
                Effect::Free { target, handle } => {
                    if let Ok(piece) = handle.parse() {
                        self.targets[number(&target)].kept.remove(&PieceId(piece));
                    }
                }
            }
        }
        let wake = self.units[unit].batcher.wake(self.now).unwrap_or(Ms::MAX);
        let known = self.units[unit].wake;
        if wake != Ms::MAX && (wake < known || known <= self.now) {
            self.units[unit].wake = wake;
            self.at(wake, What::Wake(unit));
        }
    }

    pub(super) fn answer(&mut self, unit: usize, call: CallId, end: CallEnd) {
        if self.pending.remove(&(unit, call)) {
            self.feed(unit, Event::Ended(call, end));
        }
    }

    /// Gives targets that idle to the next hosts in turn that have pieces.
    pub(super) fn pass_leases(&mut self, service: usize) {
        if self.design != Design::Lease {
            return;
        }
        let (hosts, first) = (self.load.hosts, service * TARGETS);
        for target in first..first + TARGETS {
            let idle = self.targets[target].running.is_none() && !self.targets[target].lost;
            let own = |h: usize| {
                let unit = service * hosts + h;
                self.followers.get(&unit).copied().unwrap_or(unit)
            };
            let waits = |h: &usize| self.units[own(*h)].batcher.queued() > 0;
            let turns = (1..=hosts).map(|i| (self.lease[target] + i) % hosts);
            let Some(host) = turns.into_iter().find(waits).filter(|_| idle) else { continue };
            let unit = own(host);
            self.lease[target] = host;
            self.tell_targets(unit, &[target]);
            self.tell_targets(unit, &[]);
        }
    }

    pub(super) fn turn(&mut self, target: usize) {
        if self.targets[target].running.is_some() || self.targets[target].lost {
            return;
        }
        let Some(call) = self.targets[target].queue.pop_front() else { return };
        self.read(&call);
        let declared = &self.services[self.targets[target].service];
        let took = declared.call_ms + declared.item_ms * call.pieces.len() as f64;
        let took = Ms(took as u64 * self.targets[target].slow);
        self.targets[target].running = Some(call);
        self.at(self.now + took, What::End(target));
    }

    /// A call's pieces read their inputs in its turn.
    pub(super) fn read(&mut self, call: &Call) {
        for id in &call.ids {
            let Some((request, stage, _)) = self.pieces.get(id).copied() else { continue };
            let Some(known) = self.requests.get_mut(&request) else { continue };
            known.unread[stage] = known.unread[stage].saturating_sub(1);
            let before = known.kind.stages[stage].after;
            if let Some(before) = before.filter(|_| known.unread[stage] == 0) {
                self.free(request, before);
            }
        }
    }

    pub(super) fn end(&mut self, target: usize) {
        if self.targets[target].lost {
            return;
        }
        let Some(call) = self.targets[target].running.take() else { return };
        let room = self.services[self.targets[target].service].room;
        let mut ends = Vec::new();
        for (id, piece) in call.ids.iter().zip(&call.pieces) {
            let fits = self.targets[target].room(self.now, room) >= piece.bytes;
            if fits {
                self.targets[target].kept.insert(*id, (self.now + KEEP, piece.bytes));
            }
            ends.push(if fits { PieceEnd::Made(id.0.to_string()) } else { PieceEnd::Room });
        }
        self.answer(call.unit, call.id, CallEnd::Done(ends));
        self.turn(target);
        self.pass_leases(self.targets[target].service);
    }

    pub(super) fn timeout(&mut self, unit: usize, call: CallId, target: usize) {
        if self.pending.contains(&(unit, call)) {
            self.targets[target].queue.retain(|c| (c.unit, c.id) != (unit, call));
            self.answer(unit, call, CallEnd::Silent);
        }
    }
}
