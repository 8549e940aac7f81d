//! Cache events of this domain's engines, forwarded between the domain's hosts.
//!
//! Engines produce thousands of events a second, while a host may receive only a few kilobytes, so
//! only the newest events are forwarded. A dropped event costs at most a cache hit, never an
//! answer.

use std::collections::{HashMap, VecDeque};
use wire::CacheNote;

/// Most notes that are stored.
const MAX_NOTES: usize = 512;
/// Most hosts that forward a note, one after the other. An engine that restarts counts its events
/// from the start again, so the count doesn't tell an old note from a new one; without this limit
/// two hosts could send each other the same notes for ever.
pub(crate) const MAX_HOPS: u32 = 6;

/// The newest events, by target and sequence number.
#[derive(Debug, Default)]
pub(crate) struct Caches {
    notes: HashMap<(u32, u64), CacheNote>,
    order: VecDeque<(u32, u64)>,
}

impl Caches {
    /// Stores a note. Returns true if it is new.
    pub(crate) fn merge(&mut self, note: &CacheNote) -> bool {
        let key = (note.target, note.seq);
        if self.notes.get(&key).is_some_and(|known| known.prefix == note.prefix) {
            return false;
        }
        let forwarded = CacheNote { hops: note.hops.saturating_sub(1), ..*note };
        if self.notes.insert(key, forwarded).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MAX_NOTES {
            self.order.pop_front().map(|old| self.notes.remove(&old));
        }
        true
    }

    pub(crate) fn get(&self, target: u32, seq: u64) -> Option<&CacheNote> {
        self.notes.get(&(target, seq))
    }
}
