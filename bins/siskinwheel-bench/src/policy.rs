//! `siskinwheel-bench policy`: simulates load patterns under each policy in virtual time, and
//! measures the time of a decision.

use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use model::{Deployment, Model, Outcome, Pattern, Policy, Run, Times};
use pico_args::Arguments;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use crate::report::{Output, Table};
use crate::stats::Spread;
use crate::{ablation, decide, reject_unknown, sweep};

pub const HELP: &str = "\
Usage: siskinwheel-bench policy [--seeds N] [--pattern P] [--deployment D] [--policies A,B]
                                [--slots N] [--hosts N] [--json]
       siskinwheel-bench policy --sweep [--seeds N] [--deployment D] [--plot FILE.svg]
       siskinwheel-bench policy --time [--plot FILE.svg] [--json]
       siskinwheel-bench policy --record FILE [--pattern P] [--deployment D]

Simulates each load pattern in virtual time and prints the service that callers get, by policy:
naive, full, and full with one decision disabled (-admit, -fair, ...). Median and range over the
seeds 1 to N.

  --seeds N        repeats, default 10
  --pattern P      only this pattern; default all
  --deployment D   cooperative or casing-and-quill; default both
  --policies A,B   only these, such as naive,full,-route; default all
  --sweep          run naive and full at growing load instead
  --slots N        requests that an engine runs in one batch, default 8
  --hosts N        entry hosts in each failure domain, default 2
  --time           measure the time of a decision instead, at growing sizes
  --record FILE    write the events of one host of one run for `replay`";

/// Seeds simulated in parallel. Time is virtual, so the number does not affect the results.
const THREADS: usize = 4;

const COLUMNS: [&str; 15] = [
    "policy",
    "attained %",
    "small ws %",
    "goodput %",
    "p50 ms",
    "p99 ms",
    "first token p95 ms",
    "refused",
    "refused after p50/p99 ms",
    "attempts/call",
    "cached %",
    "cost/1000 in time",
    "by stage",
    "cross MB",
    "crashes",
];

/// Runs the command.
pub fn run(mut args: Arguments, output: &Output) -> Result<()> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(10);
    let pattern = args.opt_value_from_fn("--pattern", parse_pattern)?;
    let deployment = args.opt_value_from_fn("--deployment", parse_deployment)?;
    let policies = args.opt_value_from_fn("--policies", parse_policies)?;
    let record: Option<PathBuf> = args.opt_value_from_str("--record")?;
    let mut times = Times::default();
    times.engine_slots = args.opt_value_from_str("--slots")?.unwrap_or(times.engine_slots);
    times.hosts = args.opt_value_from_str("--hosts")?.unwrap_or(times.hosts);
    let time = args.contains("--time");
    let run_sweep = args.contains("--sweep");
    reject_unknown(args)?;
    if let Some(path) = record {
        let deployment = deployment.unwrap_or(Deployment::Cooperative);
        return self::record(&path, pattern.unwrap_or(Pattern::Steady), deployment);
    }
    if time {
        return decide::run(output);
    }
    if run_sweep {
        return sweep::run(deployment.unwrap_or(Deployment::Cooperative), seeds, output);
    }
    let patterns = pattern.map_or(Pattern::ALL.to_vec(), |p| vec![p]);
    let deployments = deployment.map_or(Deployment::ALL.to_vec(), |d| vec![d]);
    let policies = policies.unwrap_or_else(Policy::all);
    let runs = patterns.len() * deployments.len() * policies.len() * seeds as usize;
    let bar = ProgressBar::new(runs as u64);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} {eta} {msg}")?);
    let mut tables = Vec::new();
    for deployment in deployments {
        let model =
            deployment.with_times(times.clone()).context("reading the example configuration")?;
        let name = deployment.as_str();
        let mut outcomes = Vec::new();
        for &pattern in &patterns {
            bar.set_message(format!("{name}, {}", pattern.as_str()));
            let runs =
                policies.iter().map(|&policy| run_seeds(&model, pattern, policy, seeds, &bar));
            let runs: Vec<Vec<Outcome>> = runs.collect();
            tables.push(Table {
                title: format!("{name}, {}: 60 s, seeds 1 to {seeds}", pattern.as_str()),
                columns: COLUMNS.map(str::to_owned).to_vec(),
                rows: policies.iter().zip(&runs).map(|(&p, runs)| row(p, runs)).collect(),
            });
            outcomes.push(runs);
        }
        for metric in METRICS {
            tables.push(metric_table(name, metric, &patterns, &policies, &outcomes));
        }
        tables.push(ablation::table(name, &patterns, &policies, &outcomes));
    }
    bar.finish_and_clear();
    output.tables(&tables)
}

/// Name, decimal places and value of a metric in a table of patterns by policy.
type Metric = (&'static str, usize, fn(&Outcome) -> f64);

const METRICS: [Metric; 6] = [
    ("attained %", 2, |o| o.attainment * 100.0),
    ("small ws %", 1, |o| o.small_workspaces() * 100.0),
    ("p99 ms", 0, |o| o.latency.p99 as f64),
    ("goodput %", 1, |o| o.goodput * 100.0),
    ("cost/1000 in time", 0, |o| o.unit_cost() * 1000.0),
    ("cross MB", 1, |o| o.cross_bytes as f64 / 1e6),
];

fn metric_table(
    name: &str,
    (what, digits, metric): Metric,
    patterns: &[Pattern],
    policies: &[Policy],
    outcomes: &[Vec<Vec<Outcome>>],
) -> Table {
    let median = |runs: &Vec<Outcome>| {
        let values: Vec<f64> = runs.iter().map(metric).collect();
        format!("{:.digits$}", Spread::of(&values).median)
    };
    let columns = policies.iter().map(|p| p.name());
    let row = |(pattern, runs): (&Pattern, &Vec<Vec<Outcome>>)| {
        [pattern.as_str().to_owned()].into_iter().chain(runs.iter().map(median)).collect()
    };
    Table {
        title: format!("{name}: {what}, median"),
        columns: ["pattern".to_owned()].into_iter().chain(columns).collect(),
        rows: patterns.iter().zip(outcomes).map(row).collect(),
    }
}

fn run_seeds(
    model: &Model,
    pattern: Pattern,
    policy: Policy,
    seeds: u64,
    bar: &ProgressBar,
) -> Vec<Outcome> {
    let script = pattern.script();
    let simulate = |seed| {
        let outcome = model::run(Run { model, script: &script, policy, seed });
        bar.inc(1);
        outcome
    };
    let mut out: Vec<Option<Outcome>> = (0..seeds).map(|_| None).collect();
    let chunk_len = out.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        for (i, chunk) in out.chunks_mut(chunk_len).enumerate() {
            let simulate = &simulate;
            scope.spawn(move || {
                for (j, slot) in chunk.iter_mut().enumerate() {
                    *slot = Some(simulate((i * chunk_len + j) as u64 + 1));
                }
            });
        }
    });
    out.into_iter().flatten().collect()
}

/// Median cost of each stage per thousand answers in time, most expensive first.
fn stage_costs(outcomes: &[Outcome]) -> String {
    let names: BTreeSet<&str> =
        outcomes.iter().flat_map(|o| &o.stages).map(|s| s.stage.as_str()).collect();
    let median = |name: &str| {
        let of = |o: &Outcome| {
            let cost = o.stages.iter().find(|s| s.stage == name).map_or(0.0, |s| s.cost);
            cost * 1000.0 / (o.attainment * o.calls as f64).max(1.0)
        };
        Spread::of(&outcomes.iter().map(of).collect::<Vec<_>>()).median
    };
    let mut costs: Vec<(&str, f64)> = names.into_iter().map(|n| (n, median(n))).collect();
    costs.sort_by(|a, b| b.1.total_cmp(&a.1));
    let text = costs.iter().map(|(name, cost)| format!("{name} {cost:.0}"));
    text.collect::<Vec<_>>().join(", ")
}

fn row(policy: Policy, outcomes: &[Outcome]) -> Vec<String> {
    let spread = |digits: usize, f: &dyn Fn(&Outcome) -> f64| {
        Spread::of(&outcomes.iter().map(f).collect::<Vec<_>>()).show(digits)
    };
    let refusal = |f: &dyn Fn(&Outcome) -> u64| spread(0, &|o| f(o) as f64);
    vec![
        policy.name(),
        spread(2, &|o| o.attainment * 100.0),
        spread(1, &|o| o.small_workspaces() * 100.0),
        spread(1, &|o| o.goodput * 100.0),
        spread(0, &|o| o.latency.p50 as f64),
        spread(0, &|o| o.latency.p99 as f64),
        spread(0, &|o| o.first_token.p95 as f64),
        refusal(&|o| o.refusal.count),
        format!("{} / {}", refusal(&|o| o.refusal.p50), refusal(&|o| o.refusal.p99)),
        spread(2, &|o| o.attempts as f64 / o.calls as f64),
        spread(0, &|o| o.cached * 100.0),
        spread(0, &|o| o.unit_cost() * 1000.0),
        stage_costs(outcomes),
        spread(1, &|o| o.cross_bytes as f64 / 1e6),
        spread(0, &|o| o.crashes as f64),
    ]
}

fn record(path: &Path, pattern: Pattern, deployment: Deployment) -> Result<()> {
    let model = deployment.model().context("reading the example configuration")?;
    let script = pattern.script();
    let lines = Run { model: &model, script: &script, policy: Policy::Full, seed: 1 }.record();
    let mut text = String::new();
    for line in &lines {
        text.push_str(&serde_json::to_string(line)?);
        text.push('\n');
    }
    std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))
}

fn parse_pattern(name: &str) -> Result<Pattern, String> {
    let names = Pattern::ALL.map(Pattern::as_str).join(", ");
    Pattern::named(name).ok_or_else(|| format!("unknown pattern '{name}'; expected one of {names}"))
}

fn parse_deployment(name: &str) -> Result<Deployment, String> {
    let names = Deployment::ALL.map(Deployment::as_str).join(", ");
    Deployment::named(name)
        .ok_or_else(|| format!("unknown deployment '{name}'; expected one of {names}"))
}

fn parse_policies(names: &str) -> Result<Vec<Policy>, String> {
    let all = || Policy::all().into_iter().map(Policy::name).collect::<Vec<_>>().join(", ");
    let one = |name| {
        Policy::named(name)
            .ok_or_else(|| format!("unknown policy '{name}'; expected one of {}", all()))
    };
    names.split(',').map(one).collect()
}
