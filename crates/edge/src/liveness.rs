//! Probes the hosts whose results this host waits for, to detect their loss.
//!
//! If a host freezes, or is cut off without a connection reset, the requests that wait for its
//! results would wait as long as their deadlines allow. So a host is probed regularly while anybody
//! waits for it, with one probe for all waiters, on the connection on which the results arrive.

use base::Ms;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

use crate::core::Core;
use crate::loads;

/// Interval between probes of a host.
const PROBE_INTERVAL: Ms = Ms(250);
/// Number of failed probes in a row after which a host counts as lost. A single response may be
/// lost or late.
const MAX_MISSES: u32 = 2;

/// The hosts that are probed, each as long as somebody waits for it.
#[derive(Default)]
pub(crate) struct LivenessProbes {
    probed: Arc<Mutex<HashMap<SocketAddr, watch::Sender<()>>>>,
}

impl LivenessProbes {
    /// Completes when the host at `addr` has failed [`MAX_MISSES`] probes in a row.
    pub(crate) async fn lost(&self, core: &Arc<Core>, addr: SocketAddr) {
        let mut lost = self.subscribe(core, addr);
        // The probing ends while this receiver exists only if the host is lost, so an error says
        // the same as a change.
        let _ = lost.changed().await;
    }

    fn subscribe(&self, core: &Arc<Core>, addr: SocketAddr) -> watch::Receiver<()> {
        let mut probed = lock(&self.probed);
        if let Some(sender) = probed.get(&addr) {
            return sender.subscribe();
        }
        let (sender, receiver) = watch::channel(());
        probed.insert(addr, sender);
        tokio::spawn(probe(core.clone(), self.probed.clone(), addr));
        receiver
    }
}

/// Probes a host until nobody waits for it or it is lost. Removes its entry before it returns.
async fn probe(
    core: Arc<Core>,
    probed: Arc<Mutex<HashMap<SocketAddr, watch::Sender<()>>>>,
    addr: SocketAddr,
) {
    let peers = core.members.peers();
    let mut misses = 0;
    loop {
        tokio::time::sleep(PROBE_INTERVAL.duration()).await;
        {
            let mut probed = lock(&probed);
            if probed.get(&addr).is_none_or(|sender| sender.receiver_count() == 0) {
                probed.remove(&addr);
                return;
            }
        }
        match peers.loads(addr).await {
            Ok(answer) => {
                loads::record(&core, &answer.loads);
                misses = 0;
            }
            Err(_) => misses += 1,
        }
        if misses >= MAX_MISSES {
            if let Some(sender) = lock(&probed).remove(&addr) {
                sender.send_replace(());
            }
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
