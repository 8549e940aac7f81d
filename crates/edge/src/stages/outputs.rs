//! Results of a request's stages, from their making until nobody reads them any more.

use base::Ms;
use logs::note;
use wire::StageRelease;

use super::{Run, batch};
use crate::results::{self, StageOutput, free};

impl Run<'_> {
    /// What only this stage reads, for its composer to give up.
    pub(super) fn release(&mut self, i: usize) -> Vec<StageRelease> {
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

    /// When the first of a stage's inputs lapses.
    pub(super) fn inputs_lapse(&self, i: usize) -> Ms {
        let after = &self.call.route.stages[i].after;
        after.iter().map(|a| self.lapse[*a]).min().unwrap_or(Ms::MAX)
    }

    pub(super) fn ended(&mut self, i: usize, output: StageOutput) {
        let now = self.app.core.clock.now();
        if let Some(batch) = batch(self.call, &self.call.route.stages[i].service) {
            // Its first piece may have been made some calls before its last.
            let made = self.begun[i].unwrap_or(now).max(now - self.times[i]);
            self.lapse[i] = made + batch.keep;
        }
        let service = &self.call.route.stages[i].service;
        if let Some(begun) = self.begun[i] {
            self.app.core.estimate().record(service, now - begun);
            self.app.core.metrics.stage(service.as_str(), now - begun);
            self.app.core.metrics.predicted(service.as_str(), self.times[i], now - begun);
        }
        self.done[i] = Some(output.results.iter().map(|r| r.handle.clone()).collect());
        self.held[i] = Some(output);
        // Stages that no one reads any more are given up at once.
        for before in self.call.route.stages[i].after.clone() {
            if self.readers_done(before) {
                self.give_up(before);
            }
        }
    }

    pub(super) fn readers_done(&self, stage: usize) -> bool {
        let mut stages = self.call.route.stages.iter().zip(&self.done);
        stages.all(|(s, done)| done.is_some() || !s.after.contains(&stage))
    }

    pub(super) fn give_up(&mut self, stage: usize) {
        if let Some(output) = self.held[stage].take() {
            free(self.app, output);
        }
    }

    /// What this stage read is gone: it and all that leads to it are done again. What its inputs
    /// were made from was given up when they had read it.
    pub(super) fn redo(&mut self, i: usize) {
        self.redone += 1;
        note!(logs::Event::StageRedone, request = %self.call.head.id, stage = i);
        self.begun[i] = None;
        for before in self.call.route.stages[i].after.clone() {
            self.reset(before);
        }
    }

    pub(super) fn reset(&mut self, i: usize) {
        self.give_up(i);
        self.done[i] = None;
        self.begun[i] = None;
        for before in self.call.route.stages[i].after.clone() {
            self.reset(before);
        }
    }
}
