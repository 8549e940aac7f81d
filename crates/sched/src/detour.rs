//! Chooses the hosts through which a host that can't reach a target connects to it.
//!
//! They are tried near the target first, since a cut often takes whole failure domains, and among
//! equals in an order of the target's own (rendezvous hashing), so that the load of a cut host is
//! spread over all others. Most of a failure domain may be cut off together: a host that could not
//! help is asked last for a while. Without that, each connection would wait for the same hosts that
//! are cut off as well.

use base::{HostId, Ms};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Hosts that are asked for one connection. Each may take a connect time-out, and a caller waits.
const MAX_HOSTS: usize = 2;
/// Time for which a host that could not help is asked last.
const AVOID_TIME: Ms = Ms(2_000);

/// Where a host is, as seen from the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// In its failure domain.
    Domain,
    /// In its region.
    Region,
    /// In another region.
    Far,
}

/// The hosts that could not help lately.
#[derive(Debug, Default)]
pub struct Detours {
    failed: HashMap<HostId, Ms>,
}

impl Detours {
    /// Records that a host could not help.
    pub fn failed(&mut self, now: Ms, host: &HostId) {
        self.failed.retain(|_, at| now - *at <= AVOID_TIME);
        self.failed.insert(host.clone(), now);
    }

    /// The hosts to ask for a connection to a target, in this order. Candidates are given with
    /// their names and places.
    pub fn choose<'a, T>(
        &self,
        now: Ms,
        target: &str,
        candidates: impl Iterator<Item = (T, &'a HostId, Place)>,
    ) -> Vec<T> {
        let avoided = |h: &HostId| self.failed.get(h).is_some_and(|at| now - *at <= AVOID_TIME);
        let hash = |h: &HostId| base::hash_parts(&[target.as_bytes(), h.as_str().as_bytes()]);
        let mut ranked: Vec<_> = candidates
            .map(|(item, host, place)| ((avoided(host), place, Reverse(hash(host))), item))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().take(MAX_HOSTS).map(|(_, item)| item).collect()
    }
}
