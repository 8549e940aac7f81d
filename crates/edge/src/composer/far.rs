//! Stage work for other regions: their loads, and what is passed on to them.

use base::{Ms, PoolId, RegionId};
use catalog::Residency;
use sched::offload;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{StageResults, StageWork};

use super::submission::residency;
use super::{Composer, lock};
use crate::members::Owner;
use crate::remote::{self, Missed};

/// Age up to which another region's load is believed, ms.
const LOAD_AGE: Ms = Ms(1_000);
/// Time between looks at the other regions, ms: half the time of a call.
const FAR_LOOK: Ms = Ms(200);

impl Composer {
    /// A region that can start the stage much sooner than this one.
    pub(super) fn better_region(
        &self,
        service: &PoolId,
        work: &StageWork,
    ) -> Option<(RegionId, Owner)> {
        if work.passed_on {
            return None;
        }
        let now = self.core.clock.now();
        let shape = self.core.catalog()?.service(service)?.batch.clone()?;
        let known = lock(&self.services).get(service).cloned();
        let settings = self.core.settings();
        let residency = residency(work);
        let here = match known {
            _ if !residency.allows(settings.region()) => None,
            Some(service) => lock(&service.state).batcher.wait(now),
            None => (!self.places(service).is_empty()).then_some(Ms::ZERO),
        };
        let stage =
            offload::Stage { pieces: u64::from(work.pieces), bytes: work.bytes, reads: work.reads };
        let better = {
            let far = lock(&self.far);
            let known =
                far.iter().filter(|((s, _), (at, _))| s == service && now - *at <= LOAD_AGE);
            let known = known.filter(|((_, region), _)| residency.allows(region));
            let known = known.map(|((_, region), (_, wait))| (region.clone(), *wait));
            offload::better(stage, here, known)
        };
        let region = match (better, here) {
            (Some(region), _) => region,
            (None, Some(_)) => return None,
            // Nothing here, and no word of the others yet: any that has a target.
            (None, None) => self.region_with_target(service, &work.request, &residency)?,
        };
        if let Some((_, wait)) = lock(&self.far).get_mut(&(service.clone(), region.clone())) {
            // What goes there now is not in its load yet.
            *wait += Ms((shape.call_ms * f64::from(work.pieces) / shape.size as f64) as u64);
        }
        match self.core.members.owner(&settings, service, &region)? {
            Owner::Me => None,
            owner => Some((region, owner)),
        }
    }

    fn region_with_target(
        &self,
        service: &PoolId,
        request: &str,
        residency: &Residency,
    ) -> Option<RegionId> {
        let links = self.core.links();
        let settings = self.core.settings();
        let targets = links.of(service).iter().filter(|l| self.core.allows(residency, l));
        let targets: Vec<_> = targets.collect();
        let draw = base::hash_parts(&[request.as_bytes()]) as usize % targets.len().max(1);
        settings.region_of(&targets.get(draw)?.entry.domain).cloned()
    }

    pub(super) async fn pass_on(
        &self,
        service: &PoolId,
        region: &RegionId,
        owner: Owner,
        work: &StageWork,
    ) -> Option<StageResults> {
        let Owner::Peer { host, addr } = owner else { return None };
        self.core.metrics.passed_on(service.as_str());
        match remote::make(&self.core, &host, addr, work.clone()).await {
            Ok(mut results) if !results.results.is_empty() => {
                results.owner = addr.to_string();
                Some(results)
            }
            Ok(_) => None,
            // The time is over: nothing is made here either.
            Err(Missed::Late) => Some(StageResults::default()),
            Err(Missed::Lost) => {
                lock(&self.far).remove(&(service.clone(), region.clone()));
                None
            }
        }
    }

    /// Asks the other regions for their loads of the services that this host composes.
    pub(crate) async fn poll_region_loads(self: Arc<Self>) {
        loop {
            tokio::time::sleep(FAR_LOOK.duration()).await;
            let names: Vec<PoolId> = lock(&self.services).keys().cloned().collect();
            let settings = self.core.settings().clone();
            let mut regions: Vec<&RegionId> =
                settings.domains.values().filter(|r| *r != settings.region()).collect();
            regions.sort();
            regions.dedup();
            for name in &names {
                let mine = self.core.members.owner(&settings, name, settings.region());
                if mine != Some(Owner::Me) {
                    continue;
                }
                for region in &regions {
                    let owner = self.core.members.owner(&settings, name, region);
                    if let Some(Owner::Peer { addr, .. }) = owner {
                        tokio::spawn(self.clone().ask_far(name.clone(), (*region).clone(), addr));
                    }
                }
            }
        }
    }

    async fn ask_far(self: Arc<Self>, name: PoolId, region: RegionId, addr: SocketAddr) {
        let Ok(loads) = self.core.members.peers().loads(addr).await else {
            lock(&self.far).remove(&(name, region));
            return;
        };
        let now = self.core.clock.now();
        let found = loads.loads.iter().find(|l| l.service == name.as_str());
        let mut far = lock(&self.far);
        match found {
            Some(load) => drop(far.insert((name, region), (now, Ms(load.wait_ms)))),
            None => drop(far.remove(&(name, region))),
        }
    }
}
