//! Keeps the hosts that may exist, whether or not they are reachable.
//!
//! A limit that all hosts share has to hold on both sides of a network partition taken together. If
//! each side divided the limit among the hosts that it still sees, both together would send a
//! multiple of it. So a host that is no longer seen keeps its share for some minutes: it may still
//! be sending where this side can't see it.

use base::{DomainId, HostId, Ms};
use std::collections::HashMap;

/// Time for which a host counts after it was last seen: longer than an ordinary loss of connection
/// between failure domains lasts.
const RETENTION: Ms = Ms::secs(600);
/// Time after the start for which the view of the other hosts is taken to be incomplete. After it,
/// this host has heard of all hosts that it can reach, and others that start at the same time know
/// of it.
const STARTUP_TIME: Ms = Ms::secs(4);

/// The hosts that were seen, with the time when each was last alive.
#[derive(Debug)]
pub struct Roster {
    started: Ms,
    /// Whether there should be other hosts.
    expects_peers: bool,
    seen: HashMap<HostId, (DomainId, Ms)>,
}

impl Roster {
    /// An empty roster. `expects_peers` tells whether the settings name other hosts.
    pub fn new(now: Ms, expects_peers: bool) -> Self {
        Self { started: now, expects_peers, seen: HashMap::new() }
    }

    /// Records that these hosts are alive.
    pub fn see<'a>(&mut self, now: Ms, hosts: impl Iterator<Item = (&'a HostId, &'a DomainId)>) {
        for (host, domain) in hosts {
            match self.seen.get_mut(host) {
                Some((_, at)) => *at = now,
                None => drop(self.seen.insert(host.clone(), (domain.clone(), now))),
            }
        }
        self.seen.retain(|_, (_, at)| now - *at <= RETENTION);
    }

    /// The hosts of a failure domain, including those lost recently; none while the view may be
    /// incomplete, because a share among too few hosts would be too large.
    pub fn of(&self, now: Ms, domain: &DomainId) -> Option<Vec<&HostId>> {
        let alone = self.expects_peers && self.seen.len() < 2;
        if alone || now - self.started < STARTUP_TIME {
            return None;
        }
        Some(self.seen.iter().filter(|(_, (d, _))| d == domain).map(|(h, _)| h).collect())
    }
}
