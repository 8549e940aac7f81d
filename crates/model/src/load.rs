//! Open-loop arrivals: callers send at their intended times, whatever comes back.

use base::Ms;
use policy::Arrival;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::{Model, Script};

/// Prefix keys over which callers spread, where none is hot.
const KEYS: u64 = 200;
/// Share of the load that hot prefix keys take.
const HOT_SHARE: f64 = 0.8;
/// Samples from which the mean work of a request is taken.
const SAMPLES: usize = 4_000;

/// One request as its caller meant it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Intended send time.
    pub at: Ms,
    /// Workspace, as an index into the plan.
    pub space: usize,
    /// Pipeline, as an index into the plan.
    pub pipeline: usize,
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Tokens that the engine will generate.
    pub tokens_out: u32,
    /// Hash of the prefix key; zero for none.
    pub prefix: u64,
    /// Latest time at which the answer may leave its host.
    pub due: Ms,
    /// Whether it brings down the engines that run it.
    pub poison: bool,
    /// Work in an engine, ms of a lone request; zero for pipelines without an engine.
    pub work: f64,
}

impl Call {
    /// The request as a host gets it.
    pub fn arrival(&self, model: &Model, number: usize, request: base::RequestId) -> Arrival {
        let plan = &model.plan;
        let stages = &plan.stages[self.pipeline];
        Arrival {
            request,
            workspace: plan.fleet.workspaces[self.space].name.clone(),
            pipeline: plan.pipeline_name(self.pipeline).clone(),
            priority: None,
            deadline: self.due,
            tokens_in: self.tokens_in,
            max_tokens: stages.iter().map(|s| s.max_tokens).max().unwrap_or(0).min(self.limit()),
            prefix: self.prefix,
            fingerprint: number as u64 + 1,
            keyed: plan.has_unrepeatable(self.pipeline),
            resent: false,
        }
    }

    /// Callers ask for a round number above what comes back.
    fn limit(&self) -> u32 {
        (self.tokens_out * 5 / 4).next_multiple_of(8)
    }
}

/// All calls of a run, in order of time.
pub(crate) fn calls(model: &Model, script: &Script, seed: u64) -> Vec<Call> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut mean_rng = ChaCha8Rng::seed_from_u64(0);
    let draw = Draw::new(model, script);
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

/// Draws single calls.
struct Draw<'a> {
    model: &'a Model,
    script: &'a Script,
    /// Cumulated shares of the workspaces.
    spaces: Vec<f64>,
    /// Cumulated shares of the pipelines.
    pipelines: Vec<f64>,
}

impl<'a> Draw<'a> {
    fn new(model: &'a Model, script: &'a Script) -> Self {
        let fleet = &model.plan.fleet;
        let mut spaces: Vec<f64> = fleet.workspaces.iter().map(|w| w.weight).collect();
        if let Some(hot) = script.hot_space {
            let rest: f64 = spaces.iter().skip(1).sum();
            spaces[0] = rest * hot / (1.0 - hot);
        }
        // Longer answers are asked for less often; orders are a small part.
        let tokens = |p: usize| answer_tokens(model, p);
        let mut pipelines: Vec<f64> = (0..fleet.pipelines.len())
            .map(|p| if tokens(p) == 0 { 0.1 } else { 1.0 / f64::from(tokens(p)).sqrt() })
            .collect();
        if let Some(share) = script.long_share {
            let long = (0..pipelines.len()).max_by_key(|&p| tokens(p)).unwrap_or(0);
            let rest: f64 = pipelines.iter().sum::<f64>() - pipelines[long];
            pipelines[long] = rest * share / (1.0 - share);
        }
        Self { model, script, spaces: cumulated(&spaces), pipelines: cumulated(&pipelines) }
    }

    fn call(&self, rng: &mut ChaCha8Rng, at: Ms) -> Call {
        let model = self.model;
        let space = pick(&self.spaces, rng.random());
        let pipeline = pick(&self.pipelines, rng.random());
        let most = answer_tokens(model, pipeline);
        let tokens_out = (f64::from(most) * rng.random_range(0.6..1.0)) as u32;
        let prompt = if most >= 200 { 4_000.0 } else { 1_000.0 };
        let tokens_in = (prompt * rng.random_range(0.5..1.5)) as u32;
        let key = self.key(rng);
        let deadline = model.plan.effective(space, pipeline, at).deadline_ms.0;
        Call {
            at,
            space,
            pipeline,
            tokens_in,
            tokens_out,
            prefix: key,
            due: at + model.times.client_ms + deadline,
            poison: false,
            work: if most == 0 { 0.0 } else { model.work(tokens_in, tokens_out) },
        }
    }

    /// A prefix key; zero for none.
    fn key(&self, rng: &mut ChaCha8Rng) -> u64 {
        let (has, hot) = (rng.random::<f64>(), rng.random::<f64>());
        let key = rng.random_range(0..KEYS);
        match self.script.hot_keys {
            _ if has >= self.script.prefixed => 0,
            Some(keys) if hot < HOT_SHARE => {
                base::hash_parts(&[b"hot", &(key % keys).to_le_bytes()])
            }
            _ => base::hash_parts(&[b"key", &key.to_le_bytes()]),
        }
    }
}

/// Most tokens that a pipeline generates; zero where no engine takes part.
fn answer_tokens(model: &Model, pipeline: usize) -> u32 {
    let stages = &model.plan.stages[pipeline];
    stages.iter().filter(|s| s.model.is_some()).map(|s| s.max_tokens).max().unwrap_or(0)
}

fn cumulated(shares: &[f64]) -> Vec<f64> {
    let total: f64 = shares.iter().sum();
    shares
        .iter()
        .scan(0.0, |sum, share| {
            *sum += share / total;
            Some(*sum)
        })
        .collect()
}

fn pick(cumulated: &[f64], at: f64) -> usize {
    cumulated.iter().position(|&c| at < c).unwrap_or(cumulated.len() - 1)
}
