//! Results of a run: answers as callers see them, and costs.

use base::{Ms, RequestId, TargetId};
use policy::{Code, Ran, Refusal};
use serde::Serialize;
use std::collections::BTreeMap;

use crate::Model;
use crate::figures::{Durations, Percentiles};
use crate::load::Call;

/// Start of a run that doesn't count for goodput, since queues are still filling.
pub(crate) const WARMUP: Ms = Ms::secs(5);

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Calls that callers intended to send, without poison requests.
    pub calls: u64,
    /// Share of these calls that were answered completely within their deadline, re-sends included.
    pub attainment: f64,
    /// Answered completely, but after the deadline.
    pub late: u64,
    /// Calls and attainment by workspace, in the plan's order.
    pub spaces: Vec<Group>,
    /// Calls and attainment by pipeline, in the plan's order.
    pub pipelines: Vec<Group>,
    /// Engine work for answers in time, as a share of the engines' capacity without cached
    /// prefixes.
    pub goodput: f64,
    /// Time from the intended send time to the complete answer, ms.
    pub latency: Percentiles,
    /// Time from the intended send time until a stream's first piece reaches the host, ms.
    pub first_token: Percentiles,
    /// Time from a request's arrival at a host to its refusal, ms.
    pub refusal: Percentiles,
    /// Number of refusals by code.
    pub codes: BTreeMap<Code, u64>,
    /// Refusals that state that nothing ran.
    pub not_run: u64,
    /// Cost by stage name, wasted work included, in the configuration's unit.
    pub stages: Vec<StageCost>,
    /// Bytes sent between regions.
    pub cross_bytes: u64,
    /// Cost of these bytes.
    pub cross_cost: f64,
    /// Attempts sent to each target, as a share of the attempts sent to its pool.
    pub shares: Vec<(TargetId, f64)>,
    /// Total number of attempts sent.
    pub attempts: u64,
    /// Share of the engines' prompt tokens that were read from cached prefixes.
    pub cached: f64,
    /// Number of engine crashes caused by poison requests.
    pub crashes: u64,
    /// Promises that were broken; empty for any correct policy.
    pub broken: Vec<BrokenPromise>,
}

/// Calls of one workspace or to one pipeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Calls that callers intended to send.
    pub calls: u64,
    /// Share of these calls that were answered completely within their deadline.
    pub attainment: f64,
}

/// Cost of one stage.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StageCost {
    /// Its name; stages of this name in all pipelines are counted together.
    pub stage: String,
    /// Cost in the configuration's unit.
    pub cost: f64,
}

/// A promise that a policy broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum BrokenPromise {
    /// A request got a second final answer.
    SecondAnswer(RequestId),
    /// A request never got a final answer.
    Unanswered(RequestId),
    /// A request was answered as complete before its last stage had a result.
    FalseAnswer(RequestId),
    /// A non-repeatable stage was sent again.
    SentAgain(RequestId),
    /// An attempt was sent to a target that the host knew to be leaving.
    SentLeaving(RequestId),
    /// A stream was resumed beyond the tokens that the host holds.
    Gap(RequestId),
    /// A draining host refused a request that had arrived before the drain.
    CutOff(RequestId),
    /// A refusal stated `ran: no` although a stage had run.
    FalseNo(RequestId),
}

impl Outcome {
    /// Cost of all stages and of traffic between regions per answer in time, in the configuration's
    /// unit.
    pub fn unit_cost(&self) -> f64 {
        let spent: f64 = self.stages.iter().map(|s| s.cost).sum::<f64>() + self.cross_cost;
        spent / (self.attainment * self.calls as f64).max(1.0)
    }

    /// Lowest attainment of all workspaces except the first, which is the hot one in patterns that
    /// have one.
    pub fn small_workspaces(&self) -> f64 {
        self.spaces.iter().skip(1).map(|s| s.attainment).fold(1.0, f64::min)
    }
}

/// Counters of a run in progress.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Calls, and calls answered in time, by workspace.
    spaces: Vec<(u64, u64)>,
    pipelines: Vec<(u64, u64)>,
    late: u64,
    work: f64,
    latency: Durations,
    first: Durations,
    refusal: Durations,
    codes: BTreeMap<Code, u64>,
    not_run: u64,
    costs: BTreeMap<String, f64>,
    sends: Vec<u64>,
    read: (u64, u64),
    /// Bytes sent between regions, and their cost.
    pub cross: (u64, f64),
    /// Engine crashes caused by poison requests.
    pub crashes: u64,
    /// Broken promises.
    pub broken: Vec<BrokenPromise>,
}

impl Tally {
    /// Creates counters for these calls.
    pub fn new(model: &Model, calls: &[Call]) -> Self {
        let mut spaces = vec![(0, 0); model.plan.fleet.workspaces.len()];
        let mut pipelines = vec![(0, 0); model.plan.fleet.pipelines.len()];
        for call in calls.iter().filter(|c| !c.poison) {
            spaces[call.workspace].0 += 1;
            pipelines[call.pipeline].0 += 1;
        }
        Self { spaces, pipelines, sends: vec![0; model.plan.targets.len()], ..Self::default() }
    }

    /// Counts a complete answer that left its host at `now`.
    pub fn answered(&mut self, call: &Call, now: Ms, received: Ms, window: (Ms, Ms)) {
        if call.poison {
            return;
        }
        self.latency.add(received - call.at);
        if now > call.deadline {
            self.late += 1;
            return;
        }
        self.spaces[call.workspace].1 += 1;
        self.pipelines[call.pipeline].1 += 1;
        if window.0 <= now && now <= window.1 {
            self.work += call.work;
        }
    }

    /// Records the first piece of a stream.
    pub fn first_token(&mut self, call: &Call, now: Ms) {
        self.first.add(now - call.at);
    }

    /// Counts a refusal that came `after` this time from the request's arrival.
    pub fn refused(&mut self, refusal: &Refusal, after: Ms) {
        self.refusal.add(after);
        *self.codes.entry(refusal.code).or_default() += 1;
        self.not_run += u64::from(refusal.ran == Ran::No);
    }

    /// Counts an attempt sent to a target.
    pub fn sent(&mut self, target: usize) {
        self.sends[target] += 1;
    }

    /// Adds to the cost of a stage.
    pub fn spent(&mut self, stage: &str, cost: f64) {
        *self.costs.entry(stage.to_owned()).or_default() += cost;
    }

    /// Counts the prompt tokens that an engine read, and those of them that were cached.
    pub fn read(&mut self, tokens: u32, cached: u32) {
        self.read.0 += u64::from(tokens);
        self.read.1 += u64::from(cached);
    }

    /// Computes the results at the end of a run.
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

/// Share of good ones among all; 1 if there are none.
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
