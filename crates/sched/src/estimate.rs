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

/// Weight of a new measurement: the last ten count, about a second's worth.
const WEIGHT: f64 = 0.1;
/// Part of a full call's pieces that is assumed before anything was measured.
const HALF: f64 = 0.5;
/// Most that a measured time counts for, as a multiple of the bare time.
const MOST: f64 = 2.0;
/// Time until the first event of a stream, beside reading the prompt, ms: the engine's own start
/// and the way there and back.
const FIRST_EVENT_MS: f64 = 60.0;
/// Time to read a thousand tokens of a prompt, ms: engines read about 57 tokens a ms.
const READ_MS_PER_K: f64 = 17.6;

/// Learned times by service.
#[derive(Debug, Default)]
pub struct Estimate {
    stages: HashMap<PoolId, f64>,
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

    /// Time from the last stage's results to the first event, ms.
    pub fn first_event(&self, tokens: u64) -> Ms {
        Ms((FIRST_EVENT_MS + READ_MS_PER_K * tokens as f64 / 1000.0) as u64)
    }

    /// For each stage of a route, the time that is needed after it: the longest chain of stages
    /// that read its results, and the first event.
    pub fn after(&self, route: &Route, tokens: u64, time: impl Fn(&PoolId) -> Ms) -> Vec<Ms> {
        let mut rest = vec![self.first_event(tokens); route.stages.len()];
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
