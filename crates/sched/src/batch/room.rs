//! Keeps track of the room for results at one target.
//!
//! Results are far larger than the room for them. They are read once, and now and then once more:
//! one piece in five hundred fails and is made in a later call, or an engine breaks its stream and
//! another one continues it; both read the same results again. If results were deleted after they
//! were first read, they and all their inputs would have to be made again, and the request would be
//! late. If they were kept until nobody can need them, they would fill their targets, and calls
//! would shrink to the remaining room.
//!
//! So a result that was read becomes *spare*: it is kept while the target has room for the next
//! call beside it. When it has not, spare results are deleted, the largest first. Declared sizes
//! are approximate, so a target may turn a call away although by the declared sizes it has room.
//! How much of the room can be relied on is therefore learned.

use base::Ms;
use std::collections::HashMap;

/// Part of the room that spare results may always use: enough for the small results of one request
/// beside the large ones of others.
const MIN_SPARE: (u64, u64) = (1, 20);
/// Part of the lost [`Room::trust`] that is regained with each call that found room: after a few
/// dozen calls, that is several seconds, the whole room is trusted again.
const TRUST_REGAIN: f64 = 0.03;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not read yet.
    Unread,
    /// Read; it may be read once more.
    Spare,
    /// Its target is being told to delete it.
    Deleting,
}

#[derive(Debug)]
struct Stored {
    /// When it expires.
    expires: Ms,
    bytes: u64,
    state: State,
}

/// The results at one target, as far as the composer knows.
#[derive(Debug)]
pub(super) struct Room {
    stored: HashMap<String, Stored>,
    spare: usize,
    /// Part of the declared room that calls have found to be available.
    trust: f64,
}

impl Default for Room {
    fn default() -> Self {
        Self { stored: HashMap::new(), spare: 0, trust: 1.0 }
    }
}

impl Room {
    /// Records that a result was made at `now`.
    pub(super) fn keep(&mut self, now: Ms, handle: String, bytes: u64, expires: Ms) {
        self.stored.retain(|_, l| l.expires > now);
        self.stored.insert(handle, Stored { expires, bytes, state: State::Unread });
        self.spare = self.stored.values().filter(|l| l.state == State::Spare).count();
    }

    /// Records that a result was read.
    pub(super) fn read(&mut self, handle: &str) {
        match self.stored.get_mut(handle) {
            Some(stored) if stored.state == State::Unread => {
                stored.state = State::Spare;
                self.spare += 1;
            }
            _ => {}
        }
    }

    /// Records that a result was deleted at its target. Returns whether it was recorded here.
    pub(super) fn freed(&mut self, handle: &str) -> bool {
        let stored = self.stored.remove(handle);
        if stored.as_ref().is_some_and(|l| l.state == State::Spare) {
            self.spare -= 1;
        }
        stored.is_some()
    }

    /// Size of all results that have not expired, bytes.
    pub(super) fn taken(&self, now: Ms) -> u64 {
        self.stored.values().filter(|l| l.expires > now).map(|l| l.bytes).sum()
    }

    /// When the next result expires.
    pub(super) fn next_expiry(&self) -> Option<Ms> {
        self.stored.values().map(|l| l.expires).min()
    }

    /// Records whether a call found room, while by the declared sizes `taken` of `room` bytes were
    /// in use.
    pub(super) fn learn(&mut self, found: bool, taken: u64, room: u64) {
        match found {
            true => self.trust += TRUST_REGAIN * (1.0 - self.trust),
            false => self.trust = self.trust.min(taken as f64 / room.max(1) as f64),
        }
    }

    /// Spare results to delete, the largest first, so that calls that need `calls` bytes find room.
    pub(super) fn reclaim(&mut self, now: Ms, room: u64, calls: u64) -> Vec<String> {
        if self.spare == 0 {
            return Vec::new();
        }
        let bytes = |state: State| -> u64 {
            let stored = self.stored.values().filter(|l| l.state == state && l.expires > now);
            stored.map(|l| l.bytes).sum()
        };
        let trusted = (room as f64 * self.trust) as u64;
        let free = trusted.saturating_sub(calls + bytes(State::Unread));
        let most = free.max(room * MIN_SPARE.0 / MIN_SPARE.1);
        let mut left = bytes(State::Spare);
        let spare = self.stored.iter_mut().filter(|(_, l)| l.state == State::Spare);
        let mut spare: Vec<_> = spare.collect();
        spare.sort_by(|a, b| (b.1.bytes, a.1.expires, a.0).cmp(&(a.1.bytes, b.1.expires, b.0)));
        let mut out = Vec::new();
        for (handle, stored) in spare {
            if left <= most {
                break;
            }
            left = left.saturating_sub(stored.bytes);
            stored.state = State::Deleting;
            self.spare -= 1;
            out.push(handle.clone());
        }
        out
    }
}
