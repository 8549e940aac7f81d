//! One stage target as its composer sees it.

use base::{DomainId, Ms, RegionId};

use catalog::Residency;

use super::room::Room;
use super::{CallEnd, CallId, Piece, PieceEnd, TargetInfo};

/// A call is overdue at this multiple of its expected time, plus [`OVERDUE_SLACK`]: pieces of one
/// service differ by up to three times, and a slow target takes four to eight times as long.
pub const OVERDUE: (u64, u64) = (2, 1);
/// See [`OVERDUE`]; a lost packet is sent again after about 200 ms.
pub const OVERDUE_SLACK: Ms = Ms(250);
/// A call is given up at this multiple of its expected time: a target eight times slower still
/// ends it.
const GIVE_UP: (u64, u64) = (9, 1);
/// How long before a call's expected end the next one is sent, so that the target never idles: the
/// way there and back within a region, and the time to read the call.
const LEAD: Ms = Ms(8);
/// Weight of a new call in the target's speed: two slow calls in a row are believed.
const SPEED_WEIGHT: f64 = 0.5;
/// How many times slower than the best a target is called slow; sizes of pieces explain less.
const SLOW: f64 = 2.0;
/// A slow target gets a call this often, ms, to see whether it has recovered.
const PROBE: Ms = Ms(1_500);
/// Pause after a call that could not be made, ms; doubled each time in a row.
const PAUSE: Ms = Ms(250);
/// Longest such pause, ms.
const PAUSE_MOST: Ms = Ms(2_000);
/// Pause after the target said that it is full, ms: another composer has a call there.
const FULL_PAUSE: Ms = Ms(60);

/// Time for which a target that had no room is taken to be full beside the results that are known
/// here, ms: others' results are those of a composer that has gone, and are given up or replaced
/// in about this time.
const FOREIGN: Ms = Ms(800);

#[derive(Debug)]
struct Open {
    call: CallId,
    since: Ms,
    expected: Ms,
    time: Ms,
    /// Room that its results take from its turn on, bytes.
    bytes: u64,
    hedged: bool,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) born: u64,
    pub(super) domain: DomainId,
    region: Option<RegionId>,
    pub(super) reserved: bool,
    pub(super) live: bool,
    open: Vec<Open>,
    speed: f64,
    pause: Ms,
    /// When it had no room last though there should have been some: results of others lie there.
    foreign: Option<Ms>,
    others: u64,
    failures: u32,
    last: Ms,
    pub(super) room: Room,
}

impl Target {
    pub(super) fn new(info: &TargetInfo) -> Self {
        Self {
            born: info.born,
            domain: info.domain.clone(),
            region: info.region.clone(),
            reserved: info.reserved,
            live: true,
            open: Vec::new(),
            speed: 1.0,
            pause: Ms::ZERO,
            foreign: None,
            others: 0,
            failures: 0,
            last: Ms::ZERO,
            room: Room::default(),
        }
    }

    /// Whether a piece may be made here.
    pub(super) fn allows(&self, piece: &Piece) -> bool {
        let limited = piece.residency != Residency::Anywhere;
        piece.residency.allows_place(self.region.as_ref()) && (limited || !self.reserved)
    }

    pub(super) fn busy(&self) -> bool {
        !self.open.is_empty()
    }

    pub(super) fn usable(&self, now: Ms) -> bool {
        self.live && self.pause <= now
    }

    /// Whether a call sent now starts at once, or right after the one under way.
    pub(super) fn accepts(&self, now: Ms, slots: u32) -> bool {
        let working = self.open.iter().filter(|o| o.expected > now + LEAD).count();
        working < slots.max(1) as usize && self.open.len() <= slots.max(1) as usize
    }

    pub(super) fn free_at(&self, now: Ms) -> Ms {
        self.open.iter().map(|o| o.expected).max().unwrap_or(now).max(now)
    }

    pub(super) fn speed(&self) -> f64 {
        self.speed
    }

    pub(super) fn slow(&self, best: f64) -> bool {
        self.speed > SLOW * best
    }

    pub(super) fn probe_due(&self, now: Ms) -> bool {
        now - self.last >= PROBE
    }

    pub(super) fn scaled(&self, time: Ms) -> Ms {
        Ms((time.0 as f64 * self.speed.max(1.0)) as u64)
    }

    /// Which free target goes first: the faster, then the one that idles longest.
    pub(super) fn rank(&self, now: Ms) -> (Ms, f64, Ms) {
        (self.free_at(now), self.speed, self.last)
    }

    /// A call begins. Gives when to give it up, ms from now.
    pub(super) fn begin(&mut self, now: Ms, call: CallId, time: Ms, bytes: u64) -> Ms {
        let expected = self.free_at(now) + self.scaled(time);
        self.last = now;
        self.open.push(Open { call, since: now, expected, time, bytes, hedged: false });
        let ahead = self.free_at(now) - now;
        ahead + time.scale(GIVE_UP.0, GIVE_UP.1)
    }

    pub(super) fn ended(&mut self, now: Ms, call: CallId, end: &CallEnd) {
        let open = self.open.iter().position(|o| o.call == call).map(|i| self.open.remove(i));
        match end {
            CallEnd::Done(ends) => {
                self.failures = 0;
                if ends.contains(&PieceEnd::Room) {
                    self.foreign = Some(now);
                }
                let Some(open) = open else { return };
                if ends.iter().all(|end| *end == PieceEnd::Room) {
                    return;
                }
                let took = (now - open.since).0 as f64 / open.time.0.max(1) as f64;
                self.speed += SPEED_WEIGHT * (took - self.speed);
            }
            CallEnd::Full => self.pause = now + FULL_PAUSE,
            CallEnd::Deferred(rest) => self.pause = now + (*rest).min(PAUSE_MOST),
            CallEnd::Moved | CallEnd::NoConnection | CallEnd::Broken | CallEnd::Silent => {
                let span = PAUSE.scale(1 << self.failures.min(8), 1).min(PAUSE_MOST);
                self.failures += 1;
                self.pause = now + span;
            }
        }
    }

    /// Calls that have just become overdue.
    pub(super) fn overdue(&mut self, now: Ms) -> Vec<CallId> {
        let late = |o: &&mut Open| !o.hedged && Self::overdue_at(o) <= now;
        let mut out = Vec::new();
        for open in self.open.iter_mut().filter(late) {
            open.hedged = true;
            out.push(open.call);
        }
        if !out.is_empty() {
            // What is known of its speed is from before it stopped answering.
            self.speed = self.speed.max(SLOW * OVERDUE.0 as f64);
        }
        out
    }

    fn overdue_at(open: &Open) -> Ms {
        let base = open.expected - open.time;
        base.max(open.since) + open.time.scale(OVERDUE.0, OVERDUE.1) + OVERDUE_SLACK
    }

    /// Times at which something about it changes.
    pub(super) fn wakes(&self, now: Ms) -> Vec<Ms> {
        let mut out = vec![self.pause];
        out.extend(self.foreign.map(|at| at + FOREIGN));
        out.extend(self.room.lapse());
        for open in &self.open {
            out.push(open.expected - LEAD);
            if !open.hedged {
                out.push(Self::overdue_at(open));
            }
        }
        out.retain(|at| *at > now);
        out
    }

    /// Learns from a call's end how far the declared room can be counted on.
    pub(super) fn learn_room(&mut self, now: Ms, end: &CallEnd, room: u64) {
        let CallEnd::Done(ends) = end else { return };
        let found = !ends.contains(&PieceEnd::Room);
        let taken = self.kept(now);
        self.room.learn(found, taken, room);
    }

    /// Learns from a call that found no room that all but what is known is others'.
    pub(super) fn settle(&mut self, now: Ms, room: u64) {
        if self.foreign == Some(now) {
            self.others = 0;
            self.others = room.saturating_sub(self.kept(now));
        }
    }

    /// Bytes of results there, those of calls under way included.
    pub(super) fn kept(&self, now: Ms) -> u64 {
        self.room.taken(now) + self.claimed(now)
    }

    /// Bytes that calls under way will take, and others' results.
    fn claimed(&self, now: Ms) -> u64 {
        let others = match self.foreign {
            Some(at) if now - at < FOREIGN => self.others,
            _ => 0,
        };
        self.open.iter().map(|o| o.bytes).sum::<u64>() + others
    }

    /// Results that were read and must go, for a call of `next` bytes to find room.
    pub(super) fn reclaim(&mut self, now: Ms, room: u64, next: u64) -> Vec<String> {
        let calls = self.claimed(now) + next;
        self.room.reclaim(now, room, calls)
    }
}
