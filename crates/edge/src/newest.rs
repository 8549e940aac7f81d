//! Asks other hosts for the newest configuration before a host that has just started serves anybody.
//!
//! A store that has come back from an older copy has lost what it had acknowledged, until it is written
//! again. A host that starts meanwhile reads an older configuration there, with keys that have been
//! taken away since. Hosts that ran before hold the newer one. In the store's first era nothing can have
//! been lost, and nobody is asked.

use base::Ms;
use peer::ViewHost;
use std::sync::Arc;

use crate::core::Core;
use crate::directory::Directory;
use crate::{shared, source};

/// The era in which a store is that has never come back from a copy.
const FIRST_ERA: u64 = 1;
/// Time after the start by which a host knows others.
const JOIN_TIME: Ms = Ms(1_000);
/// Time for which others are asked in vain. After it, nobody is there who could know more.
const ASK_TIME: Ms = Ms(2_000);
/// Interval between two rounds.
const ASK_INTERVAL: Ms = Ms(100);
/// Number of hosts that are asked in a round: some may have started as lately as this one.
const ASKED: usize = 6;

/// Finds out the newest configuration that any host holds.
pub(crate) async fn find(core: Arc<Core>, directory: Arc<dyn Directory>) {
    let begun = core.clock.now();
    let mut changed = core.changed.subscribe();
    while core.era().is_none() {
        let _ = tokio::time::timeout(ASK_INTERVAL.duration(), changed.changed()).await;
    }
    if core.era() > Some(FIRST_ERA) {
        tokio::time::sleep((begun + JOIN_TIME - core.clock.now()).duration()).await;
        let end = core.clock.now() + ASK_TIME;
        while !ask_some(&core, directory.as_ref()).await && core.clock.now() < end {
            tokio::time::sleep(ASK_INTERVAL.duration()).await;
        }
    }
    core.set_newest_asked();
}

/// Asks some hosts. Returns whether any has answered.
async fn ask_some(core: &Arc<Core>, directory: &dyn Directory) -> bool {
    let hosts = core.members.hosts();
    let mut others: Vec<&ViewHost> =
        hosts.iter().filter(|h| h.host != *core.members.me()).collect();
    let draw = core.draw().to_le_bytes();
    others.sort_by_cached_key(|h| base::hash_parts(&[&draw, h.host.as_str().as_bytes()]));
    others.truncate(ASKED);
    let asked = others.into_iter().map(|host| async {
        let sent = core.clock.now();
        let query = source::store_query(core, Ms::ZERO);
        let news = core.members.peers().store(host.address, query).await.ok()?;
        shared::apply(core, directory, sent, news).ok()
    });
    futures::future::join_all(asked).await.iter().any(Option::is_some)
}
