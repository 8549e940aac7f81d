//! Estimates how long a stage takes from its submission to its result, and how much time that
//! leaves for the stages before it.
//!
//! Several stages share the latency goal of one request. If the first stage were ordered by that
//! latency goal alone, it would finish just in time for it and leave nothing for the others.
//!
//! The duration of a stage is learned from earlier ones. It is bounded below by the declared
//! duration of a half-full call, and above by twice that: during a burst the measured duration
//! grows without bound, and a stage that is allowed all of it would make the stages before it look
//! hopelessly late.

use base::{Ms, PoolId};
use catalog::{Batch, Route};
use std::collections::HashMap;

use crate::prefill::PrefillTime;

/// Weight of a new measurement: about the last ten count, which is about one second.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Part of a full call that is assumed to be filled.
const ASSUMED_FILL: f64 = 0.5;
/// Upper bound of the duration, as a multiple of the declared one.
const MAX_FACTOR: f64 = 2.0;

/// Learned durations by service.
#[derive(Debug, Default)]
pub struct Estimate {
    stages: HashMap<PoolId, f64>,
    engines: HashMap<PoolId, PrefillTime>,
}

impl Estimate {
    /// Records that a stage at this service took `took` from its submission to its last result.
    pub fn record(&mut self, service: &PoolId, took: Ms) {
        let took = took.0 as f64;
        let known = self.stages.entry(service.clone()).or_insert(took);
        *known += SAMPLE_WEIGHT * (took - *known);
    }

    /// Time that a stage at this service is expected to take.
    pub fn stage(&self, service: &PoolId, batch: &Batch) -> Ms {
        let declared = batch.call_ms + batch.size as f64 * batch.item_ms * ASSUMED_FILL;
        let learned = self.stages.get(service).copied().unwrap_or(declared);
        Ms(learned.clamp(declared, MAX_FACTOR * declared) as u64)
    }

    /// Records that an engine of this service with nothing else to read sent its first event after
    /// `took`, for a prompt of which it had to read `tokens`.
    pub fn record_first(&mut self, service: &PoolId, tokens: u64, took: Ms) {
        self.engines.entry(service.clone()).or_default().record(tokens, took);
    }

    /// Time from sending a prompt, `tokens` of which have to be read, to its first event.
    pub fn first_event(&self, service: &PoolId, tokens: u64) -> Ms {
        let model = self.engines.get(service).copied().unwrap_or_default();
        model.first_event(tokens)
    }

    /// Time for which reading `tokens` keeps an engine of this service busy.
    pub fn prefill(&self, service: &PoolId, tokens: u64) -> Ms {
        let model = self.engines.get(service).copied().unwrap_or_default();
        model.prefill(tokens)
    }

    /// For each stage of a route, the time needed after it: that of the longest chain of stages
    /// that depend on its results, plus `first`, the time from the end of the chain to the first
    /// event.
    pub fn after(&self, route: &Route, first: Ms, time: impl Fn(&PoolId) -> Ms) -> Vec<Ms> {
        let mut rest = vec![first; route.stages.len()];
        // A stage reads only earlier stages, so going backwards the later ones are already
        // computed.
        for i in (0..route.stages.len()).rev() {
            let through = rest[i] + time(&route.stages[i].service);
            for before in &route.stages[i].after {
                rest[*before] = rest[*before].max(through);
            }
        }
        rest
    }
}
