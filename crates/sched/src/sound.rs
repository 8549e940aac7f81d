//! Remembers which parts of prompts had sound answers, as evidence for [`crate::suspects`].
//!
//! Pattern: a part ends engines, and with each of them go sound requests whose first parts are the
//! same. What tells these parts apart is that engines lived on under them, at any host. Telling the
//! fleet of each sound answer would cost a message for each request. So each host remembers its own,
//! and is asked only about parts that are suspected.

use base::Ms;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Number of parts that are remembered; about 16 bytes each.
const MAX_PARTS: usize = 16_384;
/// Number of answers of which the beginning is remembered.
const MAX_ANSWERS: usize = 256;

/// The parts of this host's sound answers.
#[derive(Debug, Default)]
pub struct SoundParts {
    /// When the last sound answer with a part began.
    begun: HashMap<u64, Ms>,
    /// When the newest sound answers began.
    answers: VecDeque<Ms>,
    /// Answers that go on, by number: when each began, and its parts.
    going: BTreeMap<u64, (Ms, Arc<[u64]>)>,
    next: u64,
}

impl SoundParts {
    /// Records a sound answer that began at `begun`, to a request with these shared parts.
    pub fn record(&mut self, begun: Ms, parts: impl Iterator<Item = u64>) {
        for part in parts {
            let last = self.begun.entry(part).or_default();
            *last = begun.max(*last);
        }
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(begun);
        if self.begun.len() > MAX_PARTS {
            self.evict();
        }
    }

    /// Records an answer that began at `begun` and goes on; it may still end its engine. Returns its number.
    pub fn begin(&mut self, begun: Ms, parts: Arc<[u64]>) -> u64 {
        self.next += 1;
        self.going.insert(self.next, (begun, parts));
        self.next
    }

    /// Records that an answer no longer goes on, however it ended.
    pub fn end(&mut self, number: u64) {
        self.going.remove(&number);
    }

    /// Whether an answer with a part goes on.
    pub fn is_going(&self, part: u64) -> bool {
        self.going.values().any(|(_, parts)| parts.contains(&part))
    }

    /// When the last sound answer with a part began; none if none is remembered.
    pub fn last(&self, part: u64) -> Option<Ms> {
        self.begun.get(&part).copied()
    }

    /// Number of sound answers, and of those that go on, that began after `since`, as far as they are
    /// remembered.
    pub fn since(&self, since: Ms) -> usize {
        let going = self.going.values().map(|(begun, _)| begun);
        self.answers.iter().chain(going).filter(|begun| **begun > since).count()
    }

    /// Forgets the older half of the parts.
    fn evict(&mut self) {
        let mut times: Vec<Ms> = self.begun.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.begun.retain(|_, begun| *begun > median);
    }
}
