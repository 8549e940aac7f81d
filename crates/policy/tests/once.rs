//! Non-repeatable work, and what callers are told about it.

mod common;

use base::{Ms, RequestId};
use common::Host;
use policy::{Arrival, Code, Effect, Ending, Event, Fault, Grant, Ran, Refusal, Verdict};

/// Submits an order and completes its first stage, so that its booking is sent.
fn start_booking(host: &mut Host) -> RequestId {
    let arrival = Arrival { keyed: true, ..host.arrival("big", "order") };
    let request = host.arrive(arrival);
    assert_eq!(host.registers, [request]);
    assert!(host.sends.is_empty(), "registered before anything is sent");
    host.feed(Event::Registered { request, grant: Grant::Granted });
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.done(&sent);
    assert_eq!(host.last_send(request).stage, 1);
    request
}

fn refused(host: &Host, request: RequestId) -> Refusal {
    match host.answer(request) {
        Some(Verdict::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

fn ending(host: &Host) -> Option<Ending> {
    host.other_effects.iter().find_map(|e| match e {
        Effect::Finish { ending, .. } => Some(*ending),
        _ => None,
    })
}

/// The connection for the booking could not be established, so nothing of it was sent: it goes to
/// another target, and the caller gets a complete answer.
#[test]
fn a_booking_that_was_not_sent_goes_to_another_target() {
    let mut host = Host::new();
    let request = start_booking(&mut host);
    let first = host.last_send(request);
    host.fail(&first, Fault::Connect);
    let second = host.last_send(request);
    assert_eq!(second.stage, 1);
    assert_ne!(second.target, first.target);
    for _ in 0..2 {
        let sent = host.last_send(request);
        host.mark_sent(&sent);
        host.done(&sent);
    }
    assert_eq!(host.answer(request), Some(Verdict::Done));
    assert_eq!(ending(&host), Some(Ending::Done));
}

/// The booking was written to a socket, and then a fault occurred. It is never sent again, not even
/// if the target states that it did not run it. The error reported to the caller depends on the
/// fault.
#[test]
fn a_booking_that_was_sent_is_never_sent_again() {
    let cases = [
        (Fault::Broken, Code::OutcomeUnknown, Ending::Lost),
        (Fault::Dead, Code::OutcomeUnknown, Ending::Lost),
        (Fault::Silent, Code::OutcomeUnknown, Ending::Lost),
        (Fault::Error, Code::OutcomeUnknown, Ending::Lost),
        (Fault::Full, Code::Overloaded, Ending::Released),
    ];
    for (fault, code, end) in cases {
        let mut host = Host::new();
        let request = start_booking(&mut host);
        let sent = host.last_send(request);
        let sends = host.sends.len();
        host.mark_sent(&sent);
        host.fail(&sent, fault);
        host.advance(1_000);
        assert_eq!(host.sends.len(), sends, "{fault:?}");
        assert_eq!(refused(&host, request).code, code, "{fault:?}");
        assert_eq!(ending(&host), Some(end), "{fault:?}");
    }
}

/// The booking ran, and the stage after it can't be sent. The key must not be granted again, or a
/// re-send by the caller would book twice.
#[test]
fn a_later_refusal_does_not_release_the_key() {
    let mut host = Host::new();
    let request = start_booking(&mut host);
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.done(&sent);
    while host.answer(request).is_none() {
        let sent = host.last_send(request);
        host.mark_sent(&sent);
        host.fail(&sent, Fault::Full);
    }
    assert_eq!(refused(&host, request).ran, Ran::Yes);
    assert_eq!(ending(&host), Some(Ending::Lost));
}

/// The caller disconnects while its booking runs. The booking continues, so that a re-send of the
/// key gets the answer. If the caller disconnects before the booking was sent, the request is
/// cancelled and its key is released.
#[test]
fn a_booking_continues_after_its_caller_disconnects() {
    let mut host = Host::new();
    let request = start_booking(&mut host);
    let sent = host.last_send(request);
    host.mark_sent(&sent);
    host.feed(Event::Gone { request });
    assert!(host.cancels.is_empty());
    host.done(&sent);
    let sent = host.last_send(request);
    host.done(&sent);
    assert_eq!(ending(&host), Some(Ending::Done));

    let mut host = Host::new();
    let request = start_booking(&mut host);
    host.feed(Event::Gone { request });
    assert_eq!(host.cancels.len(), 1);
    assert_eq!(ending(&host), Some(Ending::Released));
}

/// The answer is complete a moment after the deadline. The caller is told that the deadline passed,
/// and the journal keeps the answer for a re-send.
#[test]
fn an_answer_after_the_deadline_is_refused() {
    let mut host = Host::new();
    let request = start_booking(&mut host);
    let sent = host.last_send(request);
    host.done(&sent);
    let sent = host.last_send(request);
    host.now += Ms(9_001);
    host.done(&sent);
    let refusal = refused(&host, request);
    assert_eq!((refusal.code, refusal.ran), (Code::DeadlinePassed, Ran::Yes));
    assert_eq!(ending(&host), Some(Ending::Done));
}

/// A key that was sent before is refused before the journal was asked, or while it is being asked.
/// The key may have run, so `no` is never reported.
#[test]
fn a_resent_key_is_never_reported_as_not_run() {
    let mut host = Host::new();
    let again = Arrival { keyed: true, resent: true, ..host.arrival("big", "order") };
    let request = host.arrive(again.clone());
    host.advance(9_000);
    assert_eq!(refused(&host, request).ran, Ran::Unknown, "the journal did not answer");
    host.feed(Event::Drain);
    let request = host.arrive(again);
    assert_eq!(refused(&host, request).ran, Ran::Unknown, "the journal was not asked");
}

/// A first attempt was sent and its outcome lost; a second could not connect. That nothing of the
/// second attempt was sent says nothing about the first.
#[test]
fn a_connect_failure_does_not_clear_an_earlier_attempt() {
    let mut host = Host::new();
    let request = host.submit("big", "short");
    let first = host.last_send(request);
    host.mark_sent(&first);
    host.fail(&first, Fault::Silent);
    while host.answer(request).is_none() {
        let next = host.last_send(request);
        host.fail(&next, Fault::Connect);
    }
    assert_eq!(refused(&host, request).ran, Ran::Unknown);
}
