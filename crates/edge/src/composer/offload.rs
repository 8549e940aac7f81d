//! Passes stage work on to other regions that can start it much sooner.
//!
//! The composer of a service polls the composers of that service in other regions for their load.

use base::{Ms, PoolId, RegionId};
use catalog::Residency;
use sched::budget::Spender;
use sched::offload;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{PieceFault, PieceResult, StageResults, StageWork};

use super::submission::residency;
use super::{Composer, lock};
use crate::loads;
use crate::members::Owner;
use crate::remote::{self, RemoteFault};
use crate::unread::Retries;

/// Age up to which another region's load is used.
pub(super) const LOAD_MAX_AGE: Ms = Ms(1_000);
/// Interval at which the loads of other regions are polled: half the duration of a call.
const POLL_INTERVAL: Ms = Ms(200);

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
        let batch = self.core.catalog()?.service(service)?.batch.clone()?;
        let local = lock(&self.services).get(service).cloned();
        let settings = self.core.settings();
        let residency = residency(work);
        let here = match local {
            _ if !residency.allows(settings.region()) => None,
            Some(service) => lock(&service.state).batcher.wait(now),
            None => (!self.target_infos(service).is_empty()).then_some(Ms::ZERO),
        };
        let stage =
            offload::Stage { pieces: u64::from(work.pieces), bytes: work.bytes, reads: work.reads };
        let better = {
            let loads = lock(&self.region_loads);
            let usable =
                loads.iter().filter(|((s, _), (at, _))| s == service && now - *at <= LOAD_MAX_AGE);
            let usable = usable.filter(|((_, region), _)| residency.allows(region));
            let usable = usable.map(|((_, region), (_, wait))| (region.clone(), *wait));
            offload::choose_region(stage, here, usable)
        };
        let region = match (better, here) {
            (Some(region), _) => region,
            (None, Some(_)) => return None,
            // No usable target here and no load of another region known yet: any region with a
            // target will do.
            (None, None) => self.region_with_target(service, &work.request, &residency)?,
        };
        if let Some((_, wait)) =
            lock(&self.region_loads).get_mut(&(service.clone(), region.clone()))
        {
            // The polled load doesn't include the work that is passed on now.
            *wait += Ms((batch.call_ms * f64::from(work.pieces) / batch.size as f64) as u64);
        }
        match self.core.members.owner(&settings, service, &region)? {
            Owner::Me => None,
            owner => Some((region, owner)),
        }
    }

    /// The region of a target that the request may use, picked by a hash of the request.
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

    /// Has the composer of another region make the stage; none if this host should make it instead.
    pub(super) async fn pass_on(
        &self,
        service: &PoolId,
        region: &RegionId,
        owner: Owner,
        work: &StageWork,
    ) -> Option<StageResults> {
        let Owner::Peer { host, addr } = owner else { return None };
        self.core.metrics.passed_on(service.as_str());
        match remote::submit(&self.core, &host, addr, work.clone()).await {
            Ok(mut results) if !results.results.is_empty() => {
                results.owner = addr.to_string();
                Some(results)
            }
            Ok(_) => None,
            // The work has expired: there is no time left to make it here either.
            Err(RemoteFault::Late) => Some(StageResults::default()),
            Err(fault) => {
                lock(&self.region_loads).remove(&(service.clone(), region.clone()));
                let pieces = work.pieces as usize;
                let retries = Retries::new(&self.core, service, Spender::Submitters);
                match fault == RemoteFault::Unreachable || retries.take_all(pieces) {
                    true => None,
                    false => Some(failed(pieces)),
                }
            }
        }
    }

    /// Polls the other regions for their loads of the services that this host composes.
    pub(crate) async fn poll_region_loads(self: Arc<Self>) {
        loop {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
            let names: Vec<PoolId> = lock(&self.services).keys().cloned().collect();
            // This host's own loads reach its admission like those of others.
            let own = names.iter().filter_map(|name| self.load(name));
            loads::record(&self.core, &own.collect::<Vec<_>>());
            let settings = self.core.settings().clone();
            self.note_owners();
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
                        tokio::spawn(self.clone().fetch_load(
                            name.clone(),
                            (*region).clone(),
                            addr,
                        ));
                    }
                }
            }
        }
    }

    async fn fetch_load(self: Arc<Self>, name: PoolId, region: RegionId, addr: SocketAddr) {
        let Ok(answer) = self.core.members.peers().loads(addr).await else {
            lock(&self.region_loads).remove(&(name, region));
            return;
        };
        loads::record(&self.core, &answer.loads);
        let now = self.core.clock.now();
        let found = answer.loads.iter().find(|l| l.service == name.as_str());
        let mut region_loads = lock(&self.region_loads);
        match found {
            Some(load) => drop(region_loads.insert((name, region), (now, Ms(load.wait_ms)))),
            None => drop(region_loads.remove(&(name, region))),
        }
    }
}

/// The results of a stage that the other region may have made and that may not be made again.
fn failed(pieces: usize) -> StageResults {
    let failed = PieceResult { fault: PieceFault::Failed.into(), ..PieceResult::default() };
    StageResults { results: vec![failed; pieces], ..StageResults::default() }
}
