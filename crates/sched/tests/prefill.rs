//! How long engines take to read prompts, and how much each has yet to read.

use base::{Ms, PoolId};
use sched::estimate::Estimate;
use sched::prefill::{Backlog, CachedSubjects, PrefillTime};

// Guards against stages ending too late for the latency goal although each took the time it was
// given, because the time for the engine after them was measured at other engines, which read twice
// as fast. It is learned from the first events, for short and for long prompts.
#[test]
fn the_time_to_read_is_learned_from_first_events() {
    let mut model = PrefillTime::default();
    for i in 0..200 {
        let tokens = 200 + (i * 37 % 9_000);
        model.record(tokens, Ms(70 + tokens * 31 / 1_000));
    }
    for tokens in [500, 3_000, 9_000] {
        let (learned, real) = (model.first_event(tokens).0, 70 + tokens * 31 / 1_000);
        assert!(learned.abs_diff(real) <= 10, "{tokens} tokens: {learned} ms, really {real}");
    }
    assert!(model.prefill(9_000).0.abs_diff(279) <= 10);
}

#[test]
fn prompts_of_one_length_do_not_determine_the_slope() {
    let mut model = PrefillTime::default();
    (0..500).for_each(|_| model.record(1_000, Ms(90)));
    assert!(model.first_event(1_000).0.abs_diff(90) <= 3);
    assert!(model.prefill(1_000) <= Ms(90));
}

#[test]
fn services_are_learned_separately() {
    let (slow, fast) = (PoolId::from("slow"), PoolId::from("fast"));
    let mut estimate = Estimate::default();
    for i in 0..200 {
        estimate.record_first(&slow, i * 50, Ms(100 + i * 5));
        estimate.record_first(&fast, i * 50, Ms(20 + i / 2));
    }
    let times = (estimate.first_event(&slow, 5_000), estimate.first_event(&fast, 5_000));
    assert!(times.0 > Ms(500) && times.1 < Ms(90), "{times:?}");
}

#[test]
fn prompts_are_read_one_after_the_other() {
    let mut backlog = Backlog::default();
    assert_eq!(backlog.wait(Ms(1_000)), Ms::ZERO);
    backlog.sent(Ms(1_000), Ms(200));
    backlog.sent(Ms(1_050), Ms(100));
    assert_eq!(backlog.wait(Ms(1_100)), Ms(200));
    assert_eq!(backlog.wait(Ms(2_000)), Ms::ZERO);
    backlog.sent(Ms(2_000), Ms(30));
    assert_eq!(backlog.wait(Ms(2_000)), Ms(30));
}

#[test]
fn the_oldest_subjects_are_evicted_from_a_full_cache() {
    let mut subjects = CachedSubjects::default();
    (1..=3).for_each(|id| subjects.record(id, 40, 100));
    assert!(!subjects.contains(1));
    subjects.record(2, 40, 100);
    subjects.record(4, 40, 100);
    assert!(subjects.contains(2) && subjects.contains(4) && !subjects.contains(3));
}
