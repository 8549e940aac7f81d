//! Property test: the promises that every policy must keep hold under random loads and faults.

use base::Ms;
use model::{Change, Deployment, Pattern, Poisoned, Policy, Resend, Run, Script, run};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (0..9usize, 1.0..20.0f64).prop_map(|(e, f)| Change::Slow(e, f)),
        (0..9usize).prop_map(Change::Silent),
        (0..9usize).prop_map(Change::Crash),
        (0..9usize).prop_map(Change::Leaving),
        (0..3usize).prop_map(Change::Lost),
        (0..3usize).prop_map(Change::Back),
        // The two hosts of the first failure domain are never drained.
        (2..6usize).prop_map(Change::Drain),
    ]
}

fn script() -> impl Strategy<Value = Script> {
    let load = prop::collection::vec((0..10_000u64, 0.05..2.5f64), 1..4);
    let changes = prop::collection::vec((0..10_000u64, change()), 0..6);
    let resend = prop_oneof![
        Just(Resend::Never),
        Just(Resend::Honour),
        (50..2_000u64).prop_map(|gap| Resend::Insist(Ms(gap))),
    ];
    let poison = prop::option::of(Just(Poisoned { callers: 2, resends: 10, gap: Ms(300) }));
    (load, changes, resend, poison, 0..6_000u64).prop_map(|(load, changes, resend, poison, lag)| {
        let mut load: Vec<_> = load.into_iter().map(|(at, share)| (Ms(at), share)).collect();
        let mut changes: Vec<_> = changes.into_iter().map(|(at, c)| (Ms(at), c)).collect();
        load.sort_by_key(|l| l.0);
        load[0].0 = Ms::ZERO;
        changes.sort_by_key(|c| c.0);
        // The first failure domain is never lost, so the load balancer always has a host to send
        // to.
        let lost = |c: &Change| matches!(c, Change::Lost(0));
        changes.retain(|(_, c)| !lost(c));
        let length = Ms::secs(10);
        Script {
            length,
            load,
            changes,
            resend,
            poison,
            report_lag: Ms(lag),
            ..Pattern::Steady.script()
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Whatever is lost, slow, silent or sent again, each request gets exactly one correct answer,
    /// no non-repeatable stage is sent twice, and no stream has a gap.
    #[test]
    fn promises_hold(script in script(), seed in 0..1_000u64) {
        for deployment in Deployment::ALL {
            let model = deployment.model().expect("the example is valid");
            for policy in [Policy::Naive, Policy::Full] {
                let outcome = run(Run { model: &model, script: &script, policy, seed });
                prop_assert_eq!(&outcome.broken, &[], "{} {}", policy.name(), deployment.as_str());
            }
        }
    }
}
