//! Tracks the results of a request's stages from their creation until nobody reads them any more.

use base::Ms;
use logs::note;
use wire::StageRelease;

use super::{Run, batch};
use crate::results::{self, StageOutput, free};

impl Run<'_> {
    /// Takes the results that only this stage reads, for the composer of this stage to release.
    pub(super) fn take_releases(&mut self, i: usize) -> Vec<StageRelease> {
        let stages = &self.call.route.stages;
        let only = |a: &usize| stages.iter().filter(|s| s.after.contains(a)).count() == 1;
        let mine: Vec<usize> = stages[i].after.iter().copied().filter(only).collect();
        let held = mine.into_iter().filter_map(|a| self.held[a].take());
        held.map(|output| results::release(&self.app.core, output)).collect()
    }

    /// Bytes of results that each piece of a stage reads.
    pub(super) fn reads(&self, i: usize) -> u64 {
        let stages = &self.call.route.stages;
        let size = |a: &usize| {
            let count = self.done[*a].as_ref().map_or(0, |handles| handles.len());
            stages[*a].bytes * count as u64
        };
        stages[i].after.iter().map(size).sum()
    }

    /// When the first of a stage's inputs expires.
    pub(super) fn inputs_expire(&self, i: usize) -> Ms {
        let after = &self.call.route.stages[i].after;
        after.iter().map(|a| self.results_expire[*a]).min().unwrap_or(Ms::MAX)
    }

    /// Records the results of a stage that is done.
    pub(super) fn stage_done(&mut self, i: usize, output: StageOutput) {
        let now = self.app.core.clock.now();
        if let Some(batch) = batch(self.call, &self.call.route.stages[i].service) {
            // The first piece may have been made several calls before the last one.
            let made = self.started[i].unwrap_or(now).max(now - self.times[i]);
            self.results_expire[i] = made + batch.result_ttl;
        }
        let service = &self.call.route.stages[i].service;
        if let Some(start) = self.started[i] {
            self.app.core.estimate().record(service, now - start);
            self.app.core.metrics.stage(service.as_str(), now - start);
            self.app.core.metrics.predicted(service.as_str(), self.times[i], now - start);
        }
        self.done[i] = Some(output.results.iter().map(|r| r.handle.clone()).collect());
        self.held[i] = Some(output);
        // Results that no stage reads any more are released at once.
        for before in self.call.route.stages[i].after.clone() {
            if self.readers_done(before) {
                self.free_results(before);
            }
        }
    }

    /// Whether all stages that read this one are done.
    pub(super) fn readers_done(&self, stage: usize) -> bool {
        let mut stages = self.call.route.stages.iter().zip(&self.done);
        stages.all(|(s, done)| done.is_some() || !s.after.contains(&stage))
    }

    /// Releases a stage's results, if they are still held.
    pub(super) fn free_results(&mut self, stage: usize) {
        if let Some(output) = self.held[stage].take() {
            free(self.app, output);
        }
    }

    /// Runs a stage whose inputs are gone again, with all stages that lead to it: the results from
    /// which the inputs were made were released once they had been read.
    pub(super) fn rerun(&mut self, i: usize) {
        self.reruns += 1;
        note!(logs::Event::StageRedone, request = %self.call.head.id, stage = i);
        self.started[i] = None;
        for before in self.call.route.stages[i].after.clone() {
            self.reset(before);
        }
    }

    /// Marks a stage, and all stages that lead to it, as not run.
    pub(super) fn reset(&mut self, i: usize) {
        self.free_results(i);
        self.done[i] = None;
        self.started[i] = None;
        for before in self.call.route.stages[i].after.clone() {
            self.reset(before);
        }
    }
}
