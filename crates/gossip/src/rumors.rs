//! What was learned lately and is still to be passed on, each a bounded number of times.
//!
//! A rumor that every host passes on `sends` times reaches all but a share of about
//! `e^-sends` of them; the rest learn by comparing hashes. Without the bound, the traffic of a
//! host would grow with all that ever happened.

use std::collections::BTreeMap;

/// Most rumors that are kept; the ones passed on most go first.
const MAX_RUMORS: usize = 4096;

/// What a rumor is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The whole record of a host.
    Member(String),
    /// What changed of a host that is known.
    Pulse(String),
    /// A target is leaving or came back.
    Leaving(String),
    /// A request brings targets down.
    Poison(u64),
    /// Load of a target, by its hash.
    Load(u32),
    /// Load of a pool of another failure domain, by its hash.
    Pool(u32),
    /// A cache event: target's hash and count.
    Cache(u32, u64),
}

/// Rumors with how often each is still to be sent.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    /// How often each is still to be sent, and its turn among those that are sent as often.
    remaining: BTreeMap<Topic, (u32, u64)>,
    sequence: u64,
}

impl Rumors {
    /// Starts passing something on, or starts again.
    pub(crate) fn start(&mut self, topic: Topic, send_count: u32) {
        if self.remaining.len() >= MAX_RUMORS {
            let least = self.remaining.iter().min_by_key(|(_, n)| n.0).map(|(t, _)| t.clone());
            least.and_then(|t| self.remaining.remove(&t));
        }
        self.sequence += 1;
        self.remaining.insert(topic, (send_count, self.sequence));
    }

    /// The topics for one message that `wanted` picks, at most `most`: those sent least often so
    /// far, and of these the ones that wait longest: by any fixed order the last would never be
    /// sent while more comes than messages hold. Each counts as sent.
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

/// Times that a host passes something on so that it reaches all of `hosts`.
pub(crate) fn send_count(hosts: usize) -> u32 {
    2 * (usize::BITS - hosts.leading_zeros()).max(2)
}
