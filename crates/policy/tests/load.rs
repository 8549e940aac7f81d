//! Load patterns and their effect on callers: admit, fair, queue, budget.

mod common;

use base::Ms;
use common::Host;
use conf::Priority;
use policy::{Arrival, Code, Decision, Event, Ran, Refusal, Verdict};
use std::collections::BTreeMap;

/// Calls per second that the four encoders can do at 50 ms each.
const CALLS_PER_SECOND: u64 = 320;

fn refusals(host: &Host) -> Vec<(Refusal, Ms)> {
    let refused = host.answers.iter().filter_map(|a| match a.1 {
        Verdict::Refused(refusal) => Some((refusal, a.2)),
        _ => None,
    });
    refused.collect()
}

/// A thousand requests arrive at once, three times what can be served within their deadline.
/// Without admission control all wait and most are late. Here, requests that do not fit are refused
/// at once with a time after which to retry, admitted requests are answered, and a caller that
/// retries after that time is served.
#[test]
fn a_burst_is_admitted_up_to_capacity() {
    let mut host = Host::new();
    let start = host.now;
    let calls: Vec<_> = (0..1_000).map(|_| host.arrival_at(0, 1_000, "big", "short")).collect();
    host.serve(calls, |_| 50);
    let refused = refusals(&host);
    let done = 1_000 - refused.len();
    assert!(done >= 110, "at least 0.4 of the slack is filled: {done}");
    let (at_once, kept): (Vec<_>, Vec<_>) = refused.iter().partition(|r| r.1 == start);
    assert!(kept.len() <= 10, "{} were refused late", kept.len());
    let (first, _) = at_once[0];
    assert_eq!(first.ran, Ran::No);
    assert!(matches!(first.code, Code::Overloaded | Code::OverShare));

    let after = first.retry_after.expect("it makes sense to come back");
    let mut host = Host::new();
    let calls: Vec<_> = (0..1_000).map(|_| host.arrival_at(0, 1_000, "big", "short")).collect();
    let back = host.arrival_at(after.0.max(500), 1_000, "big", "short");
    let request = back.1.request;
    host.serve(calls.into_iter().chain([back]).collect(), |_| 50);
    assert_eq!(host.answer(request), Some(Verdict::Done));
}

/// One workspace sends twice the capacity of all targets, and a small one a twentieth of that.
/// First come first served would give both the same low success rate. The small workspace is within
/// its share, so each of its requests must be answered. With fair queueing disabled, many of them
/// are lost.
#[test]
fn a_busy_workspace_does_not_starve_a_small_one() {
    let small_done = |without: &[Decision]| {
        let mut host = Host::with_disabled(without);
        let mut small = Vec::new();
        let mut calls = Vec::new();
        for i in 0..CALLS_PER_SECOND * 2 * 8 {
            let workspace = if i % 20 == 0 { "small" } else { "big" };
            calls.push(host.arrival_at(
                i * 1_000 / (CALLS_PER_SECOND * 2),
                1_000,
                workspace,
                "short",
            ));
            if workspace == "small" {
                small.push(calls[i as usize].1.request);
            }
        }
        host.serve(calls, |_| 50);
        host.success_share(small)
    };
    let with = small_done(&[]);
    assert!(with >= 0.99, "{with}");
    let without = small_done(&[Decision::Fair]);
    assert!(without < with - 0.2, "{without}");
}

/// Load of 1.5 times the capacity for ten seconds. Without admission control the queue grows until
/// each answer is late. Here at least 90 % of the capacity is used for answers in time.
#[test]
fn saturation_keeps_goodput() {
    let mut host = Host::new();
    let gap = |i: u64| i * 10_000 / (CALLS_PER_SECOND * 15);
    let calls: Vec<_> = (0..CALLS_PER_SECOND * 15)
        .map(|i| host.arrival_at(gap(i), 1_000, "big", "short"))
        .collect();
    host.serve(calls, |_| 50);
    let done = host.answers.iter().filter(|a| a.1 == Verdict::Done).count() as f64;
    assert!(done >= 0.9 * (CALLS_PER_SECOND * 10) as f64, "{done}");
}

/// Twice as many long calls of 3 s arrive at once as can run, while short ones keep arriving. In a
/// single queue the short ones wait behind all the long ones. With lanes, which are selected by the
/// number of tokens, they run as soon as a long call ends, and the long ones still succeed.
#[test]
fn short_requests_do_not_wait_behind_long_ones() {
    let run = |without: &[Decision]| {
        let mut host = Host::with_disabled(without);
        let call = |host: &mut Host, at, is_long| {
            let (at, arrival) = host.arrival_at(at, 9_000, "big", "short");
            let tokens_in = if is_long { 51_200 } else { 1_600 };
            (at, Arrival { tokens_in, ..arrival })
        };
        let mut calls: Vec<_> = (0..40).map(|i| call(&mut host, i * 200, i % 2 == 0)).collect();
        calls.extend((0..32).map(|_| call(&mut host, 15_000, true)));
        calls.extend((0..100).map(|i| call(&mut host, 15_020 + i * 20, false)));
        let long: Vec<_> =
            calls.iter().filter(|c| c.1.tokens_in > 1_600).map(|c| c.1.request).collect();
        let start: BTreeMap<_, _> = calls.iter().map(|c| (c.1.request, c.0)).collect();
        let is_long = long.clone();
        host.serve(calls, |s| if is_long.contains(&s.request) { 3_000 } else { 50 });
        let short = host.answers.iter().filter(|a| !long.contains(&a.0));
        let mut waits: Vec<u64> = short.map(|a| (a.2 - start[&a.0]).0).collect();
        waits.sort_unstable();
        (waits[waits.len() * 95 / 100], host.success_share(long.iter().copied()))
    };
    let (plain, _) = run(&[Decision::Queue, Decision::Admit]);
    let (lanes, long) = run(&[Decision::Admit]);
    assert!(lanes * 3 < plain * 2, "{lanes} ms with lanes, {plain} ms without");
    assert!(long >= 0.95, "{long}");
}

/// Requests of normal priority arrive as fast as they are served, and some are always waiting. A
/// request of low priority waits behind them, but its waiting time counts, so after two seconds it
/// goes before those that arrived later.
#[test]
fn low_priority_is_not_starved() {
    let mut host = Host::new();
    for _ in 0..16 {
        host.submit("big", "short");
    }
    let low = Arrival { priority: Some(Priority::Low), ..host.arrival("big", "short") };
    let start = host.now;
    let low = host.arrive(low);
    for next in 0.. {
        host.submit("big", "short");
        host.now += Ms(3);
        let sent = host.sends[next].clone();
        host.done(&sent);
        if !host.sends_of(low).is_empty() {
            break;
        }
        assert_eq!(host.answer(low), None);
    }
    let waited = (host.now - start).0;
    assert!((2_000..2_500).contains(&waited), "{waited}");
}

/// A request whose stages are known to take longer than its deadline allows is refused at once,
/// with nothing sent and without a suggestion to retry. An occasional one is admitted in case the
/// prediction is wrong.
#[test]
fn hopeless_work_is_refused_at_once() {
    let mut host = Host::new();
    for _ in 0..30 {
        let request = host.submit("big", "short");
        let sent = host.last_send(request);
        host.now += Ms(200);
        host.done(&sent);
    }
    let soon = |host: &Host| {
        let deadline = host.now + Ms(100);
        Arrival { deadline, ..host.arrival("big", "short") }
    };
    let probe = host.arrive(soon(&host));
    assert_eq!(host.sends_of(probe).len(), 1, "one request probes the prediction");
    let request = host.arrive(soon(&host));
    let Some(Verdict::Refused(refusal)) = host.answer(request) else { panic!("refused") };
    assert_eq!((refusal.code, refusal.ran), (Code::Hopeless, Ran::No));
    assert_eq!(refusal.retry_after, None);
}

/// The first stage gets only its share of the time, and the target is told a time limit that leaves
/// enough for the later stages.
#[test]
fn the_first_stage_leaves_time_for_the_next() {
    let mut host = Host::new();
    for _ in 0..30 {
        let request = host.submit("big", "chat");
        let sent = host.last_send(request);
        host.now += Ms(50);
        host.done(&sent);
        let sent = host.last_send(request);
        host.now += Ms(500);
        host.done(&sent);
    }
    let request = host.submit("big", "chat");
    let budget = host.last_send(request).budget;
    assert!(budget < Ms(8_600) && budget > Ms(8_000), "{budget:?}");
    let request = {
        let deadline = host.now + Ms(900);
        let arrival = Arrival { deadline, ..host.arrival("big", "chat") };
        host.arrive(arrival)
    };
    host.advance(850);
    assert_eq!(host.code(request), Some(Code::DeadlinePassed), "before the deadline itself");
}

/// A host that is shutting down refuses new requests and finishes the open ones.
#[test]
fn draining_finishes_open_requests() {
    let mut host = Host::new();
    let open = host.submit("big", "chat");
    host.feed(Event::Drain);
    let new = host.submit("big", "chat");
    assert_eq!(host.code(new), Some(Code::Draining));
    for _ in 0..2 {
        let sent = host.last_send(open);
        host.done(&sent);
    }
    assert_eq!(host.answer(open), Some(Verdict::Done));
}
