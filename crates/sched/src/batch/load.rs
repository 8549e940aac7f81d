//! Reports the load of a service, by which hosts decide whether to admit requests.

use base::{Ms, PoolId};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use super::{Batcher, Waiting};
use crate::admission::load::{ServiceLoad, Work, WorkTable, WorkspaceKey};

/// The request that submitted pieces belong to, as far as its load is counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Its workspace.
    pub workspace: WorkspaceKey,
    /// Services and numbers of pieces of the stages that follow.
    pub later: Vec<(PoolId, u32)>,
}

impl Batcher {
    /// The load of the service; none without a usable target.
    pub fn load(&self, now: Ms) -> Option<ServiceLoad> {
        let pieces = self.fill.max(1.0);
        let time = self.config.time(pieces.round() as usize);
        let serving = self.targets.values().filter(|t| t.serving(now) && !t.reserved);
        let times: Vec<f64> = serving.map(|t| t.scaled(now, time).0.max(1) as f64).collect();
        if times.is_empty() {
            return None;
        }
        let slots = f64::from(self.config.slots.max(1));
        let calls: f64 = times.iter().map(|ms| slots * 1_000.0 / ms).sum();
        let (queued, coming) = self.work(now);
        Some(ServiceLoad {
            throughput: calls * pieces,
            call_ms: slots * 1_000.0 * times.len() as f64 / calls,
            elsewhere: None,
            queued,
            coming,
        })
    }

    /// Queued pieces, and those that their requests will bring to later services. Late pieces are
    /// left out: they go after all others, and their requests hardly get to a later stage.
    fn work(&self, now: Ms) -> (Vec<Work>, BTreeMap<PoolId, Vec<Work>>) {
        let mut queued = WorkTable::default();
        let mut coming: BTreeMap<PoolId, WorkTable> = BTreeMap::new();
        let mut counted = HashSet::new();
        let counts = |w: &&Waiting| !w.queued || !self.is_late(now, &w.piece);
        for waiting in self.pieces.values().filter(counts) {
            let origin = &waiting.origin;
            let work =
                |pieces| Work { rank: waiting.piece.rank, workspace: origin.workspace, pieces };
            if waiting.queued {
                queued.add(work(1));
            }
            // All pieces of a submission have the same origin.
            if !counted.insert(Arc::as_ptr(origin)) {
                continue;
            }
            for (service, pieces) in &origin.later {
                coming.entry(service.clone()).or_default().add(work(*pieces));
            }
        }
        let coming = coming.into_iter().map(|(service, table)| (service, table.entries()));
        (queued.entries(), coming.collect())
    }
}
