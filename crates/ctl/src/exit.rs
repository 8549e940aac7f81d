//! Exit codes, so that a script can tell what happened.

use serde::Serialize;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "u8")]
#[repr(u8)]
pub enum Exit {
    /// Done; `diff` found no differences.
    Done = 0,
    /// Failed: a file can't be read, or the platform or host can't be reached. Nothing is known
    /// to have changed.
    Failed = 1,
    /// Wrong usage.
    Usage = 2,
    /// The file can't be used.
    InvalidFile = 3,
    /// `diff` found differences.
    Differs = 4,
    /// Another operator was first; nothing was changed.
    Conflict = 5,
    /// The write's answer was lost and it can't be told yet whether it took effect.
    OutcomeUnknown = 6,
    /// Accepted, but not in force on all hosts within the wait.
    NotInForce = 7,
    /// The workspace, pipeline or target isn't declared.
    NotDeclared = 8,
}

impl From<Exit> for u8 {
    fn from(exit: Exit) -> Self {
        exit as Self
    }
}
