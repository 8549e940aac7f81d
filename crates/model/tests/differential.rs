//! The full policy compared with the baseline on the same calls, faults and seeds.

use model::{Deployment, Outcome, Pattern, Policy, Run, run};

/// How far a pattern's attainment may fall below the baseline's by chance: the policies meet
/// different stragglers, which affects a few of some thousands of requests.
const TOLERANCE: f64 = 0.005;
const SEEDS: [u64; 2] = [1, 2];

fn mean(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(|o| o.attainment).sum::<f64>() / outcomes.len() as f64
}

fn compare(deployment: Deployment, patterns: impl Iterator<Item = Pattern>) {
    let model = deployment.model().expect("the example is valid");
    let mut worse = Vec::new();
    for pattern in patterns {
        let script = pattern.script();
        let run_policy = |policy| {
            let one = |seed| run(Run { model: &model, script: &script, policy, seed });
            SEEDS.map(one).to_vec()
        };
        let (naive, full) = (mean(&run_policy(Policy::Naive)), mean(&run_policy(Policy::Full)));
        if full < naive - TOLERANCE {
            worse.push(format!("{}: {full:.4} below {naive:.4}", pattern.as_str()));
        }
    }
    assert!(worse.is_empty(), "{worse:?}");
}

fn all_but_slow_stage() -> impl Iterator<Item = Pattern> {
    Pattern::ALL.into_iter().filter(|&p| p != Pattern::SlowStage)
}

#[test]
fn attains_no_less_than_naive_cooperative() {
    compare(Deployment::Cooperative, all_but_slow_stage());
}

#[test]
fn attains_no_less_than_naive_publisher() {
    compare(Deployment::Publisher, all_but_slow_stage());
}

/// Retrievers are too slow for the load, and one failure domain has fewer of them than the others.
/// The baseline spreads requests over all domains. A policy that prefers near targets must notice
/// that these are full while others have room; otherwise it refuses requests needlessly.
#[test]
fn slow_stage_attains_no_less_than_naive() {
    for deployment in Deployment::ALL {
        compare(deployment, std::iter::once(Pattern::SlowStage));
    }
}
