//! The one place that says whether anything of a request ran.

use serde::{Deserialize, Serialize};

use crate::{Fault, Grant};

/// Whether anything of a request ran, as callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Surely not.
    No,
    /// Surely.
    Yes,
    /// It can't be told.
    Unknown,
}

impl Ran {
    /// The word that callers read.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// What was handed to sockets for one request.
///
/// A caller that reads `no` may safely send the work again under a new key. So `no` is said only
/// when each attempt that reached a socket was answered by its target as not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Attempts handed to a socket whose outcome is open or was lost.
    open: u32,
    /// Some stage gave a result.
    ran: bool,
    /// The key was seen before, or may have been.
    doubt: bool,
}

impl Ledger {
    /// The first byte of an attempt was handed to a socket.
    pub fn sent(&mut self) {
        self.open += 1;
    }

    /// A sent attempt gave a result, or part of one.
    pub fn done(&mut self) {
        self.ran = true;
    }

    /// A sent attempt failed. Only the target's own word that it didn't run takes it back.
    pub fn failed(&mut self, fault: Fault) {
        if fault.not_run() {
            self.open = self.open.saturating_sub(1);
        }
    }

    /// The journal answered. A key that another attempt holds may have run there; and where the
    /// journal can't be asked, a re-sent key may have run before.
    pub fn registered(&mut self, grant: Grant, resent: bool) {
        match grant {
            Grant::Granted => {}
            Grant::Answered => self.ran = true,
            Grant::Running | Grant::Unknown => self.doubt = true,
            Grant::Unavailable | Grant::Expired => self.doubt |= resent,
        }
    }

    /// A re-sent key is turned away before the journal was asked.
    pub fn refused_unregistered(&mut self, resent: bool) {
        self.doubt |= resent;
    }

    /// What the caller is told.
    pub fn verdict(&self) -> Ran {
        match self {
            Self { ran: true, .. } => Ran::Yes,
            Self { doubt: true, .. } => Ran::Unknown,
            Self { open: 0, .. } => Ran::No,
            Self { .. } => Ran::Unknown,
        }
    }
}
