//! *Estimate*: how long a stage takes from handing it in to its result, and what that leaves for
//! the stages before it.
//!
//! Answers: several stages under one aim. Without it the first stage is ordered by the whole
//! request's aim, finishes just in time for that, and leaves nothing for the others.
//!
//! The time of a stage is learned from what came of earlier ones, between the bare time of a call
//! that is half full and twice that: under a burst the measured time grows without bound, and a
//! stage that is given all of it makes the stages before it look hopeless.

use base::{Ms, PoolId};
use catalog::{Batch, Route};
use std::collections::HashMap;

use crate::prefill::PrefillTime;

/// Weight of a new measurement: the last ten count, about a second's worth.
const WEIGHT: f64 = 0.1;
/// Part of a full call's pieces that is assumed before anything was measured.
const HALF: f64 = 0.5;
/// Most that a measured time counts for, as a multiple of the bare time.
const MOST: f64 = 2.0;

/// Learned times by service.
#[derive(Debug, Default)]
pub struct Estimate {
    stages: HashMap<PoolId, f64>,
    engines: HashMap<PoolId, PrefillTime>,
}

impl Estimate {
    /// A stage at this service took `took` from handing it in to its last result.
    pub fn record(&mut self, service: &PoolId, took: Ms) {
        let took = took.0 as f64;
        let known = self.stages.entry(service.clone()).or_insert(took);
        *known += WEIGHT * (took - *known);
    }

    /// Time that a stage at this service will take, ms.
    pub fn stage(&self, service: &PoolId, batch: &Batch) -> Ms {
        let bare = batch.call_ms + batch.size as f64 * batch.item_ms * HALF;
        let learned = self.stages.get(service).copied().unwrap_or(bare);
        Ms(learned.clamp(bare, MOST * bare) as u64)
    }

    /// An engine of this service that had nothing else to read gave its first event after `took`,
    /// for a prompt of which it had `tokens` to read.
    pub fn record_first(&mut self, service: &PoolId, tokens: u64, took: Ms) {
        self.engines.entry(service.clone()).or_default().record(tokens, took);
    }

    /// Time from sending a prompt, of which `tokens` are to be read, to its first event, ms.
    pub fn first_event(&self, service: &PoolId, tokens: u64) -> Ms {
        let model = self.engines.get(service).copied().unwrap_or_default();
        model.first_event(tokens)
    }

    /// Time for which an engine of this service is busy reading `tokens`, ms.
    pub fn prefill(&self, service: &PoolId, tokens: u64) -> Ms {
        let model = self.engines.get(service).copied().unwrap_or_default();
        model.prefill(tokens)
    }

    /// For each stage of a route, the time that is needed after it: the longest chain of stages
    /// that read its results, and `first`, the time to the first event after them.
    pub fn after(&self, route: &Route, first: Ms, time: impl Fn(&PoolId) -> Ms) -> Vec<Ms> {
        let mut rest = vec![first; route.stages.len()];
        // A stage reads only stages before it, so the later ones are settled first.
        for i in (0..route.stages.len()).rev() {
            let through = rest[i] + time(&route.stages[i].service);
            for before in &route.stages[i].after {
                rest[*before] = rest[*before].max(through);
            }
        }
        rest
    }
}
