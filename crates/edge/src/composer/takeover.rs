//! Detects when this host takes a service over from another composer, whose results may still be at
//! the targets.

use base::PoolId;

use super::{Composer, lock};
use crate::members::Owner;

impl Composer {
    /// Records which services another host composes in this region.
    pub(super) fn note_owners(&self) {
        let Some(catalog) = self.core.catalog() else { return };
        let (settings, now) = (self.core.settings(), self.core.clock.now());
        for service in catalog.services().filter(|s| s.batch.is_some()) {
            let owner = self.core.members.owner(&settings, &service.name, settings.region());
            if matches!(owner, Some(Owner::Peer { .. })) {
                lock(&self.other_owners).insert(service.name.clone(), now);
            }
        }
    }

    /// Whether this host composes a service that another composed until now, whose results have not
    /// all expired. Returns true once for each time that this happens. A host that has just started
    /// has seen no other composer, so hosts that start together request no reports for this reason.
    pub(super) fn takes_over(&self, service: &PoolId) -> bool {
        let settings = self.core.settings();
        let owner = self.core.members.owner(&settings, service, settings.region());
        let Some(batch) = self.batch_config(service) else { return false };
        let now = self.core.clock.now();
        let mut others = lock(&self.other_owners);
        match owner {
            Some(Owner::Peer { .. }) => {
                others.insert(service.clone(), now);
                false
            }
            _ => others.remove(service).is_some_and(|at| now - at < batch.result_ttl),
        }
    }
}
