//! Tracks which engines hold which prompt prefixes, based on their cache events and this host's own
//! calls.

use std::collections::{HashMap, VecDeque};

/// Maximum number of prefixes tracked.
const MAX_PREFIXES: usize = 32_768;
/// Maximum number of engines tracked per prefix.
const MAX_HOLDERS: usize = 4;

/// The expected contents of the engines' prefix caches.
///
/// Engines report late and with gaps. After a gap, an eviction may have been missed, and a stale
/// entry would keep sending calls past better targets indefinitely. So a gap invalidates all
/// entries of that engine. A lost entry costs one prefill, and the next call renews it.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    holders: HashMap<u64, Vec<Holder>>,
    order: VecDeque<u64>,
    engines: HashMap<u32, Engine>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    target: u32,
    epoch: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Engine {
    seq: u64,
    epoch: u32,
}

impl PrefixCache {
    /// Handles a cache event of an engine.
    pub(crate) fn on_event(&mut self, target: u32, seq: u64, prefix: u64, stored: bool) {
        let engine = self.engines.entry(target).or_default();
        match seq {
            // Out of order: a later event has already been applied.
            _ if seq <= engine.seq => return,
            _ if seq > engine.seq + 1 && engine.seq > 0 => engine.epoch += 1,
            _ => {}
        }
        engine.seq = seq;
        match stored {
            true => self.insert_holder(target, prefix),
            false => self.remove_holder(target, prefix),
        }
    }

    /// Records that a target has just processed a prefix.
    pub(crate) fn insert_holder(&mut self, target: u32, prefix: u64) {
        let epoch = self.engines.entry(target).or_default().epoch;
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|h| h.target != target);
        holders.insert(0, Holder { target, epoch });
        holders.truncate(MAX_HOLDERS);
        if self.order.len() > MAX_PREFIXES
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Targets that are expected to hold a prefix, the most recent first.
    pub(crate) fn holders(&self, prefix: u64) -> impl Iterator<Item = u32> {
        let known = self.holders.get(&prefix).into_iter().flatten();
        known
            .filter(|h| self.engines.get(&h.target).is_some_and(|e| e.epoch == h.epoch))
            .map(|h| h.target)
    }

    fn remove_holder(&mut self, target: u32, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|h| h.target != target);
        }
    }
}
