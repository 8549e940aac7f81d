//! One simulated target: slots with a queue in front of them, slower the more slots are in use.

use base::Ms;
use conf::PoolKind;
use std::collections::VecDeque;

use crate::cache::Cache;
use crate::deploy::Times;

/// Health of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// It answers.
    Up,
    /// It crashed and is restarting; connections are refused.
    Down,
    /// It never answers, but keeps connections open.
    Silent,
}

/// State of a target.
#[derive(Debug)]
pub(crate) struct Server {
    /// Kind of its pool.
    pub kind: PoolKind,
    /// Queued jobs.
    pub queue: VecDeque<usize>,
    /// Running jobs.
    pub running: Vec<usize>,
    /// Cached prefixes.
    pub cache: Cache,
    /// Its health.
    pub health: Health,
    /// Factor by which all work is slowed down.
    pub slow: f64,
    /// Share of executions that fail.
    pub errors: f64,
    /// Sequence number of the last cache event.
    pub seq: u64,
    slots: usize,
}

impl Server {
    /// Creates an idle target.
    pub fn new(kind: PoolKind, slots: u32, times: &Times) -> Self {
        Self {
            kind,
            queue: VecDeque::new(),
            running: Vec::new(),
            cache: Cache::new(times.cache_capacity),
            health: Health::Up,
            slow: 1.0,
            errors: 0.0,
            seq: 0,
            slots: slots as usize,
        }
    }

    /// Whether a slot is free.
    pub fn has_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Factor by which work is slowed down at the current load.
    pub fn slowdown(&self, times: &Times) -> f64 {
        let others = self.running.len().saturating_sub(1) as f64;
        let most = self.slots.saturating_sub(1).max(1) as f64;
        self.slow * (1.0 + others / most * (times.full_slowdown - 1.0))
    }

    /// Removes a job, whether queued or running. Returns whether it held a slot.
    pub fn drop_job(&mut self, job: usize) -> bool {
        self.queue.retain(|&j| j != job);
        let before = self.running.len();
        self.running.retain(|&j| j != job);
        self.running.len() < before
    }

    /// Clears the cache and removes all jobs, which it returns.
    pub fn crash(&mut self) -> Vec<usize> {
        self.cache.clear();
        let queued = self.queue.drain(..);
        self.running.drain(..).chain(queued).collect()
    }
}

/// Rounds a computed time in ms to whole milliseconds, at least one.
pub(crate) fn to_ms(time: f64) -> Ms {
    Ms((time.round() as u64).max(1))
}
