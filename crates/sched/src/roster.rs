//! *Roster*: the hosts that there may be, alive or not.
//!
//! Answers: a cut through the fleet, on each side of which a limit that all hosts share must hold
//! together with the other side. Without it each side divides the limit among the hosts that it
//! still sees, and both together send a multiple. A host that is lost keeps its share for
//! some minutes: it may go on sending where nobody here can see it.

use base::{DomainId, HostId, Ms};
use std::collections::HashMap;

/// Time for which a host that isn't seen any more counts, ms: longer than links between failure
/// domains stay cut on an ordinary day.
const KEEP: Ms = Ms::secs(600);
/// Time from the start until a host takes its view of the others to be complete, ms: by then it has
/// heard of all that it reaches, and those that wait for the same know of it.
const SETTLE: Ms = Ms::secs(4);

/// The hosts that were seen.
#[derive(Debug)]
pub struct Roster {
    begun: Ms,
    /// Whether there should be other hosts.
    expects: bool,
    seen: HashMap<HostId, (DomainId, Ms)>,
}

impl Roster {
    /// Nobody seen. `expects` says that the settings name other hosts.
    pub fn new(now: Ms, expects: bool) -> Self {
        Self { begun: now, expects, seen: HashMap::new() }
    }

    /// These hosts are alive.
    pub fn see<'a>(&mut self, now: Ms, hosts: impl Iterator<Item = (&'a HostId, &'a DomainId)>) {
        for (host, domain) in hosts {
            match self.seen.get_mut(host) {
                Some((_, at)) => *at = now,
                None => drop(self.seen.insert(host.clone(), (domain.clone(), now))),
            }
        }
        self.seen.retain(|_, (_, at)| now - *at <= KEEP);
    }

    /// The hosts of a failure domain, those lately lost included; none while the view may be
    /// incomplete, since a share of too few would be too large.
    pub fn of(&self, now: Ms, domain: &DomainId) -> Option<Vec<&HostId>> {
        let alone = self.expects && self.seen.len() < 2;
        if alone || now - self.begun < SETTLE {
            return None;
        }
        Some(self.seen.iter().filter(|(_, (d, _))| d == domain).map(|(h, _)| h).collect())
    }
}
