//! Positions in the history of the platform's store.

use std::fmt;

/// Bits of a packed position that hold the revision. At a thousand changes a second they last for
/// thirty years.
const REVISION_BITS: u32 = 40;
/// Bits above them that hold the corrections. The era has the rest.
const CORRECTION_BITS: u32 = u8::BITS;
/// Bits below the era.
const ERA_SHIFT: u32 = REVISION_BITS + CORRECTION_BITS;
/// Largest revision that can be packed.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
/// Largest era that can be packed.
const MAX_ERA: u64 = u64::MAX >> ERA_SHIFT;

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
    /// How often a list has shown changes up to this revision that watches had not delivered.
    corrections: u8,
}

impl Position {
    /// A position in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision, corrections: 0 }
    }

    /// The position after one more correction.
    pub(crate) fn corrected(self) -> Self {
        Self { corrections: self.corrections.saturating_add(1), ..self }
    }

    /// As one number for messages between hosts; 0 is no position.
    ///
    /// In era 0 and without corrections it is the revision alone, which is what hosts sent before
    /// there were eras, so both kinds of hosts can work side by side.
    pub fn pack(self) -> u64 {
        let era = self.era.min(MAX_ERA) << ERA_SHIFT;
        let corrections = u64::from(self.corrections) << REVISION_BITS;
        era | corrections | self.revision.min(MAX_REVISION)
    }

    /// The position that [`Position::pack`] made this number of; none if it is 0.
    pub fn unpack(number: u64) -> Option<Self> {
        let corrections = (number >> REVISION_BITS) as u8;
        let position = Self::new(number >> ERA_SHIFT, number & MAX_REVISION);
        (number != 0).then_some(Self { corrections, ..position })
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
