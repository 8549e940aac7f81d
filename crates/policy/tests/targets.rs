//! Targets that are slow, full, failing, new, remote or leaving service: route, limit, retry,
//! hedge, ramp.

mod common;

use base::{Ms, RequestId};
use common::{Host, fleet, plan};
use policy::{Arrival, Code, Decision, Event, Fault, Verdict};
use std::collections::BTreeMap;

/// Runs requests until the stages of a pipeline are known to take 50 ms (500 ms for a `gen` stage).
fn learn_times(host: &mut Host, pipeline: &str) {
    for _ in 0..40 {
        let request = host.submit("big", pipeline);
        while host.answer(request).is_none() {
            let sent = host.last_send(request);
            host.now += Ms(if sent.target.starts_with("gen") { 500 } else { 50 });
            host.done(&sent);
        }
    }
}

fn sends_by_target(host: &Host, from: usize) -> BTreeMap<String, usize> {
    let mut out = BTreeMap::new();
    for sent in &host.sends[from..] {
        *out.entry(sent.target.clone()).or_default() += 1;
    }
    out
}

/// One of four targets becomes ten times slower under half load. With plain round robin, a quarter
/// of the requests take ten times as long and the target's slots fill up. Here nearly all requests
/// are answered in time, and the slow target gets little load after some tens of answers.
#[test]
fn a_slow_target_gets_little_load() {
    let mut host = Host::new();
    let calls: Vec<_> = (0..1_600).map(|i| host.arrival_at(i * 6, 400, "big", "short")).collect();
    let all: Vec<RequestId> = calls.iter().map(|c| c.1.request).collect();
    host.serve(calls, |s| if s.target == "enc-1" { 500 } else { 50 });
    let success_share = host.success_share(all);
    assert!(success_share >= 0.98, "{success_share}");
    let late = sends_by_target(&host, 200);
    assert!(late["enc-1"] * 20 < late["enc-2"], "{late:?}");
}

/// Four hosts share targets with four slots each and can't coordinate. Each host uses one slot, so
/// that together they use exactly all slots. A recent report of free slots lets a host borrow its
/// share of them.
#[test]
fn hosts_share_slots_without_coordination() {
    let mut host = Host::new();
    host.feed(Event::Hosts { live: 4 });
    for _ in 0..20 {
        host.submit("big", "short");
    }
    assert_eq!(sends_by_target(&host, 0).values().copied().collect::<Vec<_>>(), [1, 1, 1, 1]);
    let at = host.now;
    host.feed(Event::Load { target: "enc-1".into(), running: 1, queued: 0, at });
    host.advance(50);
    assert_eq!(
        sends_by_target(&host, 0)["enc-1"],
        1,
        "three quarters of a slot are not enough for a call"
    );
    host.feed(Event::Hosts { live: 2 });
    host.advance(50);
    assert_eq!(sends_by_target(&host, 0)["enc-1"], 2);
}

/// A target reports that it is full. It gets fewer calls at once, and the refused call goes to
/// another target.
#[test]
fn a_full_target_gets_fewer_calls() {
    let mut host = Host::new();
    let request = host.submit("big", "short");
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.fail(&sent, Fault::Full);
    assert_ne!(host.last_send(request).target, sent.target);
    for _ in 0..30 {
        host.submit("big", "short");
    }
    let sends = sends_by_target(&host, 0);
    assert!(sends[&sent.target] - 1 < 4, "{sends:?}");
}

/// Every target fails every call. Without a retry budget each request is sent three times, which
/// triples the load when targets are already failing. Here retries are limited to a tenth of the
/// successes, of which there are none, plus the initial budget.
#[test]
fn failing_targets_do_not_get_three_times_the_load() {
    let sends = |disabled: &[Decision]| {
        let mut host = Host::with_disabled(disabled);
        for _ in 0..400 {
            let request = host.submit("big", "short");
            while host.answer(request).is_none() && !host.sends_of(request).is_empty() {
                let sent = host.last_send(request);
                host.mark_sent(&sent);
                host.fail(&sent, Fault::Mismatch);
            }
        }
        host.sends.len()
    };
    assert!(sends(&[]) <= 420, "{}", sends(&[]));
    assert_eq!(sends(&[Decision::Retry]), 1_200);
}

/// A stage is stuck on one target. After the learned quantile it is started on another one. The
/// first attempt that returns anything wins, and the other is cancelled at once.
#[test]
fn a_straggler_is_hedged_and_the_loser_cancelled() {
    let mut host = Host::new();
    learn_times(&mut host, "short");
    let request = host.submit("big", "short");
    let first = host.last_send(request);
    host.mark_sent(&first);
    host.advance(100);
    let sends = host.sends_of(request);
    assert_eq!(sends.len(), 2);
    assert_ne!(sends[0].target, sends[1].target);
    host.done(&sends[1]);
    assert_eq!(host.cancels, [(request, first.attempt)]);
    assert_eq!(host.answer(request), Some(Verdict::Done));
}

/// Nothing is hedged while other requests wait, because a second attempt would take the place of
/// another request's first one. A stream that has returned a chunk is not hedged either, because
/// its chunks are accepted until it ends.
#[test]
fn nothing_is_hedged_under_load_or_in_mid_stream() {
    let mut host = Host::new();
    learn_times(&mut host, "short");
    let stuck: Vec<_> = (0..20).map(|_| host.submit("big", "short")).collect();
    host.advance(100);
    assert!(stuck.iter().all(|&r| host.sends_of(r).len() <= 1));

    let mut host = Host::new();
    learn_times(&mut host, "chat");
    let request = host.submit("big", "chat");
    let sent = host.last_send(request);
    host.done(&sent);
    let stream = host.last_send(request);
    host.mark_sent(&stream);
    host.piece(&stream, 5);
    host.advance(3_000);
    assert_eq!(host.sends_of(request).len(), 2, "one for each stage");
    host.fail(&stream, Fault::Broken);
    let resumed = host.last_send(request);
    assert_eq!(resumed.offset, 5, "resumed after the tokens received");
    assert_ne!(resumed.target, stream.target);
}

/// Calls with the same prefix go to the same engine until it is busy, and then spread. The cache
/// reports of an engine count until there is a gap in their sequence.
#[test]
fn a_prefix_stays_with_its_engine() {
    let mut host = Host::new();
    let arrival_of = |host: &Host| Arrival { prefix: 77, ..host.arrival("big", "talk") };
    let mut engines = Vec::new();
    for _ in 0..10 {
        let arrival = arrival_of(&host);
        let request = host.arrive(arrival);
        let sent = host.last_send(request);
        host.now += Ms(500);
        host.done(&sent);
        engines.push(sent.target);
    }
    engines.dedup();
    assert_eq!(engines.len(), 1, "{engines:?}");

    let other = if engines[0] == "gen-1" { "gen-2" } else { "gen-1" };
    let cache = |seq, target: &str, prefix, stored| Event::Cache {
        target: target.into(),
        seq,
        prefix,
        stored,
    };
    host.feed(cache(1, &engines[0], 77, false));
    host.feed(cache(1, other, 77, true));
    let arrival = arrival_of(&host);
    let request = host.arrive(arrival);
    let sent = host.last_send(request);
    assert_eq!(sent.target, other, "the engine that reported the prefix");
    host.feed(cache(9, other, 1, true));
    let arrival = arrival_of(&host);
    let request = host.arrive(arrival);
    assert_eq!(
        host.last_send(request).target,
        engines[0],
        "after a gap the report no longer counts"
    );

    let from = host.sends.len();
    for _ in 0..4 {
        let arrival = arrival_of(&host);
        host.arrive(arrival);
    }
    assert_eq!(sends_by_target(&host, from).len(), 2, "a hot prefix spreads");
}

/// Work stays in its failure domain, then in its region. Another region gets work only if the wait
/// in this region is longer than the time that a crossing must gain, or if no target in this region
/// is in service.
#[test]
fn another_region_is_used_only_if_it_saves_time() {
    let mut host = Host::new();
    learn_times(&mut host, "talk");
    let from = host.sends.len();
    for _ in 0..10 {
        host.submit("big", "talk");
    }
    let sends = sends_by_target(&host, from);
    assert_eq!((sends["gen-1"], sends["gen-2"]), (4, 4), "{sends:?}");
    assert_eq!(sends.get("gen-4"), None, "{sends:?}");
    for _ in 0..60 {
        host.submit("big", "talk");
    }
    assert!(
        sends_by_target(&host, from).contains_key("gen-4"),
        "crossing takes less time than waiting"
    );

    let mut host = Host::new();
    for target in ["gen-1", "gen-2", "gen-3"] {
        host.set_leaving(target, true);
    }
    let request = host.submit("big", "talk");
    assert_eq!(host.last_send(request).target, "gen-4");
    let request = host.submit("big", "chat");
    assert_eq!(host.code(request), Some(Code::NoTarget), "chat may not leave its region");
    assert!(host.sends_of(request).is_empty());
}

/// A new target is added under load. It gets a quarter of what it could run, and more step by step.
#[test]
fn a_new_target_ramps_up() {
    let mut all = fleet();
    all.defaults.ramp_ms = Ms(3_000);
    let mut less = all.clone();
    less.pools[0].targets.pop();
    let mut host = Host::with_fleet(&[], less);
    host.feed(Event::Config(plan(2, all)));
    let mut sends = |ms| {
        host.advance(ms);
        for _ in 0..20 {
            host.submit("big", "short");
        }
        sends_by_target(&host, 0)["enc-4"]
    };
    assert_eq!([sends(50), sends(1_000), sends(1_000), sends(1_000)], [1, 2, 3, 4]);
}

/// A target breaks under a call. It gets nothing for a while, then a single call, and once that
/// succeeds most of its load. Calls sent earlier that fail in the meantime do not extend the time
/// out of service.
#[test]
fn a_broken_target_is_probed() {
    let mut host = Host::new();
    let request = host.submit("big", "short");
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.fail(&sent, Fault::Broken);
    let from = host.sends.len();
    for _ in 0..20 {
        host.submit("big", "short");
    }
    assert!(!sends_by_target(&host, from).contains_key(&sent.target));
    host.advance(600);
    assert_eq!(sends_by_target(&host, from)[&sent.target], 1, "a single probe");
    let probe = host.sends.iter().rev().find(|s| s.target == sent.target).cloned();
    host.done(&probe.expect("it was sent"));
    assert!(sends_by_target(&host, from)[&sent.target] >= 3);
}

/// A target is leaving service while calls fail, stall and resume. No retry, hedge or resumed
/// stream may go to it.
#[test]
fn a_leaving_target_gets_nothing() {
    let mut host = Host::new();
    learn_times(&mut host, "chat");
    let request = host.submit("big", "chat");
    let sent = host.last_send(request);
    host.done(&sent);
    let stream = host.last_send(request);
    let other = if stream.target == "gen-1" { "gen-2" } else { "gen-1" };
    for target in [other, "gen-3"] {
        host.set_leaving(target, true);
    }
    host.mark_sent(&stream);
    host.advance(2_000);
    assert_eq!(host.last_send(request).attempt, stream.attempt, "no hedge");
    host.set_leaving(&stream.target, true);
    host.fail(&stream, Fault::Broken);
    assert!(host.answer(request).is_some(), "no target is left: answered at once");
    host.set_leaving("gen-3", false);
    let request = host.submit("big", "chat");
    let sent = host.last_send(request);
    host.done(&sent);
    assert_eq!(host.last_send(request).target, "gen-3", "returned to service");
}
