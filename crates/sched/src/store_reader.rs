//! *Source*: which hosts read the platform's store, and whom the others ask.
//!
//! Answers: hundreds of hosts that all need the same few facts, each within a second or two.
//! Without it each host reads for itself, so that the store's load grows with the fleet, and one
//! change wakes all hosts at the store at the same moment.
//!
//! In each failure domain all hosts name the same one by what they know of each other. That one
//! reads; the others ask it. A host that is asked reads too, whatever it thinks itself: two hosts
//! that name different readers cost a second reader, and none waits for an agreement.
//!
//! | what a host sees | what it does |
//! |---|---|
//! | it holds nothing yet | reads the store itself, once |
//! | it is the one that is named, or was asked lately | reads |
//! | another is named | asks that one |
//! | no answer | passes it over for three seconds, asks the next |
//! | that host is itself kept from the store | the same, and reads once itself: the store may turn away that host alone |
//! | two hosts in a row can't be reached | it may be cut off from them: reads itself for three seconds |
//!
//! While the store is away from all, each host calls it once for each host that it asked in vain,
//! which takes about a second; hundreds that went on by themselves would call it without end.

use base::{HostId, Ms};
use std::collections::HashMap;

/// Time for which a host reads after it was last asked, ms: some times longer than a query waits,
/// so that a reader that is in use never stops between two.
const ASKED: Ms = Ms(4_000);
/// Time for which a host that did not help is passed over, ms: others have noticed by then that it
/// is gone, or the store is back.
const PASS: Ms = Ms(3_000);
/// Hosts in a row that can't be reached, after which a host takes itself to be cut off.
const UNREACHABLE: u32 = 2;
/// Time for which such a host reads for itself, ms.
const ALONE: Ms = Ms(3_000);

/// Why a host that was asked did not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderFault {
    /// It didn't answer.
    Unreachable,
    /// It answered, but what it knows of the store is too old.
    Stale,
}

/// What one host knows of the others as readers of the store.
#[derive(Debug, Default)]
pub struct StoreReaders {
    asked: Option<Ms>,
    alone: Option<Ms>,
    passed: HashMap<HostId, Ms>,
    unreachable: u32,
}

impl StoreReaders {
    /// Another host asks this one.
    pub fn asked(&mut self, now: Ms) {
        self.asked = Some(now);
    }

    /// Whether this host reads the store though another is named.
    pub fn reads(&self, now: Ms) -> bool {
        let asked = self.asked.is_some_and(|at| now - at < ASKED);
        asked || self.alone.is_some_and(|until| now < until)
    }

    /// Whether a host may be named.
    pub fn fits(&self, now: Ms, host: &HostId) -> bool {
        self.passed.get(host).is_none_or(|until| *until <= now)
    }

    /// A host that was asked helped.
    pub fn helped(&mut self) {
        self.unreachable = 0;
    }

    /// A host that was asked, or this one itself, did not help.
    pub fn failed(&mut self, now: Ms, host: &HostId, fault: ReaderFault) {
        self.passed.retain(|_, until| *until > now);
        self.passed.insert(host.clone(), now + PASS);
        match fault {
            ReaderFault::Stale => self.unreachable = 0,
            ReaderFault::Unreachable => self.unreachable += 1,
        }
        if self.unreachable >= UNREACHABLE {
            self.unreachable = 0;
            self.alone = Some(now + ALONE);
        }
    }
}
