//! Tests of health, estimates, sampling and the delay before a
//! retry.

use base::{Ms, PoolId};
use catalog::{Backend, Batch, Residency, RetrySafety, Route, Stage};
use sched::estimate::Estimate;
use sched::health::{Health, Outcome, Unanswered};
use sched::retry_after::retry_after;
use sched::sample::Sampler;

fn service() -> PoolId {
    PoolId::from("register")
}

#[test]
fn a_target_without_connection_is_ejected_and_tried_once_later() {
    let mut health = Health::default();
    health.record(Ms(0), Outcome::NoConnection);
    assert!(!health.usable(Ms(100)));
    assert!(health.usable(Ms(600)));
    health.begin();
    assert!(!health.usable(Ms(600)), "one trial at a time");
    health.record(Ms(700), Outcome::NoConnection);
    assert!(!health.usable(Ms(1_600)), "the second ejection is longer");
    health.record(Ms(1_800), Outcome::Good(Ms(20)));
    assert!(health.usable(Ms(1_800)));
}

#[test]
fn one_broken_connection_does_not_eject() {
    let mut health = Health::default();
    health.record(Ms(0), Outcome::Broken);
    assert!(health.usable(Ms(0)));
    health.record(Ms(1), Outcome::Broken);
    assert!(!health.usable(Ms(2)));
}

// Guards against a sound target that is taken out because it was silent for a moment.
#[test]
fn a_target_that_was_silent_for_a_moment_is_usable() {
    let mut health = Health::default();
    for now in [Ms(750), Ms(1_000), Ms(1_200)] {
        assert!(matches!(health.given_up(now, Ms(0)), Unanswered::Silent { .. }));
        assert!(health.usable(now) && health.avoided(now));
    }
    assert!(!health.avoided(Ms(1_700)));
    health.record(Ms(1_300), Outcome::Good(Ms(1_300)));
    assert!(!health.avoided(Ms(1_300)));
    assert_eq!(health.given_up(Ms(1_400), Ms(600)), Unanswered::Slow);
    assert!(matches!(health.given_up(Ms(2_050), Ms(1_299)), Unanswered::Silent { .. }));
}

// Guards against requests that go on to a target that answers nothing.
#[test]
fn a_target_that_is_silent_for_long_is_down() {
    let mut health = Health::default();
    health.unanswered(Ms(750), Ms(0));
    health.unanswered(Ms(2_000), Ms(1_250));
    assert_eq!(health.given_up(Ms(2_010), Ms(1_260)), Unanswered::Down);
    health.record(Ms(2_010), Outcome::Silent);
    health.record(Ms(2_020), Outcome::Silent);
    assert!(!health.usable(Ms(2_400)));
    assert_eq!(health.given_up(Ms(3_300), Ms(2_550)), Unanswered::Down, "its trial");
}

// Guards against two short silences that count as a long one, because no request was sent between
// them.
#[test]
fn silences_that_are_far_apart_are_two() {
    let mut health = Health::default();
    health.unanswered(Ms(750), Ms(0));
    let later = health.unanswered(Ms(9_750), Ms(9_000));
    assert_eq!(later, Unanswered::Silent { check: true });
}

// Guards against a target that gets no request any more, because its trial request was dropped.
#[test]
fn a_dropped_trial_is_followed_by_another() {
    let mut health = Health::default();
    health.record(Ms(0), Outcome::NoConnection);
    health.begin();
    assert!(!health.usable(Ms(600)));
    health.end();
    assert!(health.usable(Ms(600)));
}

fn batch() -> Batch {
    let (call_ms, item_ms) = (240.0, 10.0);
    Batch { slots: 1, size: 8, call_ms, item_ms, room: 1_000, result_ttl: Ms(4_000) }
}

#[test]
fn the_expected_duration_of_a_stage_follows_the_last_ones_within_bounds() {
    let mut estimate = Estimate::default();
    assert_eq!(estimate.stage(&service(), &batch()), Ms(280));
    for _ in 0..100 {
        estimate.record(&service(), Ms(400));
    }
    assert!(estimate.stage(&service(), &batch()) > Ms(390));
    for _ in 0..100 {
        estimate.record(&service(), Ms(60_000));
    }
    assert_eq!(estimate.stage(&service(), &batch()), Ms(560), "a burst doesn't make it hopeless");
}

#[test]
fn a_stage_leaves_time_for_the_longest_chain_after_it() {
    let stage = |after: Vec<usize>| Stage { service: service(), after, bytes: 0 };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        retry_safety: RetrySafety::StreamOnce,
        timeout: Ms(1),
        latency_goal: Ms(1),
        client_timeout: None,
        priority: 0,
        backends: vec![Backend { service: service(), weight: 1 }],
        attempts: 1,
        stages: vec![stage(vec![]), stage(vec![]), stage(vec![1]), stage(vec![2])],
        public: false,
        residency: Residency::Anywhere,
    };
    let estimate = Estimate::default();
    let first = Ms(80);
    let after = estimate.after(&route, first, |_| Ms(300));
    assert_eq!(after, [first, first + Ms(600), first + Ms(300), first]);
}

#[test]
fn retries_are_spread_out_and_leave_time_to_be_served() {
    let times: Vec<Ms> = (0..200).map(|draw| retry_after(Ms(400), Ms(10_000), draw * 7)).collect();
    assert!(times.iter().all(|t| (Ms(400)..=Ms(600)).contains(t)));
    assert!(times.iter().max() > times.iter().min());
    assert_eq!(retry_after(Ms(5_000), Ms(1_000), 3), Ms(250));
}

#[test]
fn successes_are_sampled_under_a_burst_and_add_up_to_all() {
    let mut sampler = Sampler::default();
    let calm: u64 = (0..20).filter_map(|i| sampler.take(Ms(i * 50))).sum();
    assert_eq!(calm, 20);
    let written: Vec<u64> = (0..1_000).filter_map(|_| sampler.take(Ms(5_000))).collect();
    assert!(written.len() < 90, "{}", written.len());
    assert!((950..=1_000).contains(&written.iter().sum::<u64>()));
}
