//! Open-loop load: callers send at their intended times, independent of the answers.

use base::Ms;
use policy::Arrival;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::{Model, Script};

/// Number of prefix keys that requests are spread over if none is hot.
const PREFIX_KEYS: u64 = 200;
/// Share of the load that goes to hot prefix keys.
const HOT_SHARE: f64 = 0.8;
/// Sampled requests from which the mean work of a request is computed.
const SAMPLES: usize = 4_000;

/// One request as its caller intends to send it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Intended send time.
    pub at: Ms,
    /// Workspace, as an index into the plan.
    pub workspace: usize,
    /// Pipeline, as an index into the plan.
    pub pipeline: usize,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Tokens that the engine will generate.
    pub tokens_out: u32,
    /// Hash of the prefix key; zero for none.
    pub prefix: u64,
    /// Latest time at which the answer may leave its host.
    pub deadline: Ms,
    /// Whether it crashes the engines that run it.
    pub poison: bool,
    /// Time in an engine that runs nothing else, ms; zero for pipelines without an engine.
    pub work: f64,
}

impl Call {
    /// The request as a host receives it.
    pub fn arrival(&self, model: &Model, number: usize, request: base::RequestId) -> Arrival {
        let plan = &model.plan;
        let stages = &plan.stages[self.pipeline];
        Arrival {
            request,
            workspace: plan.fleet.workspaces[self.workspace].name.clone(),
            pipeline: plan.pipeline_name(self.pipeline).clone(),
            priority: None,
            deadline: self.deadline,
            tokens_in: self.tokens_in,
            max_tokens: stages.iter().map(|s| s.max_tokens).max().unwrap_or(0).min(self.limit()),
            prefix: self.prefix,
            fingerprint: number as u64 + 1,
            keyed: plan.has_unrepeatable(self.pipeline),
            resent: false,
        }
    }

    /// The token limit that the caller asks for: a quarter above the tokens that are generated,
    /// rounded up to a multiple of 8.
    fn limit(&self) -> u32 {
        (self.tokens_out * 5 / 4).next_multiple_of(8)
    }
}

/// All calls of a run, ordered by send time.
pub(crate) fn calls(model: &Model, script: &Script, seed: u64) -> Vec<Call> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut mean_rng = ChaCha8Rng::seed_from_u64(0);
    let draw = CallSampler::new(model, script);
    let work: f64 = (0..SAMPLES).map(|_| draw.call(&mut mean_rng, Ms::ZERO).work).sum();
    let capacity = model.capacity() / (work / SAMPLES as f64);
    let mut out = Vec::new();
    let mut at = 0.0;
    loop {
        let share = script.load.iter().rev().find(|(from, _)| from.0 as f64 <= at);
        let rate = capacity * share.map_or(0.0, |(_, share)| *share) / 1000.0;
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= script.length.0 as f64 {
            break;
        }
        out.push(draw.call(&mut rng, Ms(at as u64)));
    }
    if let Some(poison) = script.poison {
        for i in 1..=u64::from(poison.callers) {
            let at = script.length.scale(i, 2 * u64::from(poison.callers));
            let mut call = draw.call(&mut rng, at);
            call.poison = true;
            out.push(call);
        }
        out.sort_by_key(|c| c.at);
    }
    out
}

/// Draws random calls.
struct CallSampler<'a> {
    model: &'a Model,
    script: &'a Script,
    /// Cumulative shares of the workspaces.
    workspaces: Vec<f64>,
    /// Cumulative shares of the pipelines.
    pipelines: Vec<f64>,
}

impl<'a> CallSampler<'a> {
    fn new(model: &'a Model, script: &'a Script) -> Self {
        let fleet = &model.plan.fleet;
        let mut workspaces: Vec<f64> = fleet.workspaces.iter().map(|w| w.weight).collect();
        if let Some(hot) = script.hot_workspace {
            let rest: f64 = workspaces.iter().skip(1).sum();
            workspaces[0] = rest * hot / (1.0 - hot);
        }
        // Longer answers are requested less often. Pipelines without an engine get a small share.
        let tokens = |p: usize| answer_tokens(model, p);
        let mut pipelines: Vec<f64> = (0..fleet.pipelines.len())
            .map(|p| if tokens(p) == 0 { 0.1 } else { 1.0 / f64::from(tokens(p)).sqrt() })
            .collect();
        if let Some(share) = script.long_share {
            let long = (0..pipelines.len()).max_by_key(|&p| tokens(p)).unwrap_or(0);
            let rest: f64 = pipelines.iter().sum::<f64>() - pipelines[long];
            pipelines[long] = rest * share / (1.0 - share);
        }
        Self {
            model,
            script,
            workspaces: cumulative(&workspaces),
            pipelines: cumulative(&pipelines),
        }
    }

    fn call(&self, rng: &mut ChaCha8Rng, at: Ms) -> Call {
        let model = self.model;
        let workspace = pick(&self.workspaces, rng.random());
        let pipeline = pick(&self.pipelines, rng.random());
        let most = answer_tokens(model, pipeline);
        let tokens_out = (f64::from(most) * rng.random_range(0.6..1.0)) as u32;
        let prompt = if most >= 200 { 4_000.0 } else { 1_000.0 };
        let tokens_in = (prompt * rng.random_range(0.5..1.5)) as u32;
        let key = self.key(rng);
        let deadline = model.plan.effective(workspace, pipeline, at).deadline_ms.0;
        Call {
            at,
            workspace,
            pipeline,
            tokens_in,
            tokens_out,
            prefix: key,
            deadline: at + model.times.client_ms + deadline,
            poison: false,
            work: if most == 0 { 0.0 } else { model.work(tokens_in, tokens_out) },
        }
    }

    /// Draws the hash of a prefix key; zero for none.
    fn key(&self, rng: &mut ChaCha8Rng) -> u64 {
        let (has, hot) = (rng.random::<f64>(), rng.random::<f64>());
        let key = rng.random_range(0..PREFIX_KEYS);
        match self.script.hot_keys {
            _ if has >= self.script.prefixed => 0,
            Some(keys) if hot < HOT_SHARE => {
                base::hash_parts(&[b"hot", &(key % keys).to_le_bytes()])
            }
            _ => base::hash_parts(&[b"key", &key.to_le_bytes()]),
        }
    }
}

/// Token limit of a pipeline's answers; zero if no engine takes part.
fn answer_tokens(model: &Model, pipeline: usize) -> u32 {
    let stages = &model.plan.stages[pipeline];
    stages.iter().filter(|s| s.model.is_some()).map(|s| s.max_tokens).max().unwrap_or(0)
}

fn cumulative(shares: &[f64]) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    shares
        .iter()
        .scan(0.0, |sum, share| {
            *sum += share / total;
            Some(*sum)
        })
        .collect()
}

fn pick(cumulative: &[f64], at: f64) -> usize {
    cumulative.iter().position(|&c| at < c).unwrap_or(cumulative.len() - 1)
}
