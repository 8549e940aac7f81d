//! The state of one stage target, as known to the composer.

use base::{DomainId, Ms, RegionId};

use catalog::Residency;

use super::foreign::Foreign;
use super::full::FullBackoff;
use super::report::ReportState;
use super::room::Room;
use super::{CallEnd, CallId, Piece, PieceEnd, TargetInfo};
use crate::pace::Pace;

/// A call is overdue after this multiple of its expected duration plus [`OVERDUE_SLACK`]. Pieces of
/// one service differ by a factor of up to three, and a slow target takes four to eight times as
/// long as usual.
pub const OVERDUE_FACTOR: (u64, u64) = (2, 1);
/// See [`OVERDUE_FACTOR`]. A lost packet is sent again after about 200 ms.
pub const OVERDUE_SLACK: Ms = Ms(250);
/// A call is given up after this multiple of its expected duration, so that a target that is eight
/// times slower can still end it.
const TIMEOUT_FACTOR: (u64, u64) = (9, 1);
/// A call is not given up sooner than this: a sound target may be silent for a second or two. Its
/// pieces are queued again once the call is overdue.
const MIN_TIMEOUT: Ms = Ms(2_500);
/// How long before the expected end of a call the next one is sent, so that the target is never
/// idle: the round trip within a region, and the time to read the call.
const LEAD: Ms = Ms(8);
/// Weight of a new call in the target's speed: two slow calls in a row are enough evidence.
const SPEED_WEIGHT: f64 = 0.5;
/// A target is slow if it takes more than this many times as long as the best one. Differences in
/// the size of pieces explain less than that.
const SLOW_FACTOR: f64 = 2.0;
/// Interval of the calls that a slow target gets to find out whether it has recovered.
const PROBE_INTERVAL: Ms = Ms(1_500);
/// Pause after a call that could not be made; doubled after each further one in a row.
const FIRST_PAUSE: Ms = Ms(250);
/// Longest such pause.
const MAX_PAUSE: Ms = Ms(2_000);

#[derive(Debug)]
struct OpenCall {
    call: CallId,
    since: Ms,
    expected: Ms,
    time: Ms,
    /// Room for its results, in use from the start of the call on, bytes.
    bytes: u64,
    requeued: bool,
}

/// A target of the service.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) born: u64,
    pub(super) domain: DomainId,
    region: Option<RegionId>,
    pub(super) reserved: bool,
    pub(super) live: bool,
    open: Vec<OpenCall>,
    /// Learned duration of its calls relative to the declared one.
    learned: f64,
    /// The pace that it reported last.
    pub(super) reported: Option<Pace>,
    paused_until: Ms,
    failures: u32,
    last_call: Ms,
    pub(super) full: FullBackoff,
    pub(super) room: Room,
    pub(super) foreign: Foreign,
    pub(super) report: ReportState,
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
            learned: 1.0,
            reported: None,
            paused_until: Ms::ZERO,
            failures: 0,
            last_call: Ms::ZERO,
            full: FullBackoff::default(),
            room: Room::default(),
            foreign: Foreign::default(),
            report: ReportState::default(),
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

    /// Whether it is at work on a call that isn't overdue.
    pub(super) fn working(&self) -> bool {
        self.open.iter().any(|open| !open.requeued)
    }

    pub(super) fn usable(&self, now: Ms) -> bool {
        self.live && self.paused_until.max(self.full.until()) <= now
    }

    /// Whether it takes part in the service's throughput. A target that is only full does.
    pub(super) fn serving(&self, now: Ms) -> bool {
        self.live && (self.failures == 0 || self.paused_until <= now)
    }

    /// Whether a call that is sent now starts at once, or right after the one that is running.
    pub(super) fn accepts(&self, now: Ms, slots: u32) -> bool {
        let working = self.open.iter().filter(|o| o.expected > now + LEAD).count();
        working < slots.max(1) as usize && self.open.len() <= slots.max(1) as usize
    }

    pub(super) fn free_at(&self, now: Ms) -> Ms {
        self.open.iter().map(|o| o.expected).max().unwrap_or(now).max(now)
    }

    /// Expected duration of its calls relative to the declared one: the learned one, or what its
    /// pace makes of it, if that is longer. A report that it is fast doesn't outweigh slow calls.
    pub(super) fn speed(&self, now: Ms) -> f64 {
        self.reported.map_or(self.learned, |pace| self.learned.max(pace.factor(now)))
    }

    pub(super) fn slow(&self, now: Ms, best: f64) -> bool {
        self.speed(now) > SLOW_FACTOR * best
    }

    pub(super) fn probe_due(&self, now: Ms) -> bool {
        now - self.last_call >= PROBE_INTERVAL
    }

    pub(super) fn scaled(&self, now: Ms, time: Ms) -> Ms {
        Ms((time.0 as f64 * self.speed(now).max(1.0)) as u64)
    }

    /// Order of the free targets: those that are free first, then the faster ones, then those that
    /// got no call for the longest time.
    pub(super) fn rank(&self, now: Ms) -> (Ms, f64, Ms) {
        (self.free_at(now), self.speed(now), self.last_call)
    }

    /// Records that a call begins. Returns the time after which to give it up.
    pub(super) fn begin(&mut self, now: Ms, call: CallId, time: Ms, bytes: u64) -> Ms {
        let expected = self.free_at(now) + self.scaled(now, time);
        self.last_call = now;
        self.open.push(OpenCall { call, since: now, expected, time, bytes, requeued: false });
        let ahead = self.free_at(now) - now;
        ahead + time.scale(TIMEOUT_FACTOR.0, TIMEOUT_FACTOR.1).max(MIN_TIMEOUT)
    }

    pub(super) fn ended(&mut self, now: Ms, call: CallId, end: &CallEnd) {
        let open = self.open.iter().position(|o| o.call == call).map(|i| self.open.remove(i));
        match end {
            CallEnd::Done(ends) => {
                self.failures = 0;
                if ends.iter().all(|end| *end == PieceEnd::Room) {
                    return;
                }
                self.full.reset();
                let Some(open) = open else { return };
                let took = (now - open.since).0 as f64 / open.time.0.max(1) as f64;
                self.learned += SPEED_WEIGHT * (took - self.learned);
            }
            // See `rejected`.
            CallEnd::Full => {}
            CallEnd::Deferred(rest) => self.paused_until = now + (*rest).min(MAX_PAUSE),
            CallEnd::Moved | CallEnd::NoConnection | CallEnd::Broken | CallEnd::Silent => {
                let span = FIRST_PAUSE.scale(1 << self.failures.min(8), 1).min(MAX_PAUSE);
                self.failures += 1;
                self.paused_until = now + span;
            }
        }
    }

    /// Records that it responded that it is full, although by the accounting it was not. `call` is
    /// the duration of a full call, and `draw` any number.
    pub(super) fn rejected(&mut self, now: Ms, call: Ms, draw: u64) {
        self.full.rejected(now, call, draw);
        self.report.request();
    }

    /// Moves the expected ends of open calls by a time for which this host did not run: the answers
    /// may have arrived meanwhile without being read.
    pub(super) fn extend_calls(&mut self, pause: Ms) {
        for open in &mut self.open {
            open.since += pause;
            open.expected += pause;
        }
    }

    /// Calls that have just become overdue.
    pub(super) fn overdue(&mut self, now: Ms) -> Vec<CallId> {
        let late = |o: &&mut OpenCall| !o.requeued && Self::overdue_at(o) <= now;
        let mut out = Vec::new();
        for open in self.open.iter_mut().filter(late) {
            open.requeued = true;
            out.push(open.call);
        }
        if !out.is_empty() {
            // The learned speed dates from before the target stopped responding.
            self.learned = self.learned.max(SLOW_FACTOR * OVERDUE_FACTOR.0 as f64);
        }
        out
    }

    fn overdue_at(open: &OpenCall) -> Ms {
        let base = open.expected - open.time;
        base.max(open.since) + open.time.scale(OVERDUE_FACTOR.0, OVERDUE_FACTOR.1) + OVERDUE_SLACK
    }

    /// The times at which something changes for this target.
    pub(super) fn wakes(&self, now: Ms) -> Vec<Ms> {
        let mut out = vec![self.paused_until, self.full.until()];
        out.extend(self.foreign.wakes());
        out.extend(self.report.due_at());
        out.extend(self.room.next_expiry());
        for open in &self.open {
            out.push(open.expected - LEAD);
            if !open.requeued {
                out.push(Self::overdue_at(open));
            }
        }
        out.retain(|at| *at > now);
        out
    }

    /// Learns from the end of a call which part of the declared room is really available.
    pub(super) fn learn_room(&mut self, now: Ms, end: &CallEnd, room: u64) {
        let CallEnd::Done(ends) = end else { return };
        let found = !ends.contains(&PieceEnd::Room);
        let taken = self.kept(now);
        self.room.learn(found, taken, room);
    }

    /// Records, after a call that found no room, that results of others take up the rest of it.
    pub(super) fn learn_foreign(&mut self, now: Ms, room: u64) {
        self.foreign.guess(now, room.saturating_sub(self.own(now)));
        self.report.request();
    }

    /// Records that a result was deleted. If it was made for another composer, only a report can
    /// tell how much room there is now.
    pub(super) fn freed(&mut self, now: Ms, handle: &str) {
        if !self.room.freed(handle) && self.foreign.is_any(now) {
            self.report.request();
        }
    }

    /// Size of all results at the target, including those of calls in flight and of others, bytes.
    pub(super) fn kept(&self, now: Ms) -> u64 {
        self.room.taken(now) + self.claimed(now)
    }

    /// Size of the results of this composer's calls, including those in flight, bytes.
    pub(super) fn own(&self, now: Ms) -> u64 {
        self.room.taken(now) + self.in_flight()
    }

    /// Bytes that calls in flight will need, and those of others' results.
    fn claimed(&self, now: Ms) -> u64 {
        self.in_flight() + self.foreign.bytes(now)
    }

    fn in_flight(&self) -> u64 {
        self.open.iter().map(|o| o.bytes).sum()
    }

    /// Results that were read and have to be deleted for a call of `next` bytes to find room.
    pub(super) fn reclaim(&mut self, now: Ms, room: u64, next: u64) -> Vec<String> {
        let calls = self.claimed(now) + next;
        self.room.reclaim(now, room, calls)
    }
}
