//! Describes a stage of a request to the composer that it is submitted to.

use base::Ms;
use wire::{LaterStage, StageWork};

use super::Run;

impl Run<'_> {
    /// A stage as it is submitted to its composer.
    pub(super) fn work(&self, i: usize, pieces: u32) -> StageWork {
        let stage = &self.call.route.stages[i];
        let now = self.app.core.clock.now();
        let due = self.call.arrived + self.call.route.latency_goal - self.remaining[i];
        // Keeps the minimum time of the stages after it: an estimate is at most twice the minimum.
        let expires = self.expires() - self.remaining[i].scale(1, 2);
        // A call that begins after its inputs have expired can't succeed.
        let expires = expires.min(self.inputs_expire(i));
        let inputs = stage.after.iter().filter_map(|a| self.done[*a].as_ref());
        StageWork {
            service: stage.service.as_str().to_owned(),
            request: self.call.head.id.to_string(),
            stage: i as u32,
            pieces,
            key: self.call.head.piece_key.as_deref().unwrap_or_default().to_owned(),
            inputs: inputs.flat_map(|h| h.iter().cloned()).collect(),
            due_ms: (due - now).0,
            expires_ms: (expires - now).0,
            rank: u32::from(self.call.rank()),
            bytes: stage.bytes,
            reads: self.reads(i),
            home: String::new(),
            regions: self.call.residency.regions().iter().map(|r| r.as_str().to_owned()).collect(),
            passed_on: false,
            release: Vec::new(),
            workspace: self.workspace().to_owned(),
            later: self.later(i),
            holder: self.app.core.members.as_holder(),
            request_key: self.call.suspects.stage_key(i),
        }
    }

    /// When the caller stops waiting: the deadline, or the client's time-out if that is earlier.
    pub(super) fn expires(&self) -> Ms {
        let patience = self.call.route.client_timeout.map_or(Ms::MAX, |p| self.call.arrived + p);
        self.call.deadline.min(patience)
    }

    /// Number of pieces of a stage.
    pub(super) fn pieces(&self, i: usize) -> u32 {
        self.call.head.pieces.get(i).copied().unwrap_or(1)
    }

    /// Name of the workspace; empty for none.
    pub(super) fn workspace(&self) -> &str {
        self.call.workspace.as_ref().map_or("", |w| w.name.as_str())
    }

    /// The stages that follow a stage. One that reads several follows the last of them only, so
    /// that its pieces are not counted twice.
    fn later(&self, i: usize) -> Vec<LaterStage> {
        let later = (i + 1..self.done.len()).filter(|l| self.pieces(*l) > 0 && self.follows(*l, i));
        let wire = |l: usize| LaterStage {
            service: self.call.route.stages[l].service.as_str().to_owned(),
            pieces: self.pieces(l),
        };
        later.map(wire).collect()
    }

    fn follows(&self, stage: usize, before: usize) -> bool {
        let last = self.call.route.stages[stage].after.last();
        last.is_some_and(|last| *last == before || self.follows(*last, before))
    }
}
