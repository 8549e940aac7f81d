//! Loads of this domain's targets, and summed loads of the other domains' pools.
//!
//! A host receives the load of each target in its own domain but only sums per pool from other
//! domains, so its memory and traffic grow with its domain and not with the fleet. A load is sent
//! when it has changed by an eighth or more. For each target this happens at most once in as many
//! rounds as it takes to send the loads of all the domain's targets. A host that receives no loads
//! for a while relies on the answers to its own requests.

use base::{DomainId, Ms, PoolId, TargetId, hash_parts};
use conf::Plan;
use std::collections::{BTreeMap, HashMap};
use wire::Load;

/// A load older than this is neither used nor forwarded, ms.
const STALE_MS: Ms = Ms::secs(10);
/// An unchanged load is sent again after this time, ms.
const REPEAT_MS: Ms = Ms::secs(5);
/// A change smaller than the last sent value divided by this isn't sent.
const MIN_CHANGE_DIVISOR: u32 = 8;

/// Hash that names a target in messages.
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
    /// Running and queued requests as last sent, and when that was.
    last_sent: (u32, u32),
    last_sent_at: Ms,
}

impl LoadRecord {
    /// Whether the load is to be sent now; if so, it is recorded as sent.
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

/// Loads of local targets and of all pools. Local means in this host's failure domain, remote in
/// another.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    local: HashMap<u32, LocalTarget>,
    remote: HashMap<u32, (DomainId, PoolId)>,
    targets: BTreeMap<u32, LoadRecord>,
    pools: BTreeMap<u32, LoadRecord>,
}

impl Loads {
    /// Switches to another configuration.
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

    /// Number of targets in this domain.
    pub(crate) fn targets(&self) -> usize {
        self.local.len()
    }

    /// The target of this domain that a message names by its hash.
    pub(crate) fn target(&self, id: u32) -> Option<&TargetId> {
        self.local.get(&id).map(|n| &n.target)
    }

    /// The pool of another domain that a message names by its hash.
    pub(crate) fn pool(&self, id: u32) -> Option<&(DomainId, PoolId)> {
        self.remote.get(&id)
    }

    /// Records a load that this host polled. Returns true if it is to be sent, which happens at
    /// most once in `round` for a changed load.
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

    /// Merges a target's load from a peer. Returns the time of measurement if it is newer than the
    /// known load.
    pub(crate) fn merge_target(&mut self, load: &Load, now: Ms) -> Option<Ms> {
        let record = self.local.contains_key(&load.id).then(|| self.targets.entry(load.id))?;
        merge_newer(record.or_default(), load, now)
    }

    /// Merges a pool's load from a peer. Returns the time of measurement if it is newer than the
    /// known load.
    pub(crate) fn merge_pool(&mut self, load: &Load, now: Ms) -> Option<Ms> {
        let record = self.remote.contains_key(&load.id).then(|| self.pools.entry(load.id))?;
        merge_newer(record.or_default(), load, now)
    }

    /// Sums this domain's loads by pool and returns the pools that are to be sent. The slots of
    /// targets that are `leaving` aren't counted, as these take no new requests.
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

    /// A target's load in the form that messages carry.
    pub(crate) fn load(&self, id: u32, now: Ms) -> Option<Load> {
        self.targets.get(&id)?.load(id, now)
    }

    /// A pool's load in the form that messages carry.
    pub(crate) fn pool_load(&self, id: u32, now: Ms) -> Option<Load> {
        self.pools.get(&id)?.load(id, now)
    }
}

/// At each hop, the age in a message lacks the transit time. So two reports of one target can be
/// taken in the wrong order when they are closer together than that. This is harmless: the load is
/// a hint, and it is then wrong by one poll.
fn merge_newer(record: &mut LoadRecord, load: &Load, now: Ms) -> Option<Ms> {
    let at = now - Ms(load.age_ms.into());
    let is_newer = at > record.measured_at && now - at < STALE_MS;
    if is_newer {
        (record.running, record.queued, record.slots) = (load.running, load.queued, load.slots);
        record.measured_at = at;
    }
    is_newer.then_some(at)
}
