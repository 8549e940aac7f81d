//! Cache events of this domain's engines, on their way to the domain's hosts.
//!
//! Engines see thousands of events a second and a host may hear a few kilobytes: only the newest
//! are passed on, and what is dropped costs a cached prefix that isn't found, never an answer.

use std::collections::{HashMap, VecDeque};
use wire::CacheNote;

/// Most notes that are kept.
const MAX_NOTES: usize = 512;
/// Hosts that pass a note on, one after the other. Engines that restart count from the start
/// again, so a note's count can't tell old from new; without this bound two hosts could go on
/// giving each other the same notes for ever.
pub(crate) const MAX_HOPS: u32 = 6;

/// The newest events, by target and count.
#[derive(Debug, Default)]
pub(crate) struct Caches {
    notes: HashMap<(u32, u64), CacheNote>,
    order: VecDeque<(u32, u64)>,
}

impl Caches {
    /// Takes a note. True when it is new.
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
