//! Simulated calls from hosts to the platform and to targets.

use base::{Ms, TargetId, Version};
use gossip::Event;
use store::StoreError;
use wire::{CacheEvents, LoadReport, ObjectList};

use crate::mesh::{Mesh, PLATFORM_LATENCY_MS, Scheduled};
use crate::platform::Waiter;

impl Mesh {
    pub(crate) fn platform_call(&mut self, waiter: Waiter, wait: Option<Ms>) {
        self.platform.calls += 1;
        let faults = self.platform.faults.clone();
        let reachable = self.hosts[waiter.host].platform_reachable;
        match wait {
            _ if faults.unresponsive => {}
            _ if faults.down || !reachable => self.read(waiter, Err(StoreError::Down)),
            _ if faults.busy => {
                self.read(waiter, Err(StoreError::Busy { retry_after: Ms::secs(1) }));
            }
            None => {
                let list = self.platform.list(waiter.kind, Version(0));
                self.read(waiter, Ok(list));
            }
            Some(wait) => {
                self.platform.waiters.push(waiter);
                self.schedule(self.now + wait, Scheduled::WatchEnd { waiter });
                for (waiter, list) in self.platform.ready() {
                    self.read(waiter, Ok(list));
                }
            }
        }
    }

    pub(crate) fn read(&mut self, waiter: Waiter, result: Result<ObjectList, StoreError>) {
        let Waiter { host, run, call, kind, .. } = waiter;
        if result.is_ok() && !self.hosts[host].platform_reachable {
            // The link was cut while the watch waited, so its answer is lost.
            return;
        }
        let event = Event::Listed { call, kind, result };
        let at = self.now + PLATFORM_LATENCY_MS + self.platform.faults.slow;
        self.schedule(at, Scheduled::Event { host, run, event });
    }

    pub(crate) fn poll(&mut self, target: &TargetId) -> Event {
        let name = target.to_string();
        let known = self.targets.get_mut(&name);
        let report = known.map(|t| {
            t.polls += 1;
            LoadReport {
                target: name,
                running: t.running,
                queued: t.queued,
                leaving: t.leaving,
                ..LoadReport::default()
            }
        });
        let events = report.as_ref().map(|_| CacheEvents::default());
        Event::Polled { target: target.clone(), report, events }
    }
}
