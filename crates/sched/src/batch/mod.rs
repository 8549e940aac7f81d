//! Decides which pieces of stages go to which target, and in which call.
//!
//! A stage target has one slot, and the fixed time of a call is far longer than the time for each
//! piece. If every request made a call of its own, targets would be saturated at a third of the
//! load that they can carry with full calls. So one host composes all calls of a service in a
//! region, and calls fill up no matter how many hosts the pieces come from.
//!
//! A free target gets a call at once, with the pieces that are waiting. Calls fill up by themselves
//! while targets are busy, and nobody waits for a fuller call while a target is idle. Pieces are
//! taken in this order:
//!
//! 1. pieces with a last chance to meet the caller's deadline, at most [`LAST_SHARE`] percent of a
//!    call, so that during a long overload not every request is served late;
//! 2. pieces whose stage can still end in time for the latency goal, by rank and then by due time;
//! 3. pieces that will be late anyway, in the remaining room.
//!
//! Late pieces that won't get into a call before they expire are ended at once: see `late`.
//!
//! If class 2 did not go before class 3, ordering by due time alone would serve each request just
//! too late under overload.
//!
//! Pieces may be made more than once, so nothing depends on the hosts agreeing about which one
//! composes. Two composers only cause emptier calls and now and then inputs that are made again.

pub mod downstream;
mod ends;
mod fill;
mod foreign;
mod full;
mod handed;
mod late;
mod load;
mod order;
mod report;
mod resend;
mod room;
mod target;
mod types;

pub use foreign::ForeignChange;
pub use handed::{Belongs, HandedOut};
pub use late::{GivenUp, LateChance};
pub use load::Origin;
pub use order::LAST_SHARE;
pub use report::{RoomUsage, TargetReport};
pub use target::{OVERDUE_FACTOR, OVERDUE_SLACK};
pub use types::{CallEnd, CallId, Effect, Event, Piece, PieceEnd, PieceId, Source, TargetInfo};

use base::{DomainId, Ms, PoolId, TargetId};
use catalog::Batch;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::budget::{Allowance, Past, RetryBudget, Spender};
use late::LateQueue;
use resend::Resends;
use target::Target;

/// Largest number of attempts to make one piece: the first one, and two more if targets crash.
const MAX_ATTEMPTS: u32 = 3;

/// Size of the inputs from which on a piece waits for a target in its own failure domain, bytes.
const LARGE_READ_BYTES: u64 = 100_000;
/// Weight of a new call in the moving averages: about the last few calls count, that is a second.
const CALL_WEIGHT: f64 = 0.2;

struct Waiting {
    piece: Piece,
    origin: Arc<Origin>,
    since: Ms,
    attempts: u32,
    /// Number of calls with it that may have reached a target.
    sends: u32,
    /// Whether it waits to get into a call. If not, it waits for the end of one.
    queued: bool,
}

/// Composes the calls of one service.
pub struct Batcher {
    service: PoolId,
    config: Batch,
    budget: RetryBudget,
    resends: Resends,
    targets: BTreeMap<TargetId, Target>,
    pieces: HashMap<PieceId, Waiting>,
    calls: HashMap<CallId, (TargetId, Vec<PieceId>)>,
    next: u64,
    /// Average number of pieces in a call while more are waiting. Calls may not be full because of
    /// lack of room, and because the pieces of a request are kept together.
    fill: f64,
    /// Average size of the results of a call, bytes; none before the first call.
    bytes: Option<f64>,
    late: LateQueue,
    given_up: Option<GivenUp>,
}

impl Batcher {
    /// A batcher without targets.
    pub fn new(service: PoolId, config: Batch, allowance: Allowance) -> Self {
        Self {
            fill: config.size as f64,
            service,
            config,
            // Duties move between hosts that live on, so a start of this one tells nothing of what was
            // spent on the service before.
            budget: RetryBudget::of(Spender::Composers, allowance, Past::None),
            resends: Resends::default(),
            targets: BTreeMap::new(),
            pieces: HashMap::new(),
            calls: HashMap::new(),
            next: 0,
            bytes: None,
            late: LateQueue::default(),
            given_up: None,
        }
    }

    /// Handles one event and appends the effects to `out`.
    pub fn reduce(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Submit(pieces) => self.submit(now, Origin::default(), pieces, out),
            Event::SubmitFrom(origin, pieces) => self.submit(now, origin, pieces, out),
            Event::Withdraw(ids) => ids.iter().for_each(|id| drop(self.pieces.remove(id))),
            Event::Ended(call, end) => self.ended(now, call, end, out),
            Event::Targets(infos) => self.update_targets(now, &infos, out),
            Event::Config(config) => self.config = config,
            Event::Freed(target, handle) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.freed(now, &handle);
                }
            }
            Event::Read(target, handle) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.room.read(&handle);
                }
            }
            Event::TakenOver => self.taken_over(),
            Event::Reported(target, report) => self.reported(now, &target, report),
            Event::Hosts(live) => self.budget.hosts(live),
            Event::Pace(target, pace) => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.reported = Some(pace);
                }
            }
            Event::Paused(pause) => {
                self.targets.values_mut().for_each(|t| t.extend_calls(pause));
                self.late.extend(pause);
            }
            Event::Tick => {}
        }
        self.overdue(now);
        self.expire(now, out);
        self.fill(now, out);
        self.give_up_late(now, out);
        self.reclaim(now, out);
        self.request_reports(now, out);
    }

    /// When the next tick is needed; none if nothing is pending.
    pub fn wake(&self, now: Ms) -> Option<Ms> {
        let calls = self.targets.values().flat_map(|t| t.wakes(now));
        let queued = self.pieces.values().filter(|w| w.queued);
        calls.chain(queued.map(|w| w.piece.expires)).filter(|at| *at > now).min()
    }

    /// Time until a piece that is submitted now would get into a call; none without a target.
    pub fn wait(&self, now: Ms) -> Option<Ms> {
        self.wait_behind(now, self.queued())
    }

    fn wait_behind(&self, now: Ms, ahead: usize) -> Option<Ms> {
        // Reserved targets take only some pieces, so they don't shorten the wait of others.
        let common = self.targets.values().filter(|t| t.usable(now) && !t.reserved);
        let mut free: Vec<Ms> = common.map(|t| t.free_at(now)).collect();
        let full = self.config.time(self.fill as usize);
        for _ in 0..(ahead as f64 / self.fill.max(1.0)) as usize {
            let first = free.iter_mut().min()?;
            *first += full;
        }
        free.iter().min().map(|at| *at - now)
    }

    /// Time until this piece would get into a call if it were submitted now.
    fn wait_of(&self, now: Ms, piece: &Piece) -> Option<Ms> {
        let late = self.is_late(now, piece);
        // A piece that is on time doesn't wait behind late pieces, which pile up during a long
        // overload.
        let before = |w: &&Waiting| {
            w.queued && w.piece.rank <= piece.rank && (late || !self.is_late(now, &w.piece))
        };
        self.wait_behind(now, self.pieces.values().filter(before).count())
    }

    /// Whether a piece will be late even in a call that begins now.
    fn is_late(&self, now: Ms, piece: &Piece) -> bool {
        piece.due < now + self.config.time(1)
    }

    /// Deletes results that were read where the next call would not find enough room.
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

    /// Size of the results at a target, including those of calls in flight, bytes.
    pub fn kept(&self, now: Ms, target: &TargetId) -> u64 {
        self.targets.get(target).map_or(0, |t| t.kept(now))
    }

    /// How long targets keep results.
    pub fn result_ttl(&self) -> Ms {
        self.config.result_ttl
    }

    /// Number of pieces that wait for a call.
    pub fn queued(&self) -> usize {
        self.pieces.values().filter(|w| w.queued).count()
    }

    fn submit(
        &mut self,
        now: Ms,
        origin: Origin,
        pieces: Vec<(PieceId, Piece)>,
        out: &mut Vec<Effect>,
    ) {
        let origin = Arc::new(origin);
        let requests: HashSet<&str> = pieces.iter().map(|(_, p)| &*p.request).collect();
        for _ in requests {
            self.budget.request(now, &self.service);
        }
        for (id, piece) in pieces {
            if self.outside(&piece) {
                out.push(Effect::End { piece: id, end: PieceEnd::Outside, target: None });
                continue;
            }
            // The piece can't be made before it expires, so it is refused at once.
            if self.wait_of(now, &piece).is_some_and(|wait| now + wait > piece.expires) {
                out.push(Effect::End { piece: id, end: PieceEnd::Late, target: None });
                continue;
            }
            let origin = origin.clone();
            let waiting =
                Waiting { piece, origin, since: now, attempts: 0, sends: 0, queued: true };
            self.pieces.insert(id, waiting);
        }
    }

    fn update_targets(&mut self, now: Ms, infos: &[TargetInfo], out: &mut Vec<Effect>) {
        for (id, target) in &mut self.targets {
            target.live = infos.iter().any(|p| p.id == *id && p.born == target.born);
        }
        // A target that is leaving is kept until its calls have ended.
        self.targets.retain(|_, t| t.live || t.busy());
        for info in infos {
            match self.targets.get(&info.id) {
                Some(known) if known.born == info.born => {}
                _ => drop(self.targets.insert(info.id.clone(), Target::new(info))),
            }
        }
        self.drop_unread(now);
        // Pieces whose last permitted target is gone are ended at once.
        let outside =
            |(id, w): (&PieceId, &Waiting)| (w.queued && self.outside(&w.piece)).then_some(*id);
        let outside: Vec<PieceId> = self.pieces.iter().filter_map(outside).collect();
        outside.into_iter().for_each(|id| self.finish(id, PieceEnd::Outside, out));
    }

    /// Whether a piece with large inputs waits for the next call in its own failure domain, because
    /// it will still be on time there. Being earlier has no value, while bytes across domains are
    /// paid for.
    fn waits_for(&self, now: Ms, home: &DomainId, piece: &Piece) -> bool {
        if piece.reads < LARGE_READ_BYTES {
            return false;
        }
        let near = self.targets.values().filter(|t| t.domain == *home && t.usable(now));
        let near = near.filter(|t| t.allows(piece));
        let end = near.map(|t| t.free_at(now) + t.scaled(now, self.config.full())).min();
        end.is_some_and(|end| end <= piece.due)
    }

    /// Whether there are targets, but none in a region in which the piece's request may be
    /// processed.
    fn outside(&self, piece: &Piece) -> bool {
        let mut live = self.targets.values().filter(|t| t.live).peekable();
        live.peek().is_some() && live.all(|t| !t.allows(piece))
    }

    /// Queues the pieces of overdue calls again, once: their target may be slow, or gone without
    /// closing the connection.
    fn overdue(&mut self, now: Ms) {
        let left = self.budget.has_left(now, &self.service);
        for target in self.targets.values_mut() {
            for call in target.overdue(now) {
                let Some((_, pieces)) = self.calls.get(&call) else { continue };
                for piece in pieces {
                    let Some(waiting) = self.pieces.get_mut(piece) else { continue };
                    if waiting.attempts == 1 && left {
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
