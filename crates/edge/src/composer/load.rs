//! Tells other hosts the load of the services that this host composes calls for.

use base::{Ms, PoolId};
use sched::admission::load::ServiceLoad;
use sched::offload::CROSS_REGION_COST;
use wire::{StageLoad, StageLoads};

use super::offload::LOAD_MAX_AGE;
use super::{Composer, lock};
use crate::loads;
use crate::members::Owner;

impl Composer {
    /// The load of each service that runs stages.
    pub(super) fn loads(&self) -> StageLoads {
        let Some(catalog) = self.core.catalog() else { return StageLoads::default() };
        let staged = catalog.services().filter(|s| s.batch.is_some());
        StageLoads { loads: staged.filter_map(|s| self.load(&s.name)).collect() }
    }

    /// The expected wait for a call of a service, if this host composed it, and its load if it
    /// does; none without a target.
    pub(super) fn load(&self, name: &PoolId) -> Option<StageLoad> {
        let now = self.core.clock.now();
        let service = lock(&self.services).get(name).cloned();
        let (wait, load) = match service {
            Some(service) => {
                let state = lock(&service.state);
                (state.batcher.wait(now)?, state.batcher.load(now))
            }
            None if self.core.links().of(name).is_empty() => return None,
            None => (Ms::ZERO, None),
        };
        let mut message =
            StageLoad { service: name.as_str().to_owned(), wait_ms: wait.0, ..Default::default() };
        let settings = self.core.settings();
        let owner = self.core.members.owner(&settings, name, settings.region());
        if let (Some(load), Some(Owner::Me)) = (load, owner) {
            let load = ServiceLoad { elsewhere: self.elsewhere(now, name), ..load };
            loads::add(&mut message, settings.region(), &load);
        }
        Some(message)
    }

    /// The shortest known wait in another region, with the cost of passing work on to it.
    fn elsewhere(&self, now: Ms, name: &PoolId) -> Option<Ms> {
        let known = lock(&self.region_loads);
        let usable =
            known.iter().filter(|((s, _), (at, _))| s == name && now - *at <= LOAD_MAX_AGE);
        usable.map(|(_, (_, wait))| *wait + CROSS_REGION_COST).min()
    }
}
