//! Signs of life of the hosts that this one waits for.
//!
//! A host that freezes, or is cut off without a reset, leaves its callers waiting for results for
//! as long as their deadlines allow. So whoever waits asks regularly for a sign of life, once for
//! all that wait for the same host, on the connection that the results come on.

use base::Ms;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

use crate::core::Core;

/// Time between signs of life of a host that others wait for, ms.
const EVERY: Ms = Ms(250);
/// Missed signs of life after which it is lost: one may be lost or late.
const MISSED: u32 = 2;

/// Asked hosts, as long as somebody waits for them.
#[derive(Default)]
pub(crate) struct LivenessProbes {
    asked: Arc<Mutex<HashMap<SocketAddr, watch::Sender<()>>>>,
}

impl LivenessProbes {
    /// Ends when the host at `addr` missed [`MISSED`] signs of life in a row.
    pub(crate) async fn lost(&self, core: &Arc<Core>, addr: SocketAddr) {
        let mut lost = self.join(core, addr);
        // An error says that the asking has ended, which it does only when the host is lost.
        let _ = lost.changed().await;
    }

    fn join(&self, core: &Arc<Core>, addr: SocketAddr) -> watch::Receiver<()> {
        let mut asked = lock(&self.asked);
        if let Some(sender) = asked.get(&addr) {
            return sender.subscribe();
        }
        let (sender, receiver) = watch::channel(());
        asked.insert(addr, sender);
        tokio::spawn(ask(core.clone(), self.asked.clone(), addr));
        receiver
    }
}

/// Asks until nobody waits or the host is lost. Either way it takes itself out first.
async fn ask(
    core: Arc<Core>,
    asked: Arc<Mutex<HashMap<SocketAddr, watch::Sender<()>>>>,
    addr: SocketAddr,
) {
    let peers = core.members.peers();
    let mut misses = 0;
    loop {
        tokio::time::sleep(EVERY.duration()).await;
        {
            let mut asked = lock(&asked);
            if asked.get(&addr).is_none_or(|sender| sender.receiver_count() == 0) {
                asked.remove(&addr);
                return;
            }
        }
        match peers.loads(addr).await {
            Ok(_) => misses = 0,
            Err(_) => misses += 1,
        }
        if misses >= MISSED {
            if let Some(sender) = lock(&asked).remove(&addr) {
                sender.send_replace(());
            }
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
