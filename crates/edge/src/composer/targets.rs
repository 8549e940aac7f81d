//! Which targets this host composes calls for.

use base::{PoolId, RegionId};
use sched::batch::{Event, TargetInfo};
use std::sync::Arc;

use super::{Composer, Service};
use crate::links::Link;

impl Composer {
    /// Passes a batcher its targets and the number of live hosts, which share its slack of retries.
    pub(super) fn refresh(self: &Arc<Self>, service: &Arc<Service>) {
        self.feed(service, Event::Hosts(self.core.members.hosts().len()));
        self.feed(service, Event::Targets(self.target_infos(&service.name)));
        if self.takes_over(&service.name) {
            self.feed(service, Event::TakenOver);
        }
        self.check_holders(service);
        self.publish_usage(service);
    }

    /// Targets of a service that this host composes calls for: those of its own region, and those
    /// of regions where no other host composes for them. If its own region has targets, the ones
    /// elsewhere are reserved for pieces that may not be made in any nearer region.
    ///
    /// No target may have two composers: each would assume that the target's call slots and its
    /// room for results are its own, and calls would be rejected or fail for lack of room.
    pub(super) fn target_infos(&self, service: &PoolId) -> Vec<TargetInfo> {
        let links = self.core.links();
        let settings = self.core.settings();
        let targets: Vec<(&Arc<Link>, Option<&RegionId>)> =
            links.of(service).iter().map(|l| (l, settings.region_of(&l.entry.domain))).collect();
        let near = |region: Option<&RegionId>| region == Some(settings.region());
        let any_near = targets.iter().any(|(_, region)| near(*region));
        let composed = |region: Option<&RegionId>| match region {
            Some(region) => !self.core.members.peer_composes(&settings, service, region),
            None => !any_near,
        };
        let mine = targets.into_iter().filter(|(_, region)| near(*region) || composed(*region));
        let place = |(link, region): (&Arc<Link>, Option<&RegionId>)| TargetInfo {
            id: link.entry.id.clone(),
            born: link.entry.born,
            domain: link.entry.domain.clone(),
            region: region.cloned(),
            reserved: any_near && !near(region),
        };
        mine.map(place).collect()
    }
}
