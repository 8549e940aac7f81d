//! Every policy keeps its promises on every pattern, and runs with the same seed are identical.

use model::{Deployment, Pattern, Policy, Run, run};

/// Asserts that each caller gets one final answer: complete only after the last stage's result, and
/// `ran: no` only if no stage had a result. Non-repeatable stages, such as a sign-off in the
/// register, are sent once, leaving targets get no work, and a resumed stream continues from tokens
/// that the host holds. The faults of each pattern put these promises to the test.
fn assert_promises(policy: Policy, deployment: Deployment) {
    let model = deployment.model().expect("the example is valid");
    for pattern in Pattern::ALL {
        let script = pattern.script();
        let outcome = run(Run { model: &model, script: &script, policy, seed: 11 });
        assert_eq!(outcome.broken, [], "{} {}", policy.name(), pattern.as_str());
    }
}

#[test]
fn naive_keeps_promises_cooperative() {
    assert_promises(Policy::Naive, Deployment::Cooperative);
}

#[test]
fn naive_keeps_promises_publisher() {
    assert_promises(Policy::Naive, Deployment::Publisher);
}

#[test]
fn full_keeps_promises_cooperative() {
    assert_promises(Policy::Full, Deployment::Cooperative);
}

#[test]
fn full_keeps_promises_publisher() {
    assert_promises(Policy::Full, Deployment::Publisher);
}

#[test]
fn same_seed_same_outcome() {
    let model = Deployment::Cooperative.model().expect("the example is valid");
    let script = Pattern::HotLost.script();
    for policy in [Policy::Naive, Policy::Full] {
        let once = |seed| run(Run { model: &model, script: &script, policy, seed });
        assert_eq!(once(5), once(5));
        assert_ne!(once(5), once(6));
    }
}
