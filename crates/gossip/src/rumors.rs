//! Recent facts that are still to be sent to peers, each a limited number of times.
//!
//! A rumor that every host sends `s` times misses a share of only about `e^-s` of the hosts; these
//! learn it when tables are compared by hash. Without the limit, a host's traffic would grow with
//! everything that ever happened.

use std::collections::BTreeMap;

/// Most rumors that are stored; beyond that, the one with the fewest remaining sends is dropped.
const MAX_RUMORS: usize = 4096;

/// What a rumor is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The full record of a host.
    Member(String),
    /// The frequently changing part of a known host's record.
    Pulse(String),
    /// A target is leaving or no longer leaving.
    Leaving(String),
    /// A request crashes targets.
    Poison(u64),
    /// Load of a target, by its hash.
    Load(u32),
    /// Load of a pool of another failure domain, by its hash.
    Pool(u32),
    /// A cache event, by the target's hash and the event's sequence number.
    Cache(u32, u64),
}

/// The rumors to send.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    /// The remaining sends of each, and its sequence number, which orders rumors with as many
    /// sends.
    remaining: BTreeMap<Topic, (u32, u64)>,
    sequence: u64,
}

impl Rumors {
    /// Starts sending a rumor, or restarts it.
    pub(crate) fn start(&mut self, topic: Topic, send_count: u32) {
        if self.remaining.len() >= MAX_RUMORS {
            let least = self.remaining.iter().min_by_key(|(_, n)| n.0).map(|(t, _)| t.clone());
            least.and_then(|t| self.remaining.remove(&t));
        }
        self.sequence += 1;
        self.remaining.insert(topic, (send_count, self.sequence));
    }

    /// Takes the topics for one message that `wanted` selects, at most `most`. Those with the most
    /// remaining sends come first, and among these the ones that were started first: with any fixed
    /// order, the last topics would never be sent while more rumors arrive than messages can carry.
    /// Each topic counts as sent.
    pub(crate) fn take(&mut self, most: usize, wanted: impl Fn(&Topic) -> bool) -> Vec<Topic> {
        let mut chosen: Vec<(u32, u64, Topic)> = self
            .remaining
            .iter()
            .filter(|(t, _)| wanted(t))
            .map(|(t, (n, sequence))| (*n, *sequence, t.clone()))
            .collect();
        chosen.sort_by_key(|(n, sequence, _)| (std::cmp::Reverse(*n), *sequence));
        chosen.truncate(most);
        for (n, sequence, topic) in &chosen {
            match n {
                0 | 1 => drop(self.remaining.remove(topic)),
                n => drop(self.remaining.insert(topic.clone(), (n - 1, *sequence))),
            }
        }
        chosen.into_iter().map(|(.., t)| t).collect()
    }
}

/// Number of times that each host sends a rumor so that it reaches all of `hosts`.
pub(crate) fn send_count(hosts: usize) -> u32 {
    2 * (usize::BITS - hosts.leading_zeros()).max(2)
}
