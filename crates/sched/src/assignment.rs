//! Assigns work that one host does for many others.
//!
//! One host composes the stage calls of a region, and one host reads the store for its failure
//! domain. In a fleet of a few large hosts and many small ones, an assignment that ignores size
//! gives this work to a small host nine times in ten; its processor and network link then limit the
//! throughput of all its peers. So only hosts that are large enough are considered.
//!
//! All hosts that see the same members choose the same host, and as few assignments as possible
//! move when hosts join or leave: the choice is made by rendezvous hashing.
//!
//! Which hosts to send a notification to is a similar choice: [`recipients`] spreads it evenly.

use base::{HostId, hash_parts, rendezvous};

/// Capacity that a host needs to be assigned work, in percent of the largest host's capacity. At
/// half, hosts of about the same size share the work, and the loss of one of several large hosts
/// moves few assignments.
const MIN_CAPACITY_PERCENT: u64 = 50;

/// The host to which the work named by `key` is assigned; none if there are no hosts.
///
/// `capacity` is a host's processing power in any unit, 0 if it is not known.
pub fn assignee<'a, T>(
    key: &[u8],
    hosts: &[&'a T],
    name: impl Fn(&T) -> &str,
    capacity: impl Fn(&T) -> u32,
) -> Option<&'a T> {
    let largest = hosts.iter().map(|h| capacity(h)).max()?;
    let large = |h: &&&T| u64::from(capacity(h)) * 100 >= u64::from(largest) * MIN_CAPACITY_PERCENT;
    rendezvous(key, hosts.iter().filter(large), |h| name(h)).copied()
}

/// Number of `hosts` that come before `me` in the order of hosts that `key` determines; none if
/// `me` is not one of them. Limits for all hosts together are shared by the first few hosts of this
/// order.
pub fn position<'a>(
    key: &str,
    me: &HostId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<u32> {
    let score = |host: &HostId| hash_parts(&[key.as_bytes(), host.as_str().as_bytes()]);
    let mine = (score(me), me);
    let (mut before, mut found) = (0, false);
    for host in hosts {
        found |= host == me;
        before += u32::from((score(host), host) < mine);
    }
    found.then_some(before)
}

/// At most `most` hosts to which `me` sends a notification. Different senders choose different
/// hosts, so that no host hears from a whole fleet while others hear nothing.
pub fn recipients<'a, T>(
    me: &str,
    hosts: &[&'a T],
    name: impl Fn(&T) -> &str,
    most: usize,
) -> Vec<&'a T> {
    let mut chosen = hosts.to_vec();
    if chosen.len() > most {
        chosen.sort_by_cached_key(|h| hash_parts(&[me.as_bytes(), name(h).as_bytes()]));
        chosen.truncate(most);
    }
    chosen
}
