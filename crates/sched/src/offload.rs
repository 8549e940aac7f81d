//! Decides whether a stage is made in another region.
//!
//! A region has few targets of a service, so a burst or the loss of a target fills one region while
//! another is idle. Without offloading, the callers of each region wait for its own targets only.
//! But offloading too readily moves results across regions, which is paid for by volume: each piece
//! of a stage reads all results of the stage before, so sixteen pieces that read eight small
//! results move as much data as two large results do.

use base::Ms;

/// How much sooner another region must be able to start a stage for it to be made there: two round
/// trips and a margin, because the other region's load is known with a delay.
pub const CROSS_REGION_COST: Ms = Ms(120);
/// Bytes across regions that count as much as one ms of waiting. Two megabytes count as an eighth
/// of a second, about half a call, so that a caller waits less than that to save the volume.
pub(crate) const BYTES_PER_MS: u64 = 16_000;

/// A stage that was submitted in the region where its inputs are.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// Number of its pieces.
    pub pieces: u64,
    /// Size of each result, bytes.
    pub bytes: u64,
    /// Size of what each piece reads, bytes.
    pub reads: u64,
}

impl Stage {
    /// Bytes that cross regions if another region makes the stage: its results on their way back,
    /// and what each of its pieces reads.
    const fn crossing(&self) -> u64 {
        (self.bytes + self.reads) * self.pieces
    }
}

/// The region that should make a stage in place of this one, of those whose waiting times are
/// known. `here` is the waiting time in this region; none if it has no target.
pub fn choose_region<T>(
    stage: Stage,
    here: Option<Ms>,
    far: impl Iterator<Item = (T, Ms)>,
) -> Option<T> {
    let cost = CROSS_REGION_COST + Ms(stage.crossing() / BYTES_PER_MS);
    let (region, wait) = far.min_by_key(|(_, wait)| *wait)?;
    match here {
        Some(here) if here <= wait + cost => None,
        _ => Some(region),
    }
}
