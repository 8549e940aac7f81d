//! *Offload*: whether another region makes a stage.
//!
//! Answers: regions with few targets of a service, of which a burst or a lost target fills one
//! while another idles. Without it each region's callers wait behind their own targets alone. Done
//! too readily, results cross regions, which is paid by volume: each piece of a stage reads all
//! results of the one before, so sixteen pieces that read eight small results move as much as two
//! large ones.

use base::Ms;

/// How much sooner another region must be able to start a stage for it to go there, ms: the way
/// there and back, twice, and some, since its load is known from a while ago.
pub const CROSS_REGION_COST: Ms = Ms(120);
/// Bytes that weigh as much as a ms of waiting when they cross regions: two megabytes weigh as an
/// eighth of a second, about half a call, so that a caller waits less than that for the volume.
const BYTES_PER_MS: u64 = 16_000;

/// A stage that is handed in where what it reads lies.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// Its pieces.
    pub pieces: u64,
    /// Size of each result, bytes.
    pub bytes: u64,
    /// What each piece reads, bytes.
    pub reads: u64,
}

impl Stage {
    /// Bytes that cross when another region makes it: its results on their way back, and what each
    /// of its pieces reads.
    const fn crossing(&self) -> u64 {
        (self.bytes + self.reads) * self.pieces
    }
}

/// The region that should make a stage in place of this one, of those whose waits are known. `here`
/// is the wait in this region; none where it has no target.
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
