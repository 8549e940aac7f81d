//! Load of this domain's targets, and of the other domains' pools as sums.
//!
//! Each host hears of every target of its own domain and only of sums elsewhere, so what it holds
//! and hears grows with its domain, not with the fleet. A load is worth telling when it changed by
//! an eighth or more, and for each target at most once in as many rounds as messages are needed for
//! all of the domain's; a host that hears nothing for a while
//! goes by its own answers.

use base::{DomainId, Ms, PoolId, TargetId, hash_parts};
use conf::Plan;
use std::collections::{BTreeMap, HashMap};
use wire::Load;

/// A load older than this is neither used nor passed on, ms.
const STALE_MS: Ms = Ms::secs(10);
/// An unchanged load is told again after this, ms.
const REPEAT_MS: Ms = Ms::secs(5);
/// A change smaller than one part in this many isn't told.
const MIN_CHANGE_DIVISOR: u32 = 8;

/// Hash by which messages name a target.
pub(crate) fn target_id(target: &str) -> u32 {
    hash_parts(&[b"target", target.as_bytes()]) as u32
}

fn pool_id(domain: &str, pool: &str) -> u32 {
    hash_parts(&[b"pool", domain.as_bytes(), pool.as_bytes()]) as u32
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadRecord {
    running: u32,
    queued: u32,
    slots: u32,
    measured_at: Ms,
    /// What was told last, and when.
    last_sent: (u32, u32),
    last_sent_at: Ms,
}

impl LoadRecord {
    /// Whether it is worth telling; if so it counts as told.
    fn take_if_due(&mut self, now: Ms, round: Ms) -> bool {
        let change =
            self.running.abs_diff(self.last_sent.0) + self.queued.abs_diff(self.last_sent.1);
        let enough = ((self.last_sent.0 + self.last_sent.1) / MIN_CHANGE_DIVISOR).max(1);
        let due = now - self.last_sent_at >= round;
        let send = (due && change >= enough) || now - self.last_sent_at >= REPEAT_MS;
        if send {
            self.last_sent = (self.running, self.queued);
            self.last_sent_at = now;
        }
        send
    }

    fn load(&self, id: u32, now: Ms) -> Option<Load> {
        let age = now - self.measured_at;
        let Self { running, queued, slots, .. } = *self;
        let age_ms = age.0 as u32;
        (age < STALE_MS).then_some(Load { id, running, queued, slots, age_ms })
    }
}

/// A target of this domain.
#[derive(Clone, Debug)]
struct LocalTarget {
    target: TargetId,
    pool: PoolId,
    slots: u32,
}

/// The loads.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    local: HashMap<u32, LocalTarget>,
    remote: HashMap<u32, (DomainId, PoolId)>,
    targets: BTreeMap<u32, LoadRecord>,
    pools: BTreeMap<u32, LoadRecord>,
}

impl Loads {
    /// Goes by another configuration.
    pub(crate) fn set_plan(&mut self, plan: &Plan, domain: &DomainId) {
        let own = plan.targets.iter().filter(|t| t.domain == *domain);
        self.local = own
            .map(|t| {
                let local =
                    LocalTarget { target: t.name.clone(), pool: t.pool.clone(), slots: t.slots };
                (target_id(t.name.as_str()), local)
            })
            .collect();
        let others = plan.targets.iter().filter(|t| t.domain != *domain);
        self.remote = others
            .map(|t| {
                let id = pool_id(t.domain.as_str(), t.pool.as_str());
                (id, (t.domain.clone(), t.pool.clone()))
            })
            .collect();
        self.targets.retain(|id, _| self.local.contains_key(id));
        let local: Vec<u32> =
            self.local.values().map(|n| pool_id(domain.as_str(), n.pool.as_str())).collect();
        self.pools.retain(|id, _| self.remote.contains_key(id) || local.contains(id));
    }

    /// Targets of this domain.
    pub(crate) fn targets(&self) -> usize {
        self.local.len()
    }

    /// The target of this domain that a message names.
    pub(crate) fn target(&self, id: u32) -> Option<&TargetId> {
        self.local.get(&id).map(|n| &n.target)
    }

    /// The pool of another domain that a message names.
    pub(crate) fn pool(&self, id: u32) -> Option<&(DomainId, PoolId)> {
        self.remote.get(&id)
    }

    /// Takes what this host polled. True when it is worth telling, at most once in `round`.
    pub(crate) fn record_polled(
        &mut self,
        id: u32,
        running: u32,
        queued: u32,
        now: Ms,
        round: Ms,
    ) -> bool {
        let record = self.targets.entry(id).or_default();
        (record.running, record.queued, record.measured_at) = (running, queued, now);
        record.take_if_due(now, round)
    }

    /// Takes a target's load from a peer. Gives when it was true, if that is news.
    pub(crate) fn merge_target(&mut self, load: &Load, now: Ms) -> Option<Ms> {
        let record = self.local.contains_key(&load.id).then(|| self.targets.entry(load.id))?;
        merge_newer(record.or_default(), load, now)
    }

    /// Takes a pool's load from a peer. Gives when it was true, if that is news.
    pub(crate) fn merge_pool(&mut self, load: &Load, now: Ms) -> Option<Ms> {
        let record = self.remote.contains_key(&load.id).then(|| self.pools.entry(load.id))?;
        merge_newer(record.or_default(), load, now)
    }

    /// Sums this domain's loads by pool; gives the pools that are worth telling. `leaving`
    /// targets take nothing new, so their room isn't counted.
    pub(crate) fn sum_pools(
        &mut self,
        domain: &DomainId,
        now: Ms,
        round: Ms,
        leaving: impl Fn(&str) -> bool,
    ) -> Vec<u32> {
        let mut sums: BTreeMap<u32, LoadRecord> = BTreeMap::new();
        for (id, local) in &self.local {
            let Some(record) = self.targets.get(id) else { continue };
            if now - record.measured_at >= STALE_MS {
                continue;
            }
            let sum = sums.entry(pool_id(domain.as_str(), local.pool.as_str())).or_default();
            sum.running += record.running;
            sum.queued += record.queued;
            sum.slots += if leaving(local.target.as_str()) { 0 } else { local.slots };
        }
        let mut changed = Vec::new();
        for (id, sum) in sums {
            let record = self.pools.entry(id).or_default();
            (record.running, record.queued, record.slots) = (sum.running, sum.queued, sum.slots);
            record.measured_at = now;
            if record.take_if_due(now, round) {
                changed.push(id);
            }
        }
        changed
    }

    /// A target's load as a message has it.
    pub(crate) fn load(&self, id: u32, now: Ms) -> Option<Load> {
        self.targets.get(&id)?.load(id, now)
    }

    /// A pool's load as a message has it.
    pub(crate) fn pool_load(&self, id: u32, now: Ms) -> Option<Load> {
        self.pools.get(&id)?.load(id, now)
    }
}

/// Ages add up by the time on the way, so two reports of one target can change places when they
/// are closer than that; a hint that is off by one poll does no harm.
fn merge_newer(record: &mut LoadRecord, load: &Load, now: Ms) -> Option<Ms> {
    let at = now - Ms(load.age_ms.into());
    let is_newer = at > record.measured_at && now - at < STALE_MS;
    if is_newer {
        (record.running, record.queued, record.slots) = (load.running, load.queued, load.slots);
        record.measured_at = at;
    }
    is_newer.then_some(at)
}
