//! Frees the results of hosts that are gone.

use base::{HostId, Ms};
use logs::note;
use peer::PeerError;
use sched::holders::Holder;
use std::sync::Arc;

use super::{Composer, Service, lock};

/// Time after a connection was closed within which its host may open another: a client that closed
/// an unresponsive connection opens one for its next call.
const RETURN_TIME: Ms = Ms(250);

/// The host that holds the results of submitted work.
pub(super) fn holder(holder: wire::Holder) -> Holder {
    Holder { host: HostId::from(holder.host), start: holder.start }
}

impl Composer {
    /// Frees the results of the hosts that the membership names as gone or restarted.
    pub(super) fn check_holders(self: &Arc<Self>, service: &Arc<Service>) {
        let now = self.core.clock.now();
        let start = |host: &HostId| self.core.members.incarnation(host);
        let gone = lock(&service.state).holders.gone(now, start);
        gone.iter().for_each(|holder| self.free_held(service, holder));
    }

    /// Frees the results of a host whose connection was closed, unless the host still accepts
    /// connections. If it doesn't answer at all, the link may be cut: then its results stay until
    /// the membership names it as gone, or they expire.
    pub(super) async fn disconnected(self: &Arc<Self>, holder: Holder) {
        tokio::time::sleep(RETURN_TIME.duration()).await;
        let services: Vec<Arc<Service>> = lock(&self.services).values().cloned().collect();
        let holds = |service: &Arc<Service>| lock(&service.state).holders.holds(&holder);
        let services: Vec<Arc<Service>> = services.into_iter().filter(holds).collect();
        let hosts = self.core.members.hosts();
        let Some(host) = hosts.iter().find(|h| h.host == holder.host) else { return };
        if services.is_empty() {
            return;
        }
        let asked = self.core.members.peers().loads(host.address).await;
        if matches!(asked, Err(PeerError::Unreachable | PeerError::Broken)) {
            services.iter().for_each(|service| self.free_held(service, &holder));
        }
    }

    fn free_held(self: &Arc<Self>, service: &Arc<Service>, holder: &Holder) {
        let (results, bytes) = lock(&service.state).holders.take(holder);
        if results.is_empty() {
            return;
        }
        note!(
            logs::Event::HolderGone,
            service = %service.name,
            host = %holder.host,
            results = results.len(),
            bytes
        );
        let freed = results.into_iter().map(|r| (r.target, r.handle)).collect();
        self.free_results(service, freed);
    }
}
