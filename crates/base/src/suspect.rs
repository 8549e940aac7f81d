//! What may be the cause of ends of targets.

use std::fmt;

/// What may be the cause of ends of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A part of prompts, by its id.
    Part(u64),
    /// A request as a whole, by its key.
    Request(u64),
}

impl Suspect {
    /// The id of a part; none for a request.
    pub const fn part(self) -> Option<u64> {
        match self {
            Self::Part(id) => Some(id),
            Self::Request(_) => None,
        }
    }

    /// The key of a request; none for a part.
    pub const fn request(self) -> Option<u64> {
        match self {
            Self::Part(_) => None,
            Self::Request(key) => Some(key),
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part-{id:x}"),
            Self::Request(key) => write!(f, "request-{key:x}"),
        }
    }
}
