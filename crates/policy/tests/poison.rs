//! Requests that crash targets.

mod common;

use base::{Ms, RequestId};
use common::Host;
use policy::{Arrival, Code, Decision, Effect, Event, Fault, Ran, Verdict};

fn submit(host: &mut Host, fingerprint: u64) -> RequestId {
    let arrival = Arrival { fingerprint, ..host.arrival("big", "short") };
    host.arrive(arrival)
}

fn break_connection(host: &mut Host, request: RequestId) {
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.fail(&sent, Fault::Broken);
}

fn reported_block(host: &Host) -> Option<(u64, Ms)> {
    host.other_effects.iter().find_map(|e| match e {
        Effect::Poison { fingerprint, until } => Some((*fingerprint, *until)),
        _ => None,
    })
}

/// A request breaks the connection of each target that runs it, and its caller sends it again.
/// After the second target it is answered at once and reported to the other hosts, and until the
/// block expires a re-send is refused with nothing sent.
#[test]
fn a_request_is_blocked_after_two_targets() {
    let mut host = Host::new();
    let request = submit(&mut host, 66);
    break_connection(&mut host, request);
    assert_eq!(host.answer(request), None, "one broken target may be chance");
    break_connection(&mut host, request);
    assert_eq!(host.code(request), Some(Code::Poison));
    let (fingerprint, until) = reported_block(&host).expect("the other hosts are told");
    assert_eq!((fingerprint, until), (66, host.now + Ms(600_000)));

    let again = submit(&mut host, 66);
    let Some(Verdict::Refused(refusal)) = host.answer(again) else { panic!("refused") };
    assert_eq!((refusal.code, refusal.ran), (Code::Poison, Ran::No));
    assert_eq!(refusal.retry_after, Some(Ms(600_000)));
    assert!(host.sends_of(again).is_empty());
    host.now = until;
    let later = submit(&mut host, 66);
    assert_eq!(host.sends_of(later).len(), 1);
}

/// The caller gives up after the first break and sends the same request again. The mark is kept, so
/// the request is blocked after the second target.
#[test]
fn a_mark_applies_to_a_re_send() {
    let mut host = Host::new();
    let request = submit(&mut host, 66);
    break_connection(&mut host, request);
    host.feed(Event::Gone { request });
    let first = host.sends_of(request)[0].target.clone();
    let again = submit(&mut host, 66);
    if host.last_send(again).target == first {
        return;
    }
    break_connection(&mut host, again);
    assert_eq!(host.code(again), Some(Code::Poison));
}

/// Several requests share the target that one of them breaks. All of them are marked, but they are
/// then sent to separate targets, so the others are answered there and are not reported.
#[test]
fn a_request_that_shared_the_target_is_served() {
    let mut host = Host::new();
    let all: Vec<_> = (0..8).map(|fingerprint| submit(&mut host, fingerprint)).collect();
    let on = host.last_send(all[0]).target;
    let hit: Vec<_> = all.iter().copied().filter(|&r| host.last_send(r).target == on).collect();
    assert!(hit.len() > 1);
    let first: Vec<_> = hit.iter().map(|&r| host.last_send(r)).collect();
    for sent in &first {
        host.mark_sent(sent);
        host.fail(sent, Fault::Broken);
    }
    let second: Vec<_> = hit.iter().map(|&r| host.last_send(r).target).collect();
    assert_ne!(second[0], second[1], "marked requests are sent to separate targets");
    break_connection(&mut host, hit[0]);
    assert_eq!(host.code(hit[0]), Some(Code::Poison));
    for &request in &hit[1..] {
        let sent = host.last_send(request);
        host.done(&sent);
        assert_eq!(host.answer(request), Some(Verdict::Done));
    }
    assert_eq!(host.other_effects.iter().filter(|e| matches!(e, Effect::Poison { .. })).count(), 1);
}

/// A whole failure domain fails: targets break one after the other under requests that never broke
/// any. A request that loses two targets in this way is not blocked as poison.
#[test]
fn an_outage_blocks_no_request() {
    let mut host = Host::new();
    let all: Vec<_> = (0..12).map(|fingerprint| submit(&mut host, fingerprint)).collect();
    let mut targets: Vec<_> = all.iter().map(|&r| host.last_send(r).target).collect();
    targets.sort();
    targets.dedup();
    for target in &targets {
        for &request in &all {
            if host.answer(request).is_none() && host.last_send(request).target == *target {
                break_connection(&mut host, request);
            }
        }
    }
    let poison = |r: &&RequestId| host.code(**r) == Some(Code::Poison);
    let blocked = all.iter().filter(poison).count();
    assert!(blocked <= 2, "{blocked} were blocked before the outage was detected");
}

/// A report of another host is enough to block a request. It is ignored when the decision is
/// disabled.
#[test]
fn a_block_reported_by_another_host_applies() {
    for (without, sends) in [(&[][..], 0), (&[Decision::Poison][..], 1)] {
        let mut host = Host::with_disabled(without);
        let until = host.now + Ms(1_000);
        host.feed(Event::Poisoned { fingerprint: 66, until });
        let request = submit(&mut host, 66);
        assert_eq!(host.sends_of(request).len(), sends);
    }
}
