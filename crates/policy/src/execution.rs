//! Determines whether any part of a request ran. No other module decides this.

use serde::{Deserialize, Serialize};

use crate::{Fault, Grant};

/// Whether any part of a request ran, as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Certainly nothing ran.
    No,
    /// Something certainly ran.
    Yes,
    /// It is not known whether anything ran.
    Unknown,
}

impl Ran {
    /// The value reported to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Records which attempts of one request were written to sockets.
///
/// A caller that receives `no` may safely send the work again under a new key. So `no` is reported
/// only if, for each attempt that reached a socket, the target stated that it did not run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Attempts written to a socket whose outcome is pending or lost.
    unresolved: u32,
    /// Whether a stage gave a result.
    ran: bool,
    /// Whether the key was used before, or may have been.
    uncertain: bool,
}

impl Ledger {
    /// The first byte of an attempt was written to a socket.
    pub fn sent(&mut self) {
        self.unresolved += 1;
    }

    /// An attempt that was sent gave a result, or part of one.
    pub fn done(&mut self) {
        self.ran = true;
    }

    /// An attempt that was sent failed. It stops counting only if the target stated that it did not
    /// run it.
    pub fn failed(&mut self, fault: Fault) {
        if fault.not_run() {
            self.unresolved = self.unresolved.saturating_sub(1);
        }
    }

    /// The journal answered. A key that another attempt holds may have run there. If the journal
    /// can't be reached, a key that was sent before may have run already.
    pub fn registered(&mut self, grant: Grant, resent: bool) {
        match grant {
            Grant::Granted => {}
            Grant::Answered => self.ran = true,
            Grant::Running | Grant::Unknown => self.uncertain = true,
            Grant::Unavailable | Grant::Expired => self.uncertain |= resent,
        }
    }

    /// The request is refused before the journal has answered. A key that was sent before may have
    /// run already.
    pub fn refused_unregistered(&mut self, resent: bool) {
        self.uncertain |= resent;
    }

    /// What is reported to the caller.
    pub fn verdict(&self) -> Ran {
        match self {
            Self { ran: true, .. } => Ran::Yes,
            Self { uncertain: true, .. } => Ran::Unknown,
            Self { unresolved: 0, .. } => Ran::No,
            Self { .. } => Ran::Unknown,
        }
    }
}
