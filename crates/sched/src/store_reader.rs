//! Decides which hosts read the platform's store, and which host the others ask instead.
//!
//! Hundreds of hosts need the same few facts, each within a second or two. If each host read for
//! itself, the store's load would grow with the fleet, and each change would wake all hosts at the
//! store at the same moment.
//!
//! In each failure domain all hosts designate the same reader by what they know of each other. The
//! reader reads the store, the others ask the reader. A host that is asked reads too, even if it
//! considers another host the reader: if two hosts designate different readers, this costs a second
//! reader, and none of them waits for an agreement.
//!
//! | what a host observes | what it does |
//! |---|---|
//! | it has no data yet | reads the store itself, once |
//! | it is the designated reader, or was asked lately | reads the store |
//! | another host is the designated reader | asks that host |
//! | that host does not respond | skips it for three seconds and asks the next one |
//! | the same, but this host itself did not run meanwhile | asks that host once more |
//! | that host can't reach the store itself | the same, and also reads once itself: the store may refuse that host only |
//! | two hosts in a row can't be reached | may itself be cut off from them: reads the store itself for three seconds |
//!
//! While no host can reach the store, each host calls it once for each host that it asked in vain,
//! which takes about a second. If hundreds of hosts kept reading on their own, they would call it
//! without end.

use base::{HostId, Ms};
use std::collections::HashMap;

/// Time for which a host reads after it was last asked: several times as long as a query waits, so
/// that a reader in use never stops between two queries.
const READ_AFTER_ASKED: Ms = Ms(4_000);
/// Time for which a host that could not help is skipped: after it, the others have noticed that it
/// is gone, or the store is back.
const SKIP_TIME: Ms = Ms(3_000);
/// Hosts in a row that can't be reached, after which a host assumes that it is cut off itself.
const MAX_UNREACHABLE: u32 = 2;
/// Time for which a host that is cut off reads the store itself.
const CUT_OFF_TIME: Ms = Ms(3_000);

/// Why a host that was asked could not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderFault {
    /// It did not respond.
    Unreachable,
    /// It responded, but its data from the store is too old.
    Stale,
    /// No response was heard, but the host that asked did not run meanwhile.
    Unheard,
}

/// What one host knows of the others as readers of the store.
#[derive(Debug, Default)]
pub struct StoreReaders {
    asked: Option<Ms>,
    cut_off: Option<Ms>,
    skipped: HashMap<HostId, Ms>,
    unreachable: u32,
    /// The host whose response was not heard, if it was asked last.
    unheard: Option<HostId>,
}

impl StoreReaders {
    /// Records that another host asks this one.
    pub fn asked(&mut self, now: Ms) {
        self.asked = Some(now);
    }

    /// Whether this host reads the store although another one is the designated reader.
    pub fn reads(&self, now: Ms) -> bool {
        let asked = self.asked.is_some_and(|at| now - at < READ_AFTER_ASKED);
        asked || self.cut_off.is_some_and(|until| now < until)
    }

    /// Whether a host may be the designated reader.
    pub fn fits(&self, now: Ms, host: &HostId) -> bool {
        self.skipped.get(host).is_none_or(|until| *until <= now)
    }

    /// Records that a host that was asked could help.
    pub fn helped(&mut self) {
        self.unreachable = 0;
        self.unheard = None;
    }

    /// Records that a host that was asked, or this host itself, could not help.
    pub fn failed(&mut self, now: Ms, host: &HostId, fault: ReaderFault) {
        let known = self.unheard.take();
        if fault == ReaderFault::Unheard && known.as_ref() != Some(host) {
            self.unheard = Some(host.clone());
            return;
        }
        self.skipped.retain(|_, until| *until > now);
        self.skipped.insert(host.clone(), now + SKIP_TIME);
        match fault {
            ReaderFault::Stale => self.unreachable = 0,
            ReaderFault::Unreachable | ReaderFault::Unheard => self.unreachable += 1,
        }
        if self.unreachable >= MAX_UNREACHABLE {
            self.unreachable = 0;
            self.cut_off = Some(now + CUT_OFF_TIME);
        }
    }
}
