//! What a run came to, as callers and the bill see it.

use base::{Ms, RequestId, TargetId};
use policy::{Code, Ran, Refusal};
use serde::Serialize;
use std::collections::BTreeMap;

use crate::Model;
use crate::figures::{Percentiles, Spans};
use crate::load::Call;

/// Arrivals and answers in the first seconds don't count for goodput: queues are still filling.
pub(crate) const WARM: Ms = Ms::secs(5);

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Calls that their callers meant to send, poison ones not counted.
    pub calls: u64,
    /// Share of them answered whole within their deadline, re-sends included.
    pub attainment: f64,
    /// Answered whole, but late.
    pub late: u64,
    /// The same by workspace, in the plan's order.
    pub spaces: Vec<Group>,
    /// The same by pipeline, in the plan's order.
    pub pipelines: Vec<Group>,
    /// Engine work of answers in time, as a share of what the engines can do at most without
    /// cached prefixes.
    pub goodput: f64,
    /// From the intended send time to the whole answer, ms.
    pub latency: Percentiles,
    /// From the intended send time to the first piece of a stream at its host, ms.
    pub first_token: Percentiles,
    /// From a request's arrival at a host to its refusal, ms.
    pub refusal: Percentiles,
    /// Refusals by code.
    pub codes: BTreeMap<Code, u64>,
    /// Refusals that said that nothing ran.
    pub not_run: u64,
    /// Cost of each stage by name, wasted work included, in the configuration's unit.
    pub stages: Vec<StageCost>,
    /// Bytes between regions.
    pub cross_bytes: u64,
    /// Cost of these bytes.
    pub cross_cost: f64,
    /// Attempts sent to each target, as a share of its pool's.
    pub shares: Vec<(TargetId, f64)>,
    /// Attempts sent in all.
    pub attempts: u64,
    /// Share of prompt tokens with engines that a cached prefix saved.
    pub cached: f64,
    /// Engines brought down by poison requests.
    pub crashes: u64,
    /// Promises that were broken; empty in any sound policy.
    pub broken: Vec<Broken>,
}

/// Calls of one workspace, or to one pipeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Calls meant to be sent.
    pub calls: u64,
    /// Share of them answered whole within their deadline.
    pub attainment: f64,
}

/// One stage.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StageCost {
    /// Its name, over all pipelines.
    pub stage: String,
    /// What was spent, in the configuration's unit.
    pub cost: f64,
}

/// A promise that a policy broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Broken {
    /// A request got a second final answer.
    SecondAnswer(RequestId),
    /// A request never got a final answer.
    Unanswered(RequestId),
    /// A whole answer was said before the last stage gave its result.
    FalseAnswer(RequestId),
    /// A stage that may not be repeated was sent again.
    SentAgain(RequestId),
    /// A target that is known to be leaving got work.
    SentLeaving(RequestId),
    /// A stream was resumed past the tokens that are held.
    Gap(RequestId),
    /// A stopping host refused a request that it had taken before.
    CutOff(RequestId),
    /// `ran: no` was said though a target gave a result.
    FalseNo(RequestId),
}

impl Outcome {
    /// Cost of all stages and crossings for each answer in time, in the configuration's unit.
    pub fn unit_cost(&self) -> f64 {
        let spent: f64 = self.stages.iter().map(|s| s.cost).sum::<f64>() + self.cross_cost;
        spent / (self.attainment * self.calls as f64).max(1.0)
    }

    /// Lowest attainment of the workspaces but the first, which is the hot one where one is.
    pub fn small_workspaces(&self) -> f64 {
        self.spaces.iter().skip(1).map(|s| s.attainment).fold(1.0, f64::min)
    }
}

/// Counts while a run goes on.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Calls and calls answered in time.
    spaces: Vec<(u64, u64)>,
    pipelines: Vec<(u64, u64)>,
    late: u64,
    work: f64,
    latency: Spans,
    first: Spans,
    refusal: Spans,
    codes: BTreeMap<Code, u64>,
    not_run: u64,
    costs: BTreeMap<String, f64>,
    sends: Vec<u64>,
    read: (u64, u64),
    /// Bytes between regions, and what they cost.
    pub cross: (u64, f64),
    /// Engines brought down.
    pub crashes: u64,
    /// Promises broken.
    pub broken: Vec<Broken>,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(model: &Model, calls: &[Call]) -> Self {
        let mut spaces = vec![(0, 0); model.plan.fleet.workspaces.len()];
        let mut pipelines = vec![(0, 0); model.plan.fleet.pipelines.len()];
        for call in calls.iter().filter(|c| !c.poison) {
            spaces[call.space].0 += 1;
            pipelines[call.pipeline].0 += 1;
        }
        Self { spaces, pipelines, sends: vec![0; model.plan.targets.len()], ..Self::default() }
    }

    /// A whole answer that left its host at `now`.
    pub fn answered(&mut self, call: &Call, now: Ms, received: Ms, window: (Ms, Ms)) {
        if call.poison {
            return;
        }
        self.latency.add(received - call.at);
        if now > call.due {
            self.late += 1;
            return;
        }
        self.spaces[call.space].1 += 1;
        self.pipelines[call.pipeline].1 += 1;
        if window.0 <= now && now <= window.1 {
            self.work += call.work;
        }
    }

    /// A stream's first piece came.
    pub fn first_token(&mut self, call: &Call, now: Ms) {
        self.first.add(now - call.at);
    }

    /// A refusal, and how long after its arrival it came.
    pub fn refused(&mut self, refusal: &Refusal, after: Ms) {
        self.refusal.add(after);
        *self.codes.entry(refusal.code).or_default() += 1;
        self.not_run += u64::from(refusal.ran == Ran::No);
    }

    /// An attempt went to a target.
    pub fn sent(&mut self, target: usize) {
        self.sends[target] += 1;
    }

    /// Something of a stage was run.
    pub fn spent(&mut self, stage: &str, cost: f64) {
        *self.costs.entry(stage.to_owned()).or_default() += cost;
    }

    /// An engine read a prompt, some of it from its cache.
    pub fn read(&mut self, tokens: u32, cached: u32) {
        self.read.0 += u64::from(tokens);
        self.read.1 += u64::from(cached);
    }

    /// The run is over.
    pub fn close(self, model: &Model, window: Ms) -> Outcome {
        let sum = self.spaces.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        let plan = &model.plan;
        let pool = |t: usize| -> u64 {
            let same = |i: &usize| plan.targets[*i].pool == plan.targets[t].pool;
            (0..plan.targets.len()).filter(same).map(|i| self.sends[i]).sum()
        };
        let part = |t: usize| self.sends[t] as f64 / pool(t).max(1) as f64;
        Outcome {
            calls: sum.0,
            attainment: share(sum),
            late: self.late,
            spaces: groups(&self.spaces, plan.fleet.workspaces.iter().map(|w| w.name.as_str())),
            pipelines: groups(
                &self.pipelines,
                plan.fleet.pipelines.iter().map(|p| p.name.as_str()),
            ),
            goodput: self.work / (model.capacity() * window.0 as f64 / 1000.0),
            latency: self.latency.percentiles(),
            first_token: self.first.percentiles(),
            refusal: self.refusal.percentiles(),
            codes: self.codes,
            not_run: self.not_run,
            stages: self.costs.into_iter().map(|(stage, cost)| StageCost { stage, cost }).collect(),
            cross_bytes: self.cross.0,
            cross_cost: self.cross.1,
            shares: (0..self.sends.len())
                .map(|t| (plan.targets[t].name.clone(), part(t)))
                .collect(),
            attempts: self.sends.iter().sum(),
            cached: self.read.1 as f64 / self.read.0.max(1) as f64,
            crashes: self.crashes,
            broken: self.broken,
        }
    }
}

/// Good ones of all; one when there were none.
fn share((all, good): (u64, u64)) -> f64 {
    if all == 0 { 1.0 } else { good as f64 / all as f64 }
}

fn groups<'a>(counts: &[(u64, u64)], names: impl Iterator<Item = &'a str>) -> Vec<Group> {
    let group = |(name, &count): (&str, &(u64, u64))| Group {
        name: name.to_owned(),
        calls: count.0,
        attainment: share(count),
    };
    names.zip(counts).map(group).collect()
}
