//! Positions in the history of the platform's store.

use std::fmt;

/// Bits of a packed position that hold the revision. At a thousand changes a second they last for
/// thousands of years.
const REVISION_BITS: u32 = 48;
/// Largest revision that can be packed.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
/// Largest era that can be packed.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A position in the history of the platform's store; a later one compares as greater.
///
/// The store may come back from an older copy. Its revisions then go back and are given out again,
/// so a revision alone doesn't say what a host knows: it would miss everything that was written at
/// revisions that it had already seen. Each return begins a new era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Rises by one each time the store comes back from a copy; 0 if the store names no era.
    pub era: u64,
    /// Number of changes of the store up to this position, in this era.
    pub revision: u64,
}

impl Position {
    /// A position in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// As one number for messages between hosts; 0 is no position.
    ///
    /// In era 0 it is the revision alone, which is what hosts sent before there were eras, so both
    /// kinds of hosts can work side by side.
    pub fn pack(self) -> u64 {
        (self.era.min(MAX_ERA) << REVISION_BITS) | self.revision.min(MAX_REVISION)
    }

    /// The position that [`Position::pack`] made this number of; none if it is 0.
    pub fn unpack(number: u64) -> Option<Self> {
        let position = Self::new(number >> REVISION_BITS, number & MAX_REVISION);
        (number != 0).then_some(position)
    }
}

/// A position at a store that names no era.
impl From<u64> for Position {
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
