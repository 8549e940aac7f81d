//! Exit codes, by which scripts distinguish the outcomes of a command.

use serde::Serialize;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "u8")]
#[repr(u8)]
pub enum Exit {
    /// Done; `diff` found no differences.
    Done = 0,
    /// A file can't be read, or the platform or a host can't be reached. Nothing is known to have
    /// changed.
    Failed = 1,
    /// Wrong usage.
    Usage = 2,
    /// The file is invalid.
    Refused = 3,
    /// `diff` found differences.
    Differs = 4,
    /// Another operator's change was accepted first; nothing was changed.
    Raced = 5,
    /// The response to the write was lost, and whether it took effect is still unknown.
    Open = 6,
    /// Accepted, but not in force on all hosts before `--wait` ended.
    Waiting = 7,
    /// The workspace, pipeline or target isn't declared.
    Unknown = 8,
}

impl From<Exit> for u8 {
    fn from(exit: Exit) -> Self {
        exit as Self
    }
}
