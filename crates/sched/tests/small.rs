//! Budget, poison, health, estimates and the time to come back.

use base::{Ms, PoolId, TargetId};
use catalog::{Backend, Batch, Residency, RetrySafety, Route, Stage};
use sched::budget::{Allowance, Budget};
use sched::comeback::retry_after;
use sched::estimate::Estimate;
use sched::health::{Health, Outcome};
use sched::poison::{Audience, MEMORY, Poison, SUSPECT, audience};
use sched::sample::Sampler;

fn service() -> PoolId {
    PoolId::from("register")
}

// A service that is nearly full is buried: every host takes the fleet's whole slack of second
// sends for itself when its targets fail.
// A host spends the ratio of its own requests and its part of the slack.
#[test]
fn the_parts_of_all_hosts_stay_within_the_fleets_allowance() {
    let allowance = Allowance { ratio: 0.2, slack: 52.0, window: Ms(10_000) };
    let mut spent = 0;
    for _ in 0..6 {
        let mut budget = Budget::new(allowance);
        budget.hosts(6);
        for _ in 0..20 {
            budget.request(Ms(0), &service());
        }
        spent += (0..200).filter(|_| budget.take(Ms(10), &service())).count();
    }
    assert!(spent as f64 <= 0.2 * 120.0 + 52.0, "spent {spent}");
    assert!(spent >= 40, "spent {spent}");
}

#[test]
fn a_host_that_sees_fewer_others_spends_no_more() {
    let allowance = Allowance { ratio: 0.0, slack: 60.0, window: Ms(10_000) };
    let mut budget = Budget::new(allowance);
    budget.hosts(6);
    budget.hosts(1);
    let spent = (0..100).filter(|_| budget.take(Ms(0), &service())).count();
    assert_eq!(spent, 8);
}

#[test]
fn second_sends_are_there_again_when_the_window_has_passed() {
    let allowance = Allowance { ratio: 0.0, slack: 10.0, window: Ms(1_000) };
    let mut budget = Budget::new(allowance);
    while budget.take(Ms(0), &service()) {}
    assert!(!budget.take(Ms(1_000), &service()));
    assert!(budget.take(Ms(1_001), &service()));
}

// Targets crash one after the other: one request brings down each that runs it, and its caller
// sends it again at any host.
// Three different targets are enough to hold it for poison; the same one twice is not.
#[test]
fn a_request_that_broke_three_targets_is_poison() {
    let mut poison = Poison::default();
    for target in ["a", "b", "b"] {
        poison.record(Ms(0), 7, &TargetId::from(target));
    }
    assert!(!poison.is_poison(Ms(1), 7));
    assert!(poison.record(Ms(1), 7, &TargetId::from("c")));
    assert_eq!(poison.broken(7).len(), SUSPECT);
    assert!(poison.is_poison(Ms(2), 7));
    assert!(!poison.is_poison(Ms(2), 8));
    assert!(!poison.is_poison(Ms(2) + MEMORY, 7));
}

// A sound request is refused for a minute: connections broke under three reads of one record, days
// apart in the life of a burst, with good answers in between.
#[test]
fn a_good_answer_clears_what_broke_before() {
    let mut poison = Poison::default();
    poison.record(Ms(0), 7, &TargetId::from("a@1"));
    poison.record(Ms(1), 7, &TargetId::from("b@1"));
    poison.clear(7);
    poison.record(Ms(2), 7, &TargetId::from("c@1"));
    assert!(!poison.is_poison(Ms(3), 7));
}

#[test]
fn lives_of_one_target_count_by_themselves() {
    let mut poison = Poison::default();
    for life in ["a@1", "a@1", "a@2", "a@3"] {
        poison.record(Ms(0), 7, &TargetId::from(life));
    }
    assert!(poison.is_poison(Ms(1), 7));
}

#[test]
fn a_target_without_connection_is_passed_over_and_tried_once_later() {
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

fn batch() -> Batch {
    let (call_ms, item_ms) = (240.0, 10.0);
    Batch { slots: 1, size: 8, call_ms, item_ms, room: 1_000, result_ttl: Ms(4_000) }
}

#[test]
fn a_stage_is_expected_to_take_what_the_last_ones_took_within_bounds() {
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
fn a_stage_leaves_time_for_the_longest_chain_behind_it() {
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
fn callers_come_back_spread_out_and_while_there_is_time() {
    let times: Vec<Ms> = (0..200).map(|draw| retry_after(Ms(400), Ms(10_000), draw * 7)).collect();
    assert!(times.iter().all(|t| (Ms(400)..=Ms(600)).contains(t)));
    assert!(times.iter().max() > times.iter().min());
    assert_eq!(retry_after(Ms(5_000), Ms(1_000), 3), Ms(250));
}

#[test]
fn successes_are_sampled_under_a_burst_and_stand_for_all() {
    let mut sampler = Sampler::default();
    let calm: u64 = (0..20).filter_map(|i| sampler.take(Ms(i * 50))).sum();
    assert_eq!(calm, 20);
    let written: Vec<u64> = (0..1_000).filter_map(|_| sampler.take(Ms(5_000))).collect();
    assert!(written.len() < 90, "{}", written.len());
    assert!((950..=1_000).contains(&written.iter().sum::<u64>()));
}

// Requests stand still for a second on every host: a quarter of a large fleet's engines crash, and
// each host tells all others of each request that broke. One host counts the breaks of a request;
// all hear of it from the second one on, and in a small fleet at once.
#[test]
fn a_break_is_told_to_all_where_there_are_few_or_it_comes_again() {
    assert_eq!(audience(6, 1), Audience::All);
    assert_eq!(audience(295, 1), Audience::Counter);
    assert_eq!(audience(295, 2), Audience::All);
    assert_eq!(audience(295, SUSPECT), Audience::All);
}
