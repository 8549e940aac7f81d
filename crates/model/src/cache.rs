//! An engine's cache of prompt prefixes: bounded, with least-recently-used eviction.

use std::collections::VecDeque;

/// Cached prefixes, ordered from least to most recently used.
#[derive(Debug)]
pub(crate) struct Cache {
    held: VecDeque<u64>,
    capacity: usize,
}

impl Cache {
    /// An empty cache that holds up to `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self { held: VecDeque::new(), capacity }
    }

    /// Marks a prefix as used, adding it if needed. Returns whether it was cached before.
    pub fn touch(&mut self, prefix: u64) -> bool {
        let found = self.held.iter().position(|&p| p == prefix);
        if let Some(i) = found {
            self.held.remove(i);
        }
        self.held.push_back(prefix);
        found.is_some()
    }

    /// Evicts and returns the least recently used prefix if the cache is over its capacity.
    pub fn evict(&mut self) -> Option<u64> {
        if self.held.len() > self.capacity { self.held.pop_front() } else { None }
    }

    /// Drops all prefixes, as a restart of the engine does.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
