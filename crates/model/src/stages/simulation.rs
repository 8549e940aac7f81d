//! The simulation of requests with batched stages: its event loop, composers and targets.

use base::{DomainId, Ms, PoolId};
use catalog::Batch;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::batch::{Batcher, CallEnd, CallId, Effect, Event, PieceEnd, PieceId, TargetInfo};
use sched::budget::Allowance;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::design::{Design, Fault, Load, RunStats};
use super::faults::{DETECTION, FAULT_PERIOD};
use super::path::{self, BASE_RATE, Kind, RESULT_TTL, TARGETS};
use super::targets::{Call, Target, name, number};

/// Length of a run.
pub const RUN_LENGTH: Ms = Ms(25_000);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    Arrive(usize),
    Submit(u64, usize),
    Wake(usize),
    End(usize),
    Timeout(usize, CallId, usize),
    FaultBegin,
    Notice,
    FaultEnd,
}

pub(super) struct Request {
    pub(super) kind: &'static Kind,
    pub(super) host: usize,
    pub(super) since: Ms,
    pub(super) pieces: Vec<u64>,
    /// Number of pieces still to be made, by stage.
    pub(super) remaining: Vec<u64>,
    /// Pieces made so far and the targets that hold them, by stage.
    pub(super) made: Vec<Vec<(PieceId, usize)>>,
    /// Pieces that have not read their inputs yet, by stage.
    pub(super) unread: Vec<u64>,
    pub(super) failed: bool,
}

pub(super) struct Composer {
    pub(super) service: usize,
    pub(super) batcher: Batcher,
    pub(super) wake: Ms,
    /// Targets that it composes calls for while none is lost.
    pub(super) assigned: Vec<usize>,
    /// Whether its host has failed.
    pub(super) dead: bool,
}

pub(super) struct World {
    pub(super) now: Ms,
    pub(super) heap: BinaryHeap<Reverse<(Ms, u64, SimEvent)>>,
    pub(super) sequence: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) design: Design,
    pub(super) load: Load,
    pub(super) services: [Batch; 3],
    pub(super) composers: Vec<Composer>,
    pub(super) targets: Vec<Target>,
    pub(super) requests: HashMap<u64, Request>,
    /// Request, stage and composer of each piece.
    pub(super) pieces: HashMap<PieceId, (u64, usize, usize)>,
    pub(super) made_by: HashMap<PieceId, usize>,
    pub(super) next_id: u64,
    pub(super) pending: HashSet<(usize, CallId)>,
    pub(super) lease: Vec<usize>,
    pub(super) fault_active: bool,
    /// Successors of composers whose host has failed.
    pub(super) successors: HashMap<usize, usize>,
    pub(super) served: RunStats,
}

/// Simulates a run. The same arguments give the same results.
pub fn simulate(design: Design, load: Load, seed: u64) -> RunStats {
    let mut world = World::new(design, load, seed);
    world.schedule_arrivals();
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
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            design,
            load,
            services: path::services(),
            composers: Vec::new(),
            targets: (0..3 * TARGETS).map(|t| Target::new(t / TARGETS)).collect(),
            requests: HashMap::new(),
            pieces: HashMap::new(),
            made_by: HashMap::new(),
            next_id: 0,
            pending: HashSet::new(),
            lease: vec![0; 3 * TARGETS],
            fault_active: false,
            successors: HashMap::new(),
            served: RunStats::default(),
        };
        for service in 0..3 {
            world.add_composers(service);
        }
        world
    }

    /// Adds the composers of a service, in the order that [`Self::assigned_composer`] relies on.
    pub(super) fn add_composers(&mut self, service: usize) {
        let first = service * TARGETS;
        let all: Vec<usize> = (first..first + TARGETS).collect();
        match self.design {
            Design::Single => {}
            Design::PerHost | Design::Window => {
                for _ in 0..self.load.hosts {
                    self.add_composer(service, &all);
                }
            }
            Design::Lease => {
                for _ in 0..self.load.hosts {
                    self.add_composer(service, &[]);
                }
            }
            Design::PerTarget => {
                for target in all {
                    self.add_composer(service, &[target]);
                }
            }
            // The second one succeeds the first if that fails, or composes beside it during a
            // split.
            Design::Composer => {
                self.add_composer(service, &all);
                self.add_composer(service, &all);
            }
        }
    }

    pub(super) fn add_composer(&mut self, service: usize, targets: &[usize]) -> usize {
        let allowance = Allowance { ratio: 0.2, slack: 50.0, window: Ms(10_000) };
        let pool = PoolId::from(service.to_string());
        let batcher = Batcher::new(pool, self.services[service].clone(), allowance);
        let assigned = targets.to_vec();
        self.composers.push(Composer { service, batcher, wake: Ms::MAX, assigned, dead: false });
        let composer = self.composers.len() - 1;
        self.set_targets(composer, targets);
        composer
    }

    pub(super) fn set_targets(&mut self, composer: usize, targets: &[usize]) {
        let assigned = targets
            .iter()
            .map(|t| TargetInfo {
                id: name(*t),
                born: 1,
                domain: DomainId::from("only"),
                region: None,
                reserved: false,
            })
            .collect();
        self.feed(composer, Event::Targets(assigned));
    }

    pub(super) fn schedule(&mut self, at: Ms, what: SimEvent) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, what)));
    }

    pub(super) fn schedule_arrivals(&mut self) {
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / (BASE_RATE * self.load.factor);
            if Ms(at as u64) >= RUN_LENGTH {
                break;
            }
            let host = self.rng.random_range(0..self.load.hosts);
            self.schedule(Ms(at as u64), SimEvent::Arrive(host));
        }
        if self.load.fault != Fault::None {
            self.schedule(FAULT_PERIOD.0, SimEvent::FaultBegin);
            self.schedule(FAULT_PERIOD.0 + DETECTION.1, SimEvent::Notice);
            self.schedule(FAULT_PERIOD.1, SimEvent::FaultEnd);
        }
    }

    pub(super) fn step(&mut self, what: SimEvent) {
        match what {
            SimEvent::Arrive(host) => self.arrive(host),
            SimEvent::Submit(request, stage) => self.submit(request, stage),
            SimEvent::Wake(composer) if self.composers[composer].dead => {}
            SimEvent::Wake(composer) => self.feed(composer, Event::Tick),
            SimEvent::End(target) => self.finish_call(target),
            SimEvent::Timeout(composer, call, target) => self.timeout(composer, call, target),
            SimEvent::FaultBegin => self.begin_fault(),
            SimEvent::Notice => self.notice(),
            SimEvent::FaultEnd => self.end_fault(),
        }
    }

    pub(super) fn feed(&mut self, composer: usize, event: Event) {
        let mut out = Vec::new();
        self.composers[composer].batcher.reduce(self.now, event, &mut out);
        for effect in out {
            match effect {
                Effect::Call { call, target, pieces, ids, timeout } => {
                    let target = number(&target);
                    self.served.calls.0 += 1;
                    self.served.calls.1 += ids.len() as u64;
                    self.pending.insert((composer, call));
                    self.schedule(self.now + timeout, SimEvent::Timeout(composer, call, target));
                    if self.targets[target]
                        .enqueue(Call { composer, id: call, pieces, ids })
                        .is_some()
                    {
                        self.answer(composer, call, CallEnd::Full);
                    }
                    self.start_next(target);
                }
                Effect::End { piece, end, target } => {
                    self.piece_ended(piece, &end, target.map(|t| number(&t)));
                }
                // Its targets give no reports.
                Effect::Report(_) => {}
                Effect::Free { target, handle } => {
                    if let Ok(piece) = handle.parse() {
                        self.targets[number(&target)].results.remove(&PieceId(piece));
                    }
                }
            }
        }
        let wake = self.composers[composer].batcher.wake(self.now).unwrap_or(Ms::MAX);
        let known = self.composers[composer].wake;
        if wake != Ms::MAX && (wake < known || known <= self.now) {
            self.composers[composer].wake = wake;
            self.schedule(wake, SimEvent::Wake(composer));
        }
    }

    pub(super) fn answer(&mut self, composer: usize, call: CallId, end: CallEnd) {
        if self.pending.remove(&(composer, call)) {
            self.feed(composer, Event::Ended(call, end));
        }
    }

    /// Passes the leases of idle targets on to the next hosts, round robin, that have queued
    /// pieces.
    pub(super) fn pass_leases(&mut self, service: usize) {
        if self.design != Design::Lease {
            return;
        }
        let (hosts, first) = (self.load.hosts, service * TARGETS);
        for target in first..first + TARGETS {
            let idle = self.targets[target].running.is_none() && !self.targets[target].lost;
            let own = |h: usize| {
                let composer = service * hosts + h;
                self.successors.get(&composer).copied().unwrap_or(composer)
            };
            let waits = |h: &usize| self.composers[own(*h)].batcher.queued() > 0;
            let turns = (1..=hosts).map(|i| (self.lease[target] + i) % hosts);
            let Some(host) = turns.into_iter().find(waits).filter(|_| idle) else { continue };
            let composer = own(host);
            self.lease[target] = host;
            self.set_targets(composer, &[target]);
            self.set_targets(composer, &[]);
        }
    }

    pub(super) fn start_next(&mut self, target: usize) {
        if self.targets[target].running.is_some() || self.targets[target].lost {
            return;
        }
        let Some(call) = self.targets[target].queue.pop_front() else { return };
        self.read_inputs(&call);
        let declared = &self.services[self.targets[target].service];
        let took = declared.call_ms + declared.item_ms * call.pieces.len() as f64;
        let took = Ms(took as u64 * self.targets[target].slow);
        self.targets[target].running = Some(call);
        self.schedule(self.now + took, SimEvent::End(target));
    }

    /// Marks the inputs of a call's pieces as read when the call starts, and frees the results of a
    /// stage once all pieces have read them.
    pub(super) fn read_inputs(&mut self, call: &Call) {
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

    pub(super) fn finish_call(&mut self, target: usize) {
        if self.targets[target].lost {
            return;
        }
        let Some(call) = self.targets[target].running.take() else { return };
        let room = self.services[self.targets[target].service].room;
        let mut ends = Vec::new();
        for (id, piece) in call.ids.iter().zip(&call.pieces) {
            let fits = self.targets[target].free_bytes(self.now, room) >= piece.bytes;
            if fits {
                self.targets[target].results.insert(*id, (self.now + RESULT_TTL, piece.bytes));
            }
            ends.push(if fits { PieceEnd::Made(id.0.to_string()) } else { PieceEnd::Room });
        }
        self.answer(call.composer, call.id, CallEnd::Done(ends));
        self.start_next(target);
        self.pass_leases(self.targets[target].service);
    }

    pub(super) fn timeout(&mut self, composer: usize, call: CallId, target: usize) {
        if self.pending.contains(&(composer, call)) {
            self.targets[target].queue.retain(|c| (c.composer, c.id) != (composer, call));
            self.answer(composer, call, CallEnd::Silent);
        }
    }
}
