//! Room for results at one target.
//!
//! Load: results that are far larger than the room for them, read once, and now and then once
//! more. One piece in five hundred fails and is made in a later call, an engine breaks its stream
//! and another goes on: both read the same results again. Given up after the first reading, they
//! are made again with all that led to them, and the request is late. Kept until nobody can need
//! them, they fill their targets, and calls shrink to the room that is left.
//!
//! So what was read is *spare*: it lies on while the target has room for the next call beside it,
//! and goes when it has not, the largest first. Declared sizes are approximate, and a room that is
//! full by them has turned calls away before: how much of it may be counted on is learned.

use base::Ms;
use std::collections::HashMap;

/// Part of the room that spare results may take in any case: a request's small ones beside large
/// ones of others.
const SMALL: (u64, u64) = (1, 20);
/// Part of what was lost of [`Room::trust`] that comes back with each call that found room: a few
/// dozen calls, several seconds, make a mistrusted room a whole one again.
const REGAIN: f64 = 0.03;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nobody has read it yet.
    Held,
    /// It was read; it may be read once more.
    Spare,
    /// Its target is being told to give it up.
    Leaving,
}

#[derive(Debug)]
struct Lying {
    /// When it lapses.
    until: Ms,
    bytes: u64,
    state: State,
}

/// Results that lie at one target, as far as its composer knows.
#[derive(Debug)]
pub(super) struct Room {
    lying: HashMap<String, Lying>,
    spare: usize,
    /// Part of the declared room that calls have found to be there.
    trust: f64,
}

impl Default for Room {
    fn default() -> Self {
        Self { lying: HashMap::new(), spare: 0, trust: 1.0 }
    }
}

impl Room {
    /// A result was made at `now`.
    pub(super) fn keep(&mut self, now: Ms, handle: String, bytes: u64, until: Ms) {
        self.lying.retain(|_, l| l.until > now);
        self.lying.insert(handle, Lying { until, bytes, state: State::Held });
        self.spare = self.lying.values().filter(|l| l.state == State::Spare).count();
    }

    /// A result was read.
    pub(super) fn read(&mut self, handle: &str) {
        match self.lying.get_mut(handle) {
            Some(lying) if lying.state == State::Held => {
                lying.state = State::Spare;
                self.spare += 1;
            }
            _ => {}
        }
    }

    /// A result was given up, and its target knows.
    pub(super) fn freed(&mut self, handle: &str) {
        let lying = self.lying.remove(handle);
        if lying.is_some_and(|l| l.state == State::Spare) {
            self.spare -= 1;
        }
    }

    /// Bytes that are taken.
    pub(super) fn taken(&self, now: Ms) -> u64 {
        self.lying.values().filter(|l| l.until > now).map(|l| l.bytes).sum()
    }

    /// The first of its results to lapse.
    pub(super) fn lapse(&self) -> Option<Ms> {
        self.lying.values().map(|l| l.until).min()
    }

    /// A call found room, or none though by the declared sizes `taken` of `room` bytes were taken.
    pub(super) fn learn(&mut self, found: bool, taken: u64, room: u64) {
        match found {
            true => self.trust += REGAIN * (1.0 - self.trust),
            false => self.trust = self.trust.min(taken as f64 / room.max(1) as f64),
        }
    }

    /// Spare results to give up, the largest first, for calls that take `calls` bytes of `room`.
    pub(super) fn reclaim(&mut self, now: Ms, room: u64, calls: u64) -> Vec<String> {
        if self.spare == 0 {
            return Vec::new();
        }
        let bytes = |state: State| -> u64 {
            let lying = self.lying.values().filter(|l| l.state == state && l.until > now);
            lying.map(|l| l.bytes).sum()
        };
        let trusted = (room as f64 * self.trust) as u64;
        let free = trusted.saturating_sub(calls + bytes(State::Held));
        let most = free.max(room * SMALL.0 / SMALL.1);
        let mut left = bytes(State::Spare);
        let spare = self.lying.iter_mut().filter(|(_, l)| l.state == State::Spare);
        let mut spare: Vec<_> = spare.collect();
        spare.sort_by(|a, b| (b.1.bytes, a.1.until, a.0).cmp(&(a.1.bytes, b.1.until, b.0)));
        let mut out = Vec::new();
        for (handle, lying) in spare {
            if left <= most {
                break;
            }
            left = left.saturating_sub(lying.bytes);
            lying.state = State::Leaving;
            self.spare -= 1;
            out.push(handle.clone());
        }
        out
    }
}
