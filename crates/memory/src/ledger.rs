//! Who gets bytes, who waits for them, and who yields.
//!
//! Answers the pattern of many clients that each hold what a single one may hold, and stop. Without it their
//! sum ends the process. Connections that have made no progress yield first, by what they hold and for how
//! long. Of requests that wait for bytes the oldest waits and the younger ones are refused (wait-die), so
//! that requests which each hold a part never wait for each other.

use base::Ms;
use std::collections::BTreeMap;

/// Bytes that a connection may take without a body or an answer: 24 KiB of state and write buffer, a head
/// of 16 KiB, and 16 KiB that wait unread in its socket.
pub const CONNECTION_BYTES: u64 = 56 << 10;
/// Bytes that a connection may take in addition while its caller doesn't read: 32 KiB that wait unread in
/// the socket of its target and 64 KiB that have been read from there.
pub const BLOCKED_BYTES: u64 = 96 << 10;
/// Time without progress after which a connection may have to yield.
pub const STALL_TIME: Ms = Ms(1_000);
/// Bytes that count as progress. A client that sends or reads a byte at a time would otherwise never stall.
const PROGRESS_BYTES: u64 = 4 << 10;
/// A request that holds at most this many bytes may use the part of the budget that is kept back.
const SMALL_BYTES: u64 = 64 << 10;
/// Most bytes of a short message of [`Class::Internal`].
const MESSAGE_BYTES: u64 = 16 << 10;
/// Part of the budget that is kept for small requests, so that they don't wait behind large ones.
const SMALL_SHARE: u64 = 8;

/// The connections of one listener, which have a limit of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Group(usize);

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Callers.
    Callers,
    /// Other hosts, the platform and operators. There are few of them, and without them the host would be
    /// taken for dead when callers hold the whole budget. So their connections and short messages are let in
    /// beyond it.
    Internal,
}

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The answer to a request that has run: it can't be refused as not run any more, so requests that are
    /// still read yield to it.
    Answer,
    /// A request.
    Request,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its first request, or the rest of one.
    Reading,
    /// The next request, after at least one.
    Idle,
    /// Its answer, which is being made.
    Serving,
    /// Its caller, which doesn't read the answer.
    Blocked,
}

/// The answer to who asks for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// They are charged.
    Granted,
    /// There is no room now. Ask again when bytes are freed, or a connection may have stalled.
    Wait,
    /// There is no room for this request.
    Refused,
}

#[derive(Debug)]
struct Entry {
    /// Bytes held beside [`CONNECTION_BYTES`].
    held: u64,
    /// When it last made progress.
    since: Ms,
    /// Bytes moved since then.
    moved: u64,
    phase: Phase,
    /// Place of its request in the order in which requests began to hold bytes.
    age: u64,
    waits: Option<Purpose>,
    group: Group,
}

impl Entry {
    /// Whether it has made no progress for a while, and for no reason of this host.
    fn is_stalled(&self, now: Ms) -> bool {
        self.phase != Phase::Serving && self.waits.is_none() && now - self.since >= STALL_TIME
    }

    /// In which order connections yield: requests before idle connections, then by bytes and time.
    fn rank(&self, now: Ms) -> (bool, u128) {
        let bytes = u128::from(self.held + CONNECTION_BYTES);
        (self.phase != Phase::Idle, bytes * u128::from((now - self.since).0 + 1))
    }
}

/// The places of a group.
#[derive(Debug)]
struct Places {
    open: usize,
    most: usize,
    class: Class,
}

/// The accounts of all connections.
#[derive(Debug)]
pub struct Ledger {
    /// Bytes that may be held for all connections.
    limit: u64,
    groups: Vec<Places>,
    /// Bytes held by the connections below.
    used: u64,
    entries: BTreeMap<u64, Entry>,
    /// Number of the next connection, and of the next request.
    next: u64,
    /// Connections that have yielded since they were last taken.
    evicted: Vec<u64>,
}

impl Ledger {
    /// A ledger without connections.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            groups: Vec::new(),
            used: 0,
            entries: BTreeMap::new(),
            next: 0,
            evicted: Vec::new(),
        }
    }

    /// Adds a group with this many open connections at most.
    pub fn add_group(&mut self, class: Class, connections: usize) -> Group {
        self.groups.push(Places { open: 0, most: connections, class });
        Group(self.groups.len() - 1)
    }

    /// Changes the limits. What is held stays, until others ask for it.
    pub fn set_limits(&mut self, bytes: u64, group: Group, connections: usize) {
        self.limit = bytes;
        self.groups[group.0].most = connections;
    }

    /// Bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Number of open connections of a group, without those that have yielded.
    pub fn connections(&self, group: Group) -> usize {
        self.groups[group.0].open
    }

    /// The connections that have yielded since the last call. They are no longer counted: who holds their
    /// bytes closes them.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    /// Opens an account, and has a stalled connection yield if there is no room. None if nobody yields.
    pub fn open(&mut self, group: Group, now: Ms) -> Option<u64> {
        while self.groups[group.0].open >= self.groups[group.0].most {
            self.evict_stalled(now, |_, entry| entry.group == group)?;
        }
        while self.is_class(group, Class::Callers) && self.used + CONNECTION_BYTES > self.limit {
            self.evict_stalled(now, |_, _| true)?;
        }
        let id = self.number();
        let entry = Entry {
            held: 0,
            since: now,
            moved: 0,
            phase: Phase::Reading,
            age: id,
            waits: None,
            group,
        };
        self.entries.insert(id, entry);
        self.used += CONNECTION_BYTES;
        self.groups[group.0].open += 1;
        Some(id)
    }

    /// Closes an account whose charges have been released.
    pub fn close(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.used -= entry.held + CONNECTION_BYTES;
            self.groups[entry.group.0].open -= 1;
        }
    }

    /// Charges bytes to a connection, has others yield for them, or tells it to wait.
    pub fn reserve(&mut self, id: u64, bytes: u64, purpose: Purpose, now: Ms) -> Verdict {
        let number = self.number();
        let Some(entry) = self.entries.get_mut(&id) else { return Verdict::Refused };
        if entry.held == 0 {
            entry.age = number;
        }
        let (held, group) = (entry.held + bytes, entry.group);
        if held <= MESSAGE_BYTES && self.is_class(group, Class::Internal) {
            return self.grant(id, bytes);
        }
        let limit = match held <= SMALL_BYTES || purpose == Purpose::Answer {
            true => self.limit,
            false => self.limit - self.limit / SMALL_SHARE,
        };
        let callers = self.is_class(group, Class::Callers);
        while self.used + bytes > limit {
            // One large request is served even if the configuration allows more than the budget.
            if callers && self.is_alone(id) && self.used + bytes <= limit + self.limit / 2 {
                break;
            }
            let yielded = self
                .evict_stalled(now, |other, _| other != id)
                .or_else(|| self.evict_younger(id, purpose))
                .or_else(|| self.evict_reader(id, purpose, now));
            if yielded.is_none() {
                return self.wait(id, purpose);
            }
        }
        self.grant(id, bytes)
    }

    /// Records that a connection no longer waits for bytes.
    pub fn withdraw(&mut self, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.waits = None;
        }
    }

    /// Releases bytes of a connection.
    pub fn release(&mut self, id: u64, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            let bytes = bytes.min(entry.held);
            entry.held -= bytes;
            self.used -= bytes;
        }
    }

    /// Records bytes that were read from a connection or written to it.
    pub fn moved(&mut self, id: u64, bytes: u64, now: Ms) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.moved += bytes;
        if entry.moved >= PROGRESS_BYTES {
            (entry.moved, entry.since) = (0, now);
        }
    }

    /// Records what a connection waits for from now on.
    pub fn set_phase(&mut self, id: u64, phase: Phase, now: Ms) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let before = entry.phase;
        if before == phase {
            return;
        }
        (entry.phase, entry.since, entry.moved) = (phase, now, 0);
        if before == Phase::Blocked {
            self.release(id, BLOCKED_BYTES);
        }
        if phase == Phase::Blocked {
            self.block(id, now);
        }
    }

    /// Charges what a connection may hold while its caller doesn't read. If nobody has stalled that could
    /// yield for it, it does so itself.
    fn block(&mut self, id: u64, now: Ms) {
        self.grant(id, BLOCKED_BYTES);
        while self.used > self.limit {
            if self.evict_stalled(now, |other, _| other != id).or_else(|| self.evict(id)).is_none()
            {
                return;
            }
        }
    }

    fn grant(&mut self, id: u64, bytes: u64) -> Verdict {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held += bytes;
            entry.waits = None;
            self.used += bytes;
        }
        Verdict::Granted
    }

    fn is_class(&self, group: Group, class: Class) -> bool {
        self.groups[group.0].class == class
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Whether no other request is large.
    fn is_alone(&self, id: u64) -> bool {
        self.entries.iter().all(|(&other, entry)| other == id || entry.held <= SMALL_BYTES)
    }

    /// Has the connection yield that holds most for longest without progress. None if none has stalled.
    fn evict_stalled(&mut self, now: Ms, may: impl Fn(u64, &Entry) -> bool) -> Option<()> {
        let stalled = self.entries.iter().filter(|(id, e)| e.is_stalled(now) && may(**id, e));
        let id = *stalled.max_by_key(|(_, entry)| entry.rank(now))?.0;
        self.evict(id)
    }

    /// Refuses a request that waits for bytes and is younger than the one that asks.
    fn evict_younger(&mut self, asks: u64, purpose: Purpose) -> Option<()> {
        let order = (purpose, self.entries.get(&asks)?.age);
        let mut waiting = self.entries.iter().filter(|(id, _)| **id != asks);
        let id = *waiting.find(|(_, e)| e.waits.is_some_and(|p| (p, e.age) > order))?.0;
        self.evict(id)
    }

    /// Refuses the request that holds most while it is read, for an answer.
    fn evict_reader(&mut self, asks: u64, purpose: Purpose, now: Ms) -> Option<()> {
        if purpose != Purpose::Answer {
            return None;
        }
        let others = self.entries.iter().filter(|(id, _)| **id != asks);
        let reading = others.filter(|(_, e)| e.phase == Phase::Reading && e.held > 0);
        let id = *reading.max_by_key(|(_, entry)| entry.rank(now))?.0;
        self.evict(id)
    }

    fn evict(&mut self, id: u64) -> Option<()> {
        self.entries.get(&id)?;
        self.close(id);
        self.evicted.push(id);
        Some(())
    }

    /// Has a request wait, unless an older one does.
    fn wait(&mut self, id: u64, purpose: Purpose) -> Verdict {
        let Some(age) = self.entries.get(&id).map(|entry| entry.age) else {
            return Verdict::Refused;
        };
        let order = (purpose, age);
        let mut others = self.entries.iter().filter(|(other, _)| **other != id);
        let older = others.any(|(_, e)| e.waits.is_some_and(|p| (p, e.age) < order));
        let waits = (!older).then_some(purpose);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.waits = waits;
        }
        if older { Verdict::Refused } else { Verdict::Wait }
    }
}
