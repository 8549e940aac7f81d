//! A day of requests with stages, by design.

use base::{Ms, PoolId};
use catalog::Batch;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::batch::{
    Batcher, CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Place, Source,
};
use sched::budget::Allowance;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::path::{self, ENGINE, KEEP, KINDS, Kind, PATIENCE, RATE, TARGETS};
use super::targets::{Call, Target, name, number};

/// Length of a day, ms.
pub const DAY: Ms = Ms(25_000);
/// When a fault begins and ends.
const FAULT: (Ms, Ms) = (Ms(6_000), Ms(14_000));
/// Time of a [`Design::Window`] in which pieces are gathered: a third of a call.
const WINDOW: Ms = Ms(100);
/// Time until the hosts notice that a composer is gone, or a target.
const NOTICE: (Ms, Ms) = (Ms(400), Ms(3_000));
/// A slow target takes this many times as long.
const SLOW: u64 = 5;

/// Who fills the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Each stage of each request is a call of its own.
    Single,
    /// Each host fills calls with its own pieces.
    Alone,
    /// The same, and each host gathers pieces for a while first.
    Window,
    /// A target's calls come from one host at a time; the lease moves on after each.
    Lease,
    /// Each target has a host of its own, that gets a stage from two targets' by its queue.
    Own,
    /// One host for all calls of a service.
    Composer,
}

/// What fails between six and fourteen seconds of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One target of each service is five times slower.
    Slow,
    /// One target of each service is gone without a word.
    Lost,
    /// The hosts that compose are gone; others follow. Other designs lose the hosts' pieces alike.
    Host,
    /// Hosts see different others: two compose for all targets, each for half of the hosts.
    Split,
}

/// What comes, and what fails.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Entry hosts.
    pub hosts: usize,
    /// Requests, as a multiple of the co-operative's ordinary load.
    pub factor: f64,
    /// What fails.
    pub fault: Fault,
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// Requests and those in time, by kind.
    pub kinds: [(u64, u64); 3],
    /// Worth of all requests, and of those in time.
    pub worth: (f64, f64),
    /// Calls, and pieces in them.
    pub calls: (u64, u64),
}

impl Served {
    /// Share of requests that were in time.
    pub fn in_time(&self) -> f64 {
        let sum = self.kinds.iter().fold((0, 0), |a, k| (a.0 + k.0, a.1 + k.1));
        sum.1 as f64 / sum.0.max(1) as f64
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize),
    Submit(u64, usize),
    Wake(usize),
    End(usize),
    Timeout(usize, CallId, usize),
    Begin,
    Notice,
    Over,
}

struct Request {
    kind: &'static Kind,
    host: usize,
    since: Ms,
    pieces: Vec<u64>,
    /// Pieces by stage: those to be made, and those made.
    left: Vec<u64>,
    made: Vec<Vec<(PieceId, usize)>>,
    /// Pieces of the stage that have not read their inputs.
    unread: Vec<u64>,
    over: bool,
}

struct Unit {
    service: usize,
    batcher: Batcher,
    wake: Ms,
    /// Targets that it composes for while all are well.
    places: Vec<usize>,
    /// Its host is gone.
    dead: bool,
}

struct World {
    now: Ms,
    heap: BinaryHeap<Reverse<(Ms, u64, What)>>,
    order: u64,
    rng: ChaCha8Rng,
    design: Design,
    load: Load,
    services: [Batch; 3],
    units: Vec<Unit>,
    targets: Vec<Target>,
    requests: HashMap<u64, Request>,
    /// Request and stage of a piece, and the composer that has it.
    pieces: HashMap<PieceId, (u64, usize, usize)>,
    made_by: HashMap<PieceId, usize>,
    next: u64,
    pending: HashSet<(usize, CallId)>,
    lease: Vec<usize>,
    faulty: bool,
    /// Composers that follow those that are gone.
    followers: HashMap<usize, usize>,
    served: Served,
}

/// Plays a day. The same arguments give the same day.
pub fn play(design: Design, load: Load, seed: u64) -> Served {
    let mut world = World::new(design, load, seed);
    world.schedule();
    while let Some(Reverse((at, _, what))) = world.heap.pop() {
        world.now = at;
        world.step(what);
    }
    world.served
}

impl World {
    fn new(design: Design, load: Load, seed: u64) -> Self {
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
            served: Served::default(),
        };
        for service in 0..3 {
            world.add_units(service);
        }
        world
    }

    /// The composers of a service, in the order that [`Self::unit`] counts on.
    fn add_units(&mut self, service: usize) {
        let first = service * TARGETS;
        let all: Vec<usize> = (first..first + TARGETS).collect();
        match self.design {
            Design::Single => {}
            Design::Alone | Design::Window => {
                for _ in 0..self.load.hosts {
                    self.add_unit(service, &all);
                }
            }
            Design::Lease => {
                for _ in 0..self.load.hosts {
                    self.add_unit(service, &[]);
                }
            }
            Design::Own => {
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

    fn add_unit(&mut self, service: usize, targets: &[usize]) -> usize {
        let allowance = Allowance { ratio: 0.2, slack: 50.0, window: Ms(10_000) };
        let pool = PoolId::from(service.to_string());
        let batcher = Batcher::new(pool, self.services[service].clone(), allowance);
        let places = targets.to_vec();
        self.units.push(Unit { service, batcher, wake: Ms::MAX, places, dead: false });
        let unit = self.units.len() - 1;
        self.tell_targets(unit, targets);
        unit
    }

    fn tell_targets(&mut self, unit: usize, targets: &[usize]) {
        let places = targets.iter().map(|t| Place { id: name(*t), born: 1 }).collect();
        self.feed(unit, Event::Targets(places));
    }

    fn at(&mut self, at: Ms, what: What) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, what)));
    }

    fn schedule(&mut self) {
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / (RATE * self.load.factor);
            if Ms(at as u64) >= DAY {
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

    fn step(&mut self, what: What) {
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

    // ---- requests ----

    fn arrive(&mut self, host: usize) {
        let kind = path::kind(&mut self.rng);
        let pieces = kind.pieces(&mut self.rng);
        let count = pieces.len();
        self.next += 1;
        let id = self.next;
        let request = Request {
            kind,
            host,
            since: self.now,
            left: pieces.clone(),
            unread: pieces.clone(),
            made: vec![Vec::new(); count],
            pieces,
            over: false,
        };
        let of = KINDS.iter().position(|k| k.name == kind.name).unwrap_or(0);
        self.served.kinds[of].0 += 1;
        self.served.worth.0 += kind.worth;
        self.requests.insert(id, request);
        for stage in 0..count {
            if kind.stages[stage].after.is_none() {
                self.start(id, stage);
            }
        }
        self.finish_if_done(id);
    }

    fn start(&mut self, id: u64, stage: usize) {
        let window = if self.design == Design::Window { WINDOW } else { Ms::ZERO };
        if self.requests[&id].pieces[stage] > 0 {
            self.at(self.now + window, What::Submit(id, stage));
        }
    }

    fn submit(&mut self, id: u64, stage: usize) {
        let request = &self.requests[&id];
        let declared = &request.kind.stages[stage];
        let after = request.kind.after(stage, &self.services);
        let source = match declared.after {
            None => Source::Key("k".into()),
            Some(_) => Source::Inputs(Vec::new().into()),
        };
        let piece = Piece {
            request: id.to_string().into(),
            stage: stage as u32,
            index: 0,
            source,
            due: request.since + request.kind.aim - after,
            expires: request.since + PATIENCE - after,
            rank: request.kind.rank,
            bytes: declared.bytes,
        };
        let (service, host, count) = (declared.service, request.host, request.left[stage]);
        let unit = self.unit(service, host);
        let mut pieces = Vec::new();
        for index in 0..count {
            self.next += 1;
            let own = PieceId(self.next);
            self.pieces.insert(own, (id, stage, unit));
            pieces.push((own, Piece { index: index as u32, ..piece.clone() }));
        }
        self.feed(unit, Event::Submit(pieces));
        self.pass_leases(service);
    }

    /// The composer that gets a host's pieces.
    fn unit(&mut self, service: usize, host: usize) -> usize {
        let unit = self.first_unit(service, host);
        self.followers.get(&unit).copied().unwrap_or(unit)
    }

    fn first_unit(&mut self, service: usize, host: usize) -> usize {
        let first = service * TARGETS;
        match self.design {
            Design::Single => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                self.add_unit(service, &[one, two])
            }
            Design::Alone | Design::Window | Design::Lease => service * self.load.hosts + host,
            Design::Own => {
                let one = first + self.rng.random_range(0..TARGETS);
                let two = first + self.rng.random_range(0..TARGETS);
                let queued = |unit: &usize| self.units[*unit].batcher.queued();
                [one, two].into_iter().min_by_key(queued).unwrap_or(one)
            }
            Design::Composer => {
                let split = self.faulty && self.load.fault == Fault::Split;
                service * 2 + usize::from(split && host % 2 == 1)
            }
        }
    }

    fn ended(&mut self, piece: PieceId, end: &PieceEnd, target: Option<usize>) {
        let Some((id, stage, unit)) = self.pieces.remove(&piece) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(target) = target.filter(|_| matches!(end, PieceEnd::Made(_))) else {
            request.over = true;
            return;
        };
        request.left[stage] -= 1;
        request.made[stage].push((piece, target));
        self.made_by.insert(piece, unit);
        if request.left[stage] > 0 {
            return;
        }
        let kind = request.kind;
        for (next, declared) in kind.stages.iter().enumerate() {
            if declared.after == Some(stage) {
                self.start(id, next);
            }
        }
        self.finish_if_done(id);
    }

    fn finish_if_done(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.over || request.left.iter().any(|left| *left > 0) {
            return;
        }
        let of = KINDS.iter().position(|k| k.name == request.kind.name).unwrap_or(0);
        if self.now + ENGINE <= request.since + request.kind.aim {
            self.served.kinds[of].1 += 1;
            self.served.worth.1 += request.kind.worth;
        }
        // The engine reads what no other stage reads.
        let kind = request.kind;
        for stage in 0..kind.stages.len() {
            if !kind.stages.iter().any(|s| s.after == Some(stage)) {
                self.free(id, stage);
            }
        }
    }

    /// Results of a stage are read by all that read them.
    fn free(&mut self, id: u64, stage: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        for (piece, target) in std::mem::take(&mut request.made[stage]) {
            self.targets[target].kept.remove(&piece);
            if let Some(unit) = self.made_by.remove(&piece) {
                self.feed(unit, Event::Freed(name(target), piece.0.to_string()));
            }
        }
    }

    // ---- composers ----

    fn feed(&mut self, unit: usize, event: Event) {
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

    fn answer(&mut self, unit: usize, call: CallId, end: CallEnd) {
        if self.pending.remove(&(unit, call)) {
            self.feed(unit, Event::Ended(call, end));
        }
    }

    /// Gives targets that idle to the next hosts in turn that have pieces.
    fn pass_leases(&mut self, service: usize) {
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

    // ---- targets ----

    fn turn(&mut self, target: usize) {
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
    fn read(&mut self, call: &Call) {
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

    fn end(&mut self, target: usize) {
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

    fn timeout(&mut self, unit: usize, call: CallId, target: usize) {
        if self.pending.contains(&(unit, call)) {
            self.targets[target].queue.retain(|c| (c.unit, c.id) != (unit, call));
            self.answer(unit, call, CallEnd::Silent);
        }
    }

    // ---- faults ----

    fn begin_fault(&mut self) {
        self.faulty = true;
        let first = |service: usize| service * TARGETS;
        match self.load.fault {
            Fault::None | Fault::Split => {}
            Fault::Slow => (0..3).for_each(|s| self.targets[first(s)].slow = SLOW),
            Fault::Lost => (0..3).for_each(|s| self.targets[first(s)].lost = true),
            Fault::Host => self.lose_host(),
        }
    }

    /// What the lost host's composers had is handed in again, where the others compose.
    fn lose_host(&mut self) {
        let gone: Vec<usize> = match self.design {
            Design::Single => return,
            Design::Alone | Design::Window | Design::Lease => {
                (0..3).map(|s| s * self.load.hosts).collect()
            }
            Design::Own => (0..3).map(|s| s * TARGETS).collect(),
            Design::Composer => (0..3).map(|s| s * 2).collect(),
        };
        let of = |unit: &usize| gone.contains(unit);
        self.pending.retain(|(unit, _)| !gone.contains(unit));
        let left: HashSet<(u64, usize)> =
            self.pieces.values().filter(|(.., u)| of(u)).map(|(r, s, _)| (*r, *s)).collect();
        self.pieces.retain(|_, (_, _, unit)| !gone.contains(unit));
        let mut left: Vec<_> = left.into_iter().collect();
        left.sort();
        for (request, stage) in left {
            self.at(self.now + NOTICE.0, What::Submit(request, stage));
        }
        for unit in gone {
            self.units[unit].dead = true;
            let (service, places) = (self.units[unit].service, self.units[unit].places.clone());
            let follower = match self.design {
                Design::Composer => unit + 1,
                _ => self.add_unit(service, &places),
            };
            self.followers.insert(unit, follower);
        }
    }

    /// The hosts hear which targets are left.
    fn notice(&mut self) {
        if self.load.fault != Fault::Lost || matches!(self.design, Design::Lease | Design::Single) {
            return;
        }
        for unit in 0..self.units.len() {
            let mut left = self.units[unit].places.clone();
            left.retain(|t| !self.targets[*t].lost);
            self.tell_targets(unit, &left);
        }
    }

    fn end_fault(&mut self) {
        self.faulty = false;
        let lost = self.targets.iter().any(|t| t.lost);
        for target in &mut self.targets {
            let service = target.service;
            if target.lost || target.slow > 1 {
                *target = Target::new(service);
            }
        }
        if lost && !matches!(self.design, Design::Lease | Design::Single) {
            for unit in 0..self.units.len() {
                let all = self.units[unit].places.clone();
                self.tell_targets(unit, &all);
            }
        }
    }
}
