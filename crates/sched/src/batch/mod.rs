//! *Batch*: which pieces of stages go to which target, in which call.
//!
//! Answers: stage targets with one place each and a fixed time a call that dwarfs the time a
//! piece. Without it every request makes a call of its own, and targets are full at a third of
//! the load that they could carry with full calls. One host composes all calls of a service in a
//! region, so that calls fill however many hosts the pieces come from.
//!
//! A target that is free gets a call at once, with what is there: calls fill by themselves when
//! targets are busy, and nobody waits for a fuller call while a target idles. What goes first:
//!
//! 1. pieces at their last chance to meet the caller's deadline, at most [`LAST_SHARE`] percent of a call,
//!    so that a long overload can't turn all service into late service;
//! 2. pieces whose stage can still end in time for the aim, by rank and then by due time;
//! 3. pieces that will be late anyway, in the room that is left.
//!
//! Late pieces that won't get a call while they are of use are ended at once: see `late`.
//!
//! Without 2 before 3, order by due time alone serves each request just too late under overload.
//!
//! Pieces may be made again, so nothing rests on two hosts agreeing who composes: they lose
//! fullness, and at times inputs that are made again.

mod ends;
mod fill;
mod late;
mod order;
mod room;
mod target;
mod types;

pub use order::LAST_SHARE;
pub use target::{OVERDUE, OVERDUE_SLACK};
pub use types::{CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Source, TargetInfo};

use base::{DomainId, Ms, PoolId, TargetId};
use catalog::Batch;
use std::collections::{BTreeMap, HashMap, HashSet};

use crate::budget::{Allowance, RetryBudget};
use late::{Late, LateQueue};
use target::Target;

/// Sends of one piece at most: the first, and two more when targets crash under it.
const SENDS: u32 = 3;

/// Bytes of results read from which a piece waits for its own failure domain.
const MUCH_READ: u64 = 100_000;
/// Weight of a new call in what is learned of calls: a few of them, about a second.
const CALL_WEIGHT: f64 = 0.2;

struct Waiting {
    piece: Piece,
    since: Ms,
    sends: u32,
    /// Whether it waits for a call, or only for the end of one.
    queued: bool,
}

/// Composes the calls of one service.
pub struct Batcher {
    service: PoolId,
    config: Batch,
    budget: RetryBudget,
    targets: BTreeMap<TargetId, Target>,
    pieces: HashMap<PieceId, Waiting>,
    calls: HashMap<CallId, (TargetId, Vec<PieceId>)>,
    next: u64,
    /// Pieces in a call while more wait, learned: room and whole requests leave places empty.
    fill: f64,
    /// Bytes of a call's results, learned; none before the first call.
    bytes: Option<f64>,
    late: LateQueue,
}

impl Batcher {
    /// No targets yet.
    pub fn new(service: PoolId, config: Batch, allowance: Allowance) -> Self {
        Self {
            fill: config.size as f64,
            service,
            config,
            budget: RetryBudget::new(allowance),
            targets: BTreeMap::new(),
            pieces: HashMap::new(),
            calls: HashMap::new(),
            next: 0,
            bytes: None,
            late: LateQueue::default(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Submit(pieces) => self.submit(now, pieces, out),
            Event::Withdraw(ids) => ids.iter().for_each(|id| drop(self.pieces.remove(id))),
            Event::Ended(call, end) => self.ended(now, call, end, out),
            Event::Targets(infos) => self.update_targets(&infos, out),
            Event::Config(config) => self.config = config,
            Event::Freed(target, handle) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.room.freed(&handle);
                }
            }
            Event::Read(target, handle) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.room.read(&handle);
                }
            }
            Event::Hosts(live) => self.budget.hosts(live),
            Event::Tick => {}
        }
        self.overdue(now);
        self.expire(now, out);
        self.fill(now, out);
        self.give_up_late(now, out);
        self.reclaim(now, out);
    }

    /// When a tick is needed; none while nothing waits.
    pub fn wake(&self, now: Ms) -> Option<Ms> {
        let calls = self.targets.values().flat_map(|t| t.wakes(now));
        let queued = self.pieces.values().filter(|w| w.queued);
        calls.chain(queued.map(|w| w.piece.expires)).filter(|at| *at > now).min()
    }

    /// Time until a piece that is handed in now would get into a call, ms; none without a target.
    pub fn wait(&self, now: Ms) -> Option<Ms> {
        self.wait_behind(now, self.queued())
    }

    fn wait_behind(&self, now: Ms, ahead: usize) -> Option<Ms> {
        // Targets that only some pieces may use say nothing of how long others wait.
        let common = self.targets.values().filter(|t| t.usable(now) && !t.reserved);
        let mut free: Vec<Ms> = common.map(|t| t.free_at(now)).collect();
        let full = self.config.time(self.fill as usize);
        for _ in 0..(ahead as f64 / self.fill.max(1.0)) as usize {
            let first = free.iter_mut().min()?;
            *first += full;
        }
        free.iter().min().map(|at| *at - now)
    }

    /// Time until a piece that is handed in now would get into a call, ms.
    fn wait_of(&self, now: Ms, piece: &Piece) -> Option<Ms> {
        let late = self.is_late(now, piece);
        // Late pieces, of which a long overload gathers many, don't go before one that is on time.
        let before = |w: &&Waiting| {
            w.queued && w.piece.rank <= piece.rank && (late || !self.is_late(now, &w.piece))
        };
        self.wait_behind(now, self.pieces.values().filter(before).count())
    }

    /// Whether a piece will be late even in a call that begins now.
    fn is_late(&self, now: Ms, piece: &Piece) -> bool {
        piece.due < now + self.config.time(1)
    }

    /// Ends late pieces that won't get into a call while they are of use.
    fn give_up_late(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let mut waiting: BTreeMap<_, Late<Vec<PieceId>>> = BTreeMap::new();
        let waits = |w: &Waiting| w.queued && w.sends == 0 && self.is_late(now, &w.piece);
        for (id, w) in self.pieces.iter().filter(|(_, w)| waits(w)) {
            let piece = &w.piece;
            let place = (piece.rank, w.since, piece.request.clone(), piece.stage);
            let late = waiting.entry(place).or_insert(Late {
                key: Vec::new(),
                pieces: 0,
                expires: piece.expires,
            });
            late.pieces += 1;
            late.key.push(*id);
        }
        let hopeless = self.late.hopeless(now, self.config.full(), waiting.into_values());
        hopeless.into_iter().flatten().for_each(|id| self.finish(id, PieceEnd::Late, out));
    }

    /// Gives up results that were read where the next call would not find room beside them.
    fn reclaim(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let waiting = self.pieces.values().filter(|w| w.queued).take(self.config.size);
        let waiting: u64 = waiting.map(|w| w.piece.bytes).sum();
        let next = waiting.max(self.bytes.unwrap_or_default() as u64);
        for (id, target) in &mut self.targets {
            let freed = target.reclaim(now, self.config.room, next);
            let free = |handle| Effect::Free { target: id.clone(), handle };
            out.extend(freed.into_iter().map(free));
        }
    }

    /// Bytes of results at a target, those of calls under way included.
    pub fn kept(&self, now: Ms, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |t| t.kept(now))
    }

    /// Pieces that wait for a call.
    pub fn queued(&self) -> usize {
        self.pieces.values().filter(|w| w.queued).count()
    }

    fn submit(&mut self, now: Ms, pieces: Vec<(PieceId, Piece)>, out: &mut Vec<Effect>) {
        let requests: HashSet<&str> = pieces.iter().map(|(_, p)| &*p.request).collect();
        for _ in requests {
            self.budget.request(now, &self.service);
        }
        for (id, piece) in pieces {
            if self.outside(&piece) {
                out.push(Effect::End { piece: id, end: PieceEnd::Outside, target: None });
                continue;
            }
            // Known to be hopeless: it isn't kept waiting.
            if self.wait_of(now, &piece).is_some_and(|wait| now + wait > piece.expires) {
                out.push(Effect::End { piece: id, end: PieceEnd::Late, target: None });
                continue;
            }
            self.pieces.insert(id, Waiting { piece, since: now, sends: 0, queued: true });
        }
    }

    fn update_targets(&mut self, infos: &[TargetInfo], out: &mut Vec<Effect>) {
        for (id, target) in &mut self.targets {
            target.live = infos.iter().any(|p| p.id == *id && p.born == target.born);
        }
        // A target that is leaving stays until its calls have ended.
        self.targets.retain(|_, t| t.live || t.busy());
        for info in infos {
            match self.targets.get(&info.id) {
                Some(known) if known.born == info.born => {}
                _ => drop(self.targets.insert(info.id.clone(), Target::new(info))),
            }
        }
        // The last target that they were allowed at is gone: they aren't kept waiting.
        let outside =
            |(id, w): (&PieceId, &Waiting)| (w.queued && self.outside(&w.piece)).then_some(*id);
        let outside: Vec<PieceId> = self.pieces.iter().filter_map(outside).collect();
        outside.into_iter().for_each(|id| self.finish(id, PieceEnd::Outside, out));
    }

    /// Whether a piece that reads much waits for the next call of its own failure domain, in which
    /// it is still in time: the time that it has left would buy nothing, the bytes are paid for.
    fn waits_for(&self, now: Ms, home: &DomainId, piece: &Piece) -> bool {
        if piece.reads < MUCH_READ {
            return false;
        }
        let near = self.targets.values().filter(|t| t.domain == *home && t.usable(now));
        let near = near.filter(|t| t.allows(piece));
        let end = near.map(|t| t.free_at(now) + t.scaled(self.config.full())).min();
        end.is_some_and(|end| end <= piece.due)
    }

    /// Whether no target is in a region that a piece's request may be in, though there are targets.
    fn outside(&self, piece: &Piece) -> bool {
        let mut live = self.targets.values().filter(|t| t.live).peekable();
        live.peek().is_some() && live.all(|t| !t.allows(piece))
    }

    /// Pieces of calls that take far too long are queued again, once: their target may be slow,
    /// or gone without a word.
    fn overdue(&mut self, now: Ms) {
        for target in self.targets.values_mut() {
            for call in target.overdue(now) {
                let Some((_, pieces)) = self.calls.get(&call) else { continue };
                for piece in pieces {
                    let Some(waiting) = self.pieces.get_mut(piece) else { continue };
                    if waiting.sends == 1 && self.budget.take(now, &self.service) {
                        waiting.queued = true;
                    }
                }
            }
        }
    }

    fn expire(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let expired = |w: &Waiting| w.queued && w.piece.expires <= now;
        let ids: Vec<PieceId> =
            self.pieces.iter().filter(|(_, w)| expired(w)).map(|(id, _)| *id).collect();
        for id in ids {
            self.finish(id, PieceEnd::Late, out);
        }
    }
}
