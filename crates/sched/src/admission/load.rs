//! The load of a service in a region, as its composer reports it.

use base::{Ms, PoolId, hash_parts};
use std::collections::BTreeMap;

/// Largest plausible number of pieces of one entry, and of pieces per second. A message with more
/// is corrupt.
pub const MAX_PIECES: u32 = 1_000_000;
/// Largest plausible duration of a call, ms.
const MAX_CALL_MS: f64 = 600_000.0;

/// A workspace, as a hash of its name: a report has an entry for each, so names would multiply its
/// size. Two workspaces whose names have the same hash are treated as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceKey(pub u32);

impl WorkspaceKey {
    /// The key of the workspace with this name; empty for requests without one.
    pub fn of(name: &str) -> Self {
        Self(hash_parts(&[name.as_bytes()]) as u32)
    }
}

/// Pieces of one rank and workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Rank of their requests; 0 is the most urgent.
    pub rank: u8,
    /// Their workspace.
    pub workspace: WorkspaceKey,
    /// Number of pieces.
    pub pieces: u32,
}

/// Load of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Pieces per second that its calls process.
    pub throughput: f64,
    /// Duration of a call, ms.
    pub call_ms: f64,
    /// Wait in the best other region that work can be passed on to, with the cost of doing so; none
    /// if there is no such region.
    pub elsewhere: Option<Ms>,
    /// Queued pieces that can still be on time.
    pub queued: Vec<Work>,
    /// Pieces at later services, of requests that are queued or running here.
    pub coming: BTreeMap<PoolId, Vec<Work>>,
}

impl ServiceLoad {
    /// Whether all figures are possible.
    pub fn is_plausible(&self) -> bool {
        let rate = self.throughput > 0.0 && self.throughput <= f64::from(MAX_PIECES);
        let call = self.call_ms >= 0.0 && self.call_ms <= MAX_CALL_MS;
        let mut work = self.queued.iter().chain(self.coming.values().flatten());
        rate && call && work.all(|w| w.pieces <= MAX_PIECES)
    }
}

/// Pieces by rank and workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkTable(BTreeMap<(u8, WorkspaceKey), u32>);

impl WorkTable {
    /// Adds pieces of one rank and workspace.
    pub fn add(&mut self, work: Work) {
        let entry = self.0.entry((work.rank, work.workspace)).or_default();
        *entry = entry.saturating_add(work.pieces);
    }

    /// The entries, by rank and workspace.
    pub fn entries(&self) -> Vec<Work> {
        let entry = |(&(rank, workspace), &pieces): (&(u8, WorkspaceKey), &u32)| Work {
            rank,
            workspace,
            pieces,
        };
        self.0.iter().map(entry).collect()
    }
}

/// Counts the pieces that go before new work.
#[derive(Clone, Debug)]
pub struct Tally {
    new: Work,
    higher: u64,
    /// Pieces of the same rank by workspace; a workspace may have several entries.
    same: Vec<(WorkspaceKey, u32)>,
}

impl Tally {
    /// Nothing is ahead of the new work yet.
    pub fn new(new: Work) -> Self {
        Self { new, higher: 0, same: Vec::new() }
    }

    /// Adds work that is there already.
    pub fn add(&mut self, work: &Work) {
        match () {
            () if work.rank < self.new.rank => self.higher += u64::from(work.pieces),
            () if work.rank == self.new.rank => self.same.push((work.workspace, work.pieces)),
            () => {}
        }
    }

    /// Pieces of the rank and workspace of the new work.
    pub fn own(&self) -> u64 {
        let own = self.same.iter().filter(|(workspace, _)| *workspace == self.new.workspace);
        own.map(|(_, pieces)| u64::from(*pieces)).sum()
    }

    /// Pieces ahead of the new work: all of higher ranks, and within its rank, for each workspace,
    /// at most as many as its own workspace has with the new ones. So all workspaces get the same
    /// share, and what one doesn't use is lent to the others.
    pub fn ahead(&mut self) -> u64 {
        let own = self.own() + u64::from(self.new.pieces);
        self.same.sort_unstable_by_key(|(workspace, _)| *workspace);
        let flows = self.same.chunk_by(|a, b| a.0 == b.0);
        let held = flows.map(|f| f.iter().map(|(_, pieces)| u64::from(*pieces)).sum::<u64>());
        self.higher + held.map(|held| held.min(own)).sum::<u64>()
    }
}
