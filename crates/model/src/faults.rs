//! Faults of targets, failure domains and hosts.

use policy::{Event, Fault};

use crate::Change;
use crate::queue::{AttemptEvent, SimEvent};
use crate::server::Health;
use crate::world::World;

impl World<'_> {
    /// Sets whether the load balancer avoids the hosts of a failure domain.
    pub fn set_avoided(&mut self, domain: usize, avoided: bool) {
        self.avoided[domain] = avoided;
    }

    /// Applies a change from the script.
    pub fn change(&mut self, change: Change) {
        match change {
            Change::Slow(engine, factor) => {
                self.servers[self.model.engines[engine]].slow = factor;
            }
            Change::SlowPool(pool, factor) => self.slow_pool(pool, factor),
            Change::Errors(share) => {
                for &engine in &self.model.engines {
                    self.servers[engine].errors = share;
                }
            }
            Change::Crash(engine) => self.crash(self.model.engines[engine]),
            Change::Silent(engine) => self.silence(self.model.engines[engine]),
            Change::Leaving(engine) => self.mark_leaving(self.model.engines[engine]),
            Change::Lost(domain) => self.lose_domain(domain),
            Change::Back(domain) => self.restore_domain(domain),
            Change::Drain(host) => self.drain(host),
            Change::Avoid(domain) => self.set_avoided(domain, true),
            Change::Unlist(host) => self.hosts[host].listed = false,
        }
    }

    fn slow_pool(&mut self, pool: usize, factor: f64) {
        let plan = &self.model.plan;
        let name = &plan.fleet.pools[pool].name;
        for (server, target) in self.servers.iter_mut().zip(&plan.targets) {
            if target.pool == *name {
                server.slow = factor;
            }
        }
    }

    /// Drains a host: it accepts no new requests and finishes the open ones. The load balancer
    /// stops sending to it after a delay.
    fn drain(&mut self, host: usize) {
        self.hosts[host].drained.get_or_insert(self.now);
        self.feed(host, Event::Drain);
        let at = self.now + self.model.times.balancer_ms;
        self.events.schedule(at, SimEvent::Change(Change::Unlist(host)));
    }

    /// Cuts an attempt's connection silently; the host notices after its silence time-out.
    pub fn sever(&mut self, job: usize) {
        if std::mem::replace(&mut self.jobs[job].severed, true) {
            return;
        }
        let at = self.now + self.model.times.silence_ms;
        self.deliver_at(at, job, AttemptEvent::Failed(Fault::Dead));
    }

    /// Crashes a target's process; it restarts with an empty cache.
    pub fn crash(&mut self, target: usize) {
        let server = &mut self.servers[target];
        server.health = Health::Down;
        for job in server.crash() {
            self.end(job);
            let back = self.now + self.latency(job);
            self.deliver_at(back, job, AttemptEvent::Failed(Fault::Broken));
        }
        let at = self.now + self.model.times.restart_ms;
        self.events.schedule(at, SimEvent::Restart { target });
    }

    /// Makes a crashed target listen again.
    pub fn restart(&mut self, target: usize) {
        if self.servers[target].health == Health::Down {
            self.servers[target].health = Health::Up;
        }
    }

    /// Makes a target silent; everything that runs or waits there is lost.
    pub fn silence(&mut self, target: usize) {
        self.servers[target].health = Health::Silent;
        for job in self.servers[target].crash() {
            self.end(job);
            self.sever(job);
        }
    }

    /// Makes a target leave: every host is notified, and the target finishes its work.
    pub fn mark_leaving(&mut self, target: usize) {
        let at = self.now + self.model.times.gossip_ms;
        let target = self.model.plan.targets[target].name.clone();
        for host in 0..self.hosts.len() {
            let event = Event::Leaving { target: target.clone(), leaving: true };
            self.events.schedule(at, SimEvent::Feed { host, event });
        }
    }

    /// Cuts a failure domain off: its targets go silent, and connections across its border are cut.
    pub fn lose_domain(&mut self, domain: usize) {
        self.lost[domain] = true;
        for target in 0..self.servers.len() {
            if self.model.target_domains[target] == domain {
                self.silence(target);
            }
        }
        for job in 0..self.jobs.len() {
            let (host, target) = (self.jobs[job].host, self.jobs[job].target);
            let split = (self.hosts[host].domain == domain)
                != (self.model.target_domains[target] == domain);
            if split && !self.jobs[job].closed {
                self.sever(job);
            }
        }
        let at = self.now + self.model.times.balancer_ms;
        self.events.schedule(at, SimEvent::Change(Change::Avoid(domain)));
    }

    /// Reconnects a failure domain; its targets start with empty caches.
    pub fn restore_domain(&mut self, domain: usize) {
        self.lost[domain] = false;
        self.set_avoided(domain, false);
        for target in 0..self.servers.len() {
            if self.model.target_domains[target] == domain {
                self.servers[target].health = Health::Up;
            }
        }
    }
}
