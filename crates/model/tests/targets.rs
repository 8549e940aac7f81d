//! Checks of the simulation itself: capacity, faults and caches under the baseline policy.

use base::Ms;
use model::{Change, Deployment, Model, Outcome, Pattern, Policy, Run, Script, run};

fn model() -> Model {
    Deployment::Cooperative.model().expect("the example is valid")
}

fn naive(model: &Model, script: &Script) -> Outcome {
    run(Run { model, script, policy: Policy::Naive, seed: 1 })
}

fn steady(load: f64) -> Script {
    let load = vec![(Ms::ZERO, load)];
    Script { load, prefixed: 0.0, length: Ms::secs(30), ..Pattern::Steady.script() }
}

#[test]
fn goodput_follows_load_below_capacity() {
    let outcome = naive(&model(), &steady(0.5));
    assert!((0.45..0.55).contains(&outcome.goodput), "{}", outcome.goodput);
    assert!(outcome.attainment > 0.99, "{}", outcome.attainment);
}

#[test]
fn nothing_does_more_than_capacity() {
    let outcome = naive(&model(), &steady(3.0));
    assert!(outcome.goodput <= 1.02, "{}", outcome.goodput);
}

#[test]
fn round_robin_spreads_evenly_and_crosses_regions() {
    let outcome = naive(&model(), &steady(0.3));
    let engines = outcome.shares.iter().filter(|(t, _)| t.as_str().starts_with("engines"));
    assert!(engines.clone().all(|(_, share)| (share - 1.0 / 12.0).abs() < 0.02));
    assert!(outcome.cross_bytes > 0);
}

/// Requests sent to a very slow engine miss their deadlines, since the baseline doesn't avoid it.
#[test]
fn slow_engine_costs_its_share() {
    let changes = vec![(Ms::ZERO, Change::Slow(0, 100.0))];
    let outcome = naive(&model(), &Script { changes, ..steady(0.3) });
    assert!((0.85..0.95).contains(&outcome.attainment), "{}", outcome.attainment);
}

/// A silent engine is detected only by the silence time-out: its callers wait for that long and
/// then get their answers from other engines.
#[test]
fn silent_engine_is_detected_and_requests_retried() {
    let changes = vec![(Ms::ZERO, Change::Silent(0))];
    let outcome = naive(&model(), &Script { changes, ..steady(0.3) });
    assert!(outcome.latency.p99 >= 2_000, "{:?}", outcome.latency);
    assert!(outcome.attainment > 0.97, "{}", outcome.attainment);
}

#[test]
fn hot_keys_hit_the_cache() {
    let script = Script { hot_keys: Some(3), prefixed: 1.0, ..steady(0.3) };
    assert!(naive(&model(), &script).cached > 0.4);
    assert!(naive(&model(), &steady(0.3)).cached == 0.0);
}

#[test]
fn poison_requests_crash_engines() {
    assert!(naive(&model(), &Pattern::Poison.script()).crashes >= 3);
}
