//! Who takes over from a host that is gone, and how its starts are told apart.

use base::{HostId, PoolId, RegionId};
use peer::ViewHost;
use std::net::SocketAddr;
use wire::Holder;

use super::{Members, Owner};
use crate::settings::Settings;

impl Members {
    /// The host that composes the calls of a service in a region if the one at `gone` does not.
    pub(crate) fn successor(
        &self,
        settings: &Settings,
        service: &PoolId,
        region: &RegionId,
        gone: SocketAddr,
    ) -> Option<Owner> {
        let in_region = |h: &ViewHost| settings.region_of(&h.domain) == Some(region);
        self.pick(service.as_str().as_bytes(), |h| in_region(h) && h.address != gone)
    }

    /// The incarnation of a host; none if it is dead or was never heard of.
    pub(crate) fn incarnation(&self, host: &HostId) -> Option<u64> {
        self.view.incarnation(host)
    }

    /// This host, as the holder of the results of its requests.
    pub(crate) fn as_holder(&self) -> Option<Holder> {
        let start = self.incarnation(&self.me)?;
        Some(Holder { host: self.me.as_str().to_owned(), start })
    }
}
