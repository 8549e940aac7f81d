//! Which host holds which results at stage targets, and which results to free when hosts are gone.
//!
//! Results wait at a target for the next stage of their request. If the host that runs the request
//! dies, nobody reads or releases them. When many hosts die at once, such results would fill the
//! targets until they expire, and the requests that callers send again would find no room.

use base::{HostId, Ms, TargetId};
use std::collections::{HashMap, HashSet};

/// A host, as one of its starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Its name.
    pub host: HostId,
    /// Its incarnation in the membership.
    pub start: u64,
}

/// A result at a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldResult {
    /// The target.
    pub target: TargetId,
    /// Its handle there.
    pub handle: String,
}

#[derive(Debug)]
struct Record {
    holder: Holder,
    /// Approximate size, bytes.
    bytes: u64,
    expires: Ms,
}

/// The results that a composer's calls have made, by the hosts that hold them.
#[derive(Debug, Default)]
pub struct Holders {
    results: HashMap<HeldResult, Record>,
    /// Holders that the membership has named as alive.
    seen: HashSet<Holder>,
}

impl Holders {
    /// Records a result of `bytes`, which its target drops at `expires`.
    pub fn keep(&mut self, holder: Holder, result: HeldResult, bytes: u64, expires: Ms) {
        self.results.insert(result, Record { holder, bytes, expires });
    }

    /// Records that a result is released.
    pub fn release(&mut self, result: &HeldResult) {
        self.results.remove(result);
    }

    /// Whether a host holds results.
    pub fn holds(&self, holder: &Holder) -> bool {
        self.results.values().any(|r| r.holder == *holder)
    }

    /// The holders that are gone or have restarted. `start` is the incarnation that the membership
    /// names for a host; none if it does not name the host.
    ///
    /// A host that the membership has never named has only just started: its work may arrive before
    /// the news of it. For the same reason a lower incarnation than the holder's is outdated.
    pub fn gone(&mut self, now: Ms, start: impl Fn(&HostId) -> Option<u64>) -> Vec<Holder> {
        self.results.retain(|_, r| r.expires > now);
        let holders: HashSet<Holder> = self.results.values().map(|r| r.holder.clone()).collect();
        self.seen.retain(|h| holders.contains(h));
        let mut gone = Vec::new();
        for holder in holders {
            match start(&holder.host) {
                Some(start) if start > holder.start => gone.push(holder),
                Some(start) if start == holder.start => drop(self.seen.insert(holder)),
                None if self.seen.contains(&holder) => gone.push(holder),
                _ => {}
            }
        }
        gone
    }

    /// Takes the results of a host that is gone, with their total size in bytes.
    pub fn take(&mut self, holder: &Holder) -> (Vec<HeldResult>, u64) {
        self.seen.remove(holder);
        let (mut taken, mut bytes) = (Vec::new(), 0);
        self.results.retain(|result, record| {
            let keep = record.holder != *holder;
            if !keep {
                taken.push(result.clone());
                bytes += record.bytes;
            }
            keep
        });
        (taken, bytes)
    }
}
