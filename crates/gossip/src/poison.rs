//! Fingerprints of requests that crash targets, each with its expiry time.

use base::Ms;
use std::collections::BTreeMap;
use wire::PoisonMark;

/// Most marks that are stored; beyond that, the mark that expires first is dropped. Poison requests
/// are rare: a thousand within the lifetime of one mark would mean that something else is wrong.
const MAX_MARKS: usize = 1024;

/// The marks, each with its expiry time.
#[derive(Debug, Default)]
pub(crate) struct Poison {
    marks: BTreeMap<u64, Ms>,
}

impl Poison {
    /// Stores a mark. Returns true if it is new or expires later than the known one.
    pub(crate) fn merge(&mut self, mark: &PoisonMark, now: Ms) -> bool {
        let until = Ms(mark.until_ms);
        let known = self.marks.get(&mark.fingerprint).copied().unwrap_or_default();
        if until <= now || until <= known {
            return false;
        }
        self.marks.insert(mark.fingerprint, until);
        if self.marks.len() > MAX_MARKS {
            let first = self.marks.iter().min_by_key(|(_, until)| **until).map(|(f, _)| *f);
            first.map(|f| self.marks.remove(&f));
        }
        true
    }

    /// Drops expired marks.
    pub(crate) fn expire(&mut self, now: Ms) {
        self.marks.retain(|_, until| *until > now);
    }

    pub(crate) fn get(&self, fingerprint: u64) -> Option<PoisonMark> {
        let until = self.marks.get(&fingerprint)?;
        Some(PoisonMark { fingerprint, until_ms: until.0 })
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = PoisonMark> + '_ {
        self.marks.iter().map(|(f, until)| PoisonMark { fingerprint: *f, until_ms: until.0 })
    }

    /// Hash of all marks.
    pub(crate) fn hash(&self) -> u64 {
        self.marks.iter().fold(0, |hash, (f, until)| {
            hash ^ base::hash_parts(&[&f.to_le_bytes(), &until.0.to_le_bytes()])
        })
    }
}
