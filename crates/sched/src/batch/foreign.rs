//! Memory of a target that is occupied by results of others.
//!
//! They were made for a composer that is gone or whose duty has moved, so this composer has no
//! record of them. Without this accounting, each of its calls would run into them.

use base::{Ms, TargetId};

/// Time for which a target that had no room is assumed to hold results of others that fill the rest
/// of its room, unless it reports otherwise. They were made for a composer that is gone, and are
/// deleted or replaced within about this time.
const GUESS_TIME: Ms = Ms(800);
/// Part of the room below which a report's difference from the composer's own accounting is put
/// down to the sizes of its own results, which are declared approximately.
const MIN_SHARE: (u64, u64) = (1, 20);

/// Results of others begin or cease to occupy a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignChange {
    /// The target.
    pub target: TargetId,
    /// Their size, bytes; zero if there are none any more.
    pub bytes: u64,
}

/// Memory at one target that counts as occupied by others.
#[derive(Debug, Default)]
pub(super) struct Foreign {
    /// When a call last had no room although it should have, and the size of the rest of the room.
    guess: Option<(Ms, u64)>,
    /// Until when the last report counts, and what it leaves to others, bytes.
    report: Option<(Ms, u64)>,
    /// Whether the last change that was returned was that they occupy the target.
    announced: bool,
}

impl Foreign {
    /// Bytes that count as occupied.
    pub(super) fn bytes(&self, now: Ms) -> u64 {
        let guess = self.guess.filter(|(at, _)| now - *at < GUESS_TIME);
        let report = self.report.filter(|(until, _)| *until > now);
        guess.into_iter().chain(report).map(|(_, bytes)| bytes).max().unwrap_or_default()
    }

    /// Records that a call found no room beside the composer's own results: others occupy `rest`.
    pub(super) fn guess(&mut self, now: Ms, rest: u64) {
        self.guess = Some((now, rest));
    }

    /// Records what a report leaves to others. It counts until a result that was made just now
    /// expires.
    pub(super) fn report(&mut self, bytes: u64, until: Ms) {
        self.guess = None;
        self.report = (bytes > 0).then_some((until, bytes));
    }

    /// Whether a report says that others occupy a substantial part of `room`.
    pub(super) fn is_reported(&self, now: Ms, room: u64) -> bool {
        let least = room * MIN_SHARE.0 / MIN_SHARE.1;
        self.report.is_some_and(|(until, bytes)| until > now && bytes > least)
    }

    /// Whether a report says that others occupy anything.
    pub(super) fn is_any(&self, now: Ms) -> bool {
        self.report.is_some_and(|(until, _)| until > now)
    }

    /// The times at which something expires.
    pub(super) fn wakes(&self) -> impl Iterator<Item = Ms> + use<> {
        let guess = self.guess.map(|(at, _)| at + GUESS_TIME);
        guess.into_iter().chain(self.report.map(|(until, _)| until))
    }

    /// Their size if they have begun or ended to occupy a substantial part of `room` since the last
    /// call of this function.
    pub(super) fn take_change(&mut self, now: Ms, room: u64) -> Option<u64> {
        let bytes = self.bytes(now);
        let occupied = bytes > room * MIN_SHARE.0 / MIN_SHARE.1;
        match std::mem::replace(&mut self.announced, occupied) == occupied {
            true => None,
            false => Some(if occupied { bytes } else { 0 }),
        }
    }
}
