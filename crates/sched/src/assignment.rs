//! *Duty*: which host does what one host does for many.
//!
//! Answers: a fleet of a few large hosts and many small ones, in which one host composes the stage
//! calls of a region or reads the store for its domain. Without it the duty falls to a small host
//! nine times in ten, whose processor and link then bound what all its peers get done.
//!
//! Whom a host tells something is a choice of the same kind: [`recipients`] spreads it.
//!
//! All hosts that see the same others choose the same one, and choices move as little as they can
//! when hosts come and go: rendezvous hashing, among the hosts that are large enough.

use base::{HostId, hash_parts, rendezvous};

/// Part of the largest host's capacity that a host must have to be given a duty, percent: hosts of
/// about one size share the duties, and the loss of one large host among several moves few.
const LEAST: u64 = 50;

/// The host that does the duty `key` names; none where there are no hosts.
///
/// `capacity` is a host's processing power in any unit; 0 where it isn't known.
pub fn assignee<'a, T>(
    key: &[u8],
    hosts: &[&'a T],
    name: impl Fn(&T) -> &str,
    capacity: impl Fn(&T) -> u32,
) -> Option<&'a T> {
    let most = hosts.iter().map(|h| capacity(h)).max()?;
    let large = |h: &&&T| u64::from(capacity(h)) * 100 >= u64::from(most) * LEAST;
    rendezvous(key, hosts.iter().filter(large), |h| name(h)).copied()
}

/// How many of `hosts` come before `me` in the order of hosts that `key` names, in which the first
/// few share what all of them together may do; none where `me` isn't one of them.
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

/// The hosts that `me` tells something, `most` of them: different hosts tell different ones, so that
/// none hears from a whole fleet while others hear nothing.
pub fn recipients<'a, T>(
    me: &str,
    hosts: &[&'a T],
    name: impl Fn(&T) -> &str,
    most: usize,
) -> Vec<&'a T> {
    let mut told = hosts.to_vec();
    if told.len() > most {
        told.sort_by_cached_key(|h| hash_parts(&[me.as_bytes(), name(h).as_bytes()]));
        told.truncate(most);
    }
    told
}
