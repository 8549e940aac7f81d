//! Invariants that must hold for any sequence of events. They are checked with random events for
//! the full policy, for the policy with decisions disabled, and for the baseline.

mod common;

use common::host_context;
use common::oracle::{Op, Oracle};
use policy::{Decision, Fault, Grant, Naive, Reducer, State};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn op() -> impl Strategy<Value = Op> {
    let fault = prop::sample::select(vec![
        Fault::Connect,
        Fault::Full,
        Fault::Rejected,
        Fault::Error,
        Fault::Broken,
        Fault::Silent,
        Fault::Dead,
        Fault::Mismatch,
        Fault::TooLarge,
    ]);
    let grant = prop::sample::select(vec![
        Grant::Granted,
        Grant::Granted,
        Grant::Granted,
        Grant::Granted,
        Grant::Answered,
        Grant::Running,
        Grant::Unknown,
        Grant::Unavailable,
        Grant::Expired,
    ]);
    let pick = 0..64usize;
    prop_oneof![
        8 => (0..3usize, 0..4usize, prop::bool::weighted(0.2), 1..9_000u64, 0..12u64).prop_map(
            |(workspace, pipeline, resent, left, fingerprint)| {
                Op::Arrive { workspace, pipeline, resent, left, fingerprint }
            }
        ),
        6 => (pick.clone(), grant).prop_map(|(pick, grant)| Op::Grant { pick, grant }),
        10 => pick.clone().prop_map(|pick| Op::Sent { pick }),
        6 => (pick.clone(), 1..9u32).prop_map(|(pick, tokens)| Op::Piece { pick, tokens }),
        10 => pick.clone().prop_map(|pick| Op::Done { pick }),
        6 => (pick.clone(), fault).prop_map(|(pick, fault)| Op::Fail { pick, fault }),
        1 => pick.prop_map(|pick| Op::Gone { pick }),
        2 => (0..10usize, any::<bool>()).prop_map(|(target, leaving)| {
            Op::Leaving { target, leaving }
        }),
        2 => (0..10usize, 0..9u32).prop_map(|(target, running)| Op::Load { target, running }),
        1 => (0..2usize).prop_map(|which| Op::Config { which }),
        1 => (1..5u32).prop_map(|live| Op::Hosts { live }),
        1 => (0..12u64).prop_map(|fingerprint| Op::Poisoned { fingerprint }),
        1 => (0..10usize, 0..20u64, 1..4u64, any::<bool>()).prop_map(
            |(target, seq, prefix, stored)| Op::Cache { target, seq, prefix, stored }
        ),
        1 => prop::bool::weighted(0.02).prop_map(|drain| {
            if drain { Op::Drain } else { Op::Advance { ms: 1 } }
        }),
        8 => (0..700u64).prop_map(|ms| Op::Advance { ms }),
    ]
}

fn run(state: Box<dyn Reducer>, ops: &[Op]) -> String {
    let mut oracle = Oracle::new(state);
    for op in ops {
        oracle.apply(op.clone());
    }
    oracle.finish()
}

fn full(disabled: &[Decision]) -> Box<dyn Reducer> {
    Box::new(State::new(host_context(), disabled))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn full_policy_keeps_invariants(ops in prop::collection::vec(op(), 1..250)) {
        run(full(&[]), &ops);
    }

    #[test]
    fn policy_with_disabled_decisions_keeps_invariants(
        disabled in prop::sample::subsequence(Decision::ALL.to_vec(), 0..=10),
        ops in prop::collection::vec(op(), 1..200),
    ) {
        run(full(&disabled), &ops);
    }

    #[test]
    fn baseline_keeps_invariants(ops in prop::collection::vec(op(), 1..200)) {
        run(Box::new(Naive::new()), &ops);
    }

    #[test]
    fn same_events_give_the_same_effects(ops in prop::collection::vec(op(), 1..200)) {
        prop_assert_eq!(run(full(&[]), &ops), run(full(&[]), &ops));
    }
}
