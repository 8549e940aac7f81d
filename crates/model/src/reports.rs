//! What hosts learn of targets besides answers: delayed load reports, and cache events that are
//! delayed and partly lost.

use base::Ms;
use policy::Event;
use rand::RngExt;

use crate::queue::SimEvent;
use crate::server::Health;
use crate::world::World;

/// Share of cache events that are lost.
const CACHE_GAPS: f64 = 0.1;
/// Range of the delay of cache events, ms.
const CACHE_LATE: std::ops::Range<u64> = 200..2_000;

impl World<'_> {
    /// Sends each target's load to the hosts of its own failure domain, and each pool's total to
    /// the hosts of all others.
    pub fn report(&mut self) {
        let at = self.now;
        let due = at + self.script.report_lag;
        for target in 0..self.servers.len() {
            let home = self.model.target_domains[target];
            if self.servers[target].health != Health::Up || self.lost[home] {
                continue;
            }
            let server = &self.servers[target];
            let (running, queued) = (server.running.len() as u32, server.queue.len() as u32);
            let name = self.model.plan.targets[target].name.clone();
            for host in self.hosts_in(home) {
                let event = Event::Load { target: name.clone(), running, queued, at };
                self.events.schedule(due, SimEvent::Feed { host, event });
            }
        }
        for domain in 0..self.model.domains.len() {
            self.report_domain(domain, due);
        }
        self.events.schedule(at + self.script.report_every, SimEvent::Report);
    }

    fn report_domain(&mut self, domain: usize, due: Ms) {
        let plan = &self.model.plan;
        for pool in &plan.fleet.pools {
            let mine = |t: &usize| {
                plan.targets[*t].pool == pool.name
                    && self.model.target_domains[*t] == domain
                    && self.servers[*t].health == Health::Up
            };
            let (mut running, mut queued, mut slots) = (0, 0, 0);
            for target in (0..self.servers.len()).filter(mine) {
                running += self.servers[target].running.len() as u32;
                queued += self.servers[target].queue.len() as u32;
                slots += plan.targets[target].slots;
            }
            let hear = |h: &usize| self.hosts[*h].domain != domain;
            let cut = |h: &usize| self.lost[self.hosts[*h].domain] != self.lost[domain];
            for host in (0..self.hosts.len()).filter(|h| hear(h) && !cut(h)) {
                let event = Event::DomainLoad {
                    domain: self.model.domains[domain].clone(),
                    pool: pool.name.clone(),
                    running,
                    queued,
                    slots,
                    at: self.now,
                };
                self.events.schedule(due, SimEvent::Feed { host, event });
            }
        }
    }

    fn hosts_in(&self, domain: usize) -> Vec<usize> {
        (0..self.hosts.len()).filter(|&h| self.hosts[h].domain == domain).collect()
    }

    /// Uses a prefix in an engine's cache and returns whether it was cached. Publishes the cache
    /// events that follow.
    pub fn use_prefix(&mut self, target: usize, prefix: u64) -> bool {
        let hit = self.servers[target].cache.touch(prefix);
        if !hit {
            self.publish_cache_event(target, prefix, true);
        }
        if let Some(gone) = self.servers[target].cache.evict() {
            self.publish_cache_event(target, gone, false);
        }
        hit
    }

    fn publish_cache_event(&mut self, target: usize, prefix: u64, stored: bool) {
        self.servers[target].seq += 1;
        let seq = self.servers[target].seq;
        let due = self.now + Ms(self.rng.random_range(CACHE_LATE));
        if self.rng.random::<f64>() < CACHE_GAPS {
            return;
        }
        let name = self.model.plan.targets[target].name.clone();
        for host in self.hosts_in(self.model.target_domains[target]) {
            let event = Event::Cache { target: name.clone(), seq, prefix, stored };
            self.events.schedule(due, SimEvent::Feed { host, event });
        }
    }
}
