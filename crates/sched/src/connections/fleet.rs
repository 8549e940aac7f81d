//! The number of hosts that share what a target accepts.
//!
//! The share of a host that dies goes to the others. Hosts that are cut off can't be told from dead
//! ones by their heartbeats, but their shares are still in use. Hosts count as cut off if all hosts
//! of a failure domain, or all other hosts, are out of sight.

use base::{DomainId, Ms};
use std::collections::HashMap;

/// Time for which hosts out of sight count: longer than an ordinary loss of connection between
/// failure domains lasts.
const RETENTION: Ms = Ms::secs(600);

/// The hosts of each failure domain.
#[derive(Debug, Default)]
pub struct FleetSize {
    domains: HashMap<DomainId, (u32, Ms)>,
}

impl FleetSize {
    /// Records the live hosts, each given by its failure domain, this host included.
    pub fn see<'a>(&mut self, now: Ms, hosts: impl Iterator<Item = &'a DomainId>) {
        let mut live: HashMap<&DomainId, u32> = HashMap::new();
        for domain in hosts {
            *live.entry(domain).or_default() += 1;
        }
        let alone = live.values().sum::<u32>() <= 1;
        for (domain, count) in live {
            match self.domains.get_mut(domain) {
                // This host is more likely cut off than the only one left.
                Some((_, at)) if alone && now - *at <= RETENTION => {}
                Some(known) => *known = (count, now),
                None => drop(self.domains.insert(domain.clone(), (count, now))),
            }
        }
        self.domains.retain(|_, (_, at)| now - *at <= RETENTION);
    }

    /// Number of hosts, at least one.
    pub fn hosts(&self) -> u32 {
        self.domains.values().map(|(count, _)| count).sum::<u32>().max(1)
    }
}
