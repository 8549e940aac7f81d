//! What the batcher puts into a call, where it sends it, and what a failed call costs.

mod common;

use base::{Ms, TargetId};
use catalog::Batch;
use common::{Bench, KB, config};
use sched::batch::{CallEnd, Event, PieceEnd, PieceId};

#[test]
fn a_free_target_gets_a_call_at_once() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 2, |_| ());
    assert_eq!(bench.calls.len(), 1);
    assert_eq!(bench.calls[0].2.len(), 2);
}

// Guards against callers waiting behind targets that are busy with nearly empty calls. This happens
// if the pieces of each request are sent alone, as the fixed time of a call is twenty times that of
// a piece. The pieces that arrive while a target is busy go into its next call together.
#[test]
fn pieces_that_wait_for_a_busy_target_share_its_next_call() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    for request in ["r2", "r3", "r4"] {
        bench.submit(request, 2, |_| ());
    }
    assert_eq!(bench.calls.len(), 1);
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["r2", "r3", "r4"]);
}

#[test]
fn pieces_of_one_request_are_made_together() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    bench.submit("r2", 6, |_| ());
    bench.submit("r3", 4, |p| p.due += Ms(10));
    bench.submit("r4", 2, |p| p.due += Ms(20));
    bench.finish(0, Ms(250));
    // Four more pieces of r3 don't fit in addition to r2; those of r4 do.
    assert_eq!(bench.requests(1), ["r2", "r4"]);
}

#[test]
fn a_request_larger_than_a_call_is_made_in_several_calls() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 11, |_| ());
    assert_eq!(bench.calls[0].2.len(), 8);
    bench.finish(0, Ms(320));
    assert_eq!(bench.calls[1].2.len(), 3);
    bench.finish(1, Ms(270));
    assert_eq!(bench.ends.len(), 11);
}

// Guards against a burst of less urgent requests making the most urgent ones late. Both have the
// same cost here, and ordering by due time alone would divide the capacity between them. Among the
// pieces that can still be on time, the more urgent rank goes first.
#[test]
fn more_urgent_requests_go_first_under_a_burst_of_others() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    for i in 0..6 {
        bench.submit(&format!("chat-{i}"), 2, |p| p.due = p.due - Ms(500));
    }
    bench.submit("chapter", 4, |p| p.rank = 0);
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1)[0], "chapter");
}

// Guards against serving every request just too late under overload. Ordered by due time alone,
// pieces that are already late go before those that could still be on time. Late pieces get only
// the remaining places of a call.
#[test]
fn pieces_on_time_go_before_late_pieces() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    bench.submit("late", 6, |p| p.due = Ms(1));
    bench.submit("fresh", 6, |_| ());
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["fresh"]);
    bench.finish(1, Ms(300));
    assert_eq!(bench.requests(2), ["late"]);
}

// Guards against no request being on time any more after a long overload. Requests just before
// their deadline would push out those that could still be on time, which are then the next ones
// just before their deadline. They get a part of each call and no more.
#[test]
fn pieces_with_a_last_chance_take_only_a_part_of_a_call() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    for i in 0..4 {
        bench.submit(&format!("last-{i}"), 2, |p| {
            p.due = Ms(1);
            p.expires = p.expires - Ms(9_200);
        });
    }
    bench.submit("fresh", 6, |_| ());
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["last-0", "fresh"]);
}

#[test]
fn a_piece_that_would_expire_first_is_refused_on_submission() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    for i in 0..8 {
        bench.submit(&format!("r{i}"), 8, |_| ());
    }
    let ids = bench.submit("hopeless", 1, |p| p.expires = p.expires - Ms(9_000));
    assert_eq!(bench.ends, [(ids[0], PieceEnd::Late)]);
}

// Guards against calls that end without results at healthy targets: a target has room for a handful
// of large results, and those that were not read yet fill it. A result takes up room from the start
// of its call until it is deleted.
#[test]
fn a_call_takes_no_more_than_the_free_room() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 3, |p| p.bytes = 25 * KB);
    bench.submit("r2", 3, |p| p.bytes = 25 * KB);
    bench.finish(0, Ms(270));
    assert_eq!(bench.calls.len(), 1, "75 of 100 KB are taken");
    for i in 0..3 {
        bench.feed(Event::Freed("a".into(), format!("a/r1-{i}")));
    }
    assert_eq!(bench.requests(1), ["r2"]);
}

#[test]
fn a_target_without_room_gets_no_call_again_at_once() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 2, |_| ());
    let (call, _, _) = bench.calls[0].clone();
    bench.now += Ms(5);
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Room, PieceEnd::Room])));
    assert_eq!(bench.calls.len(), 1, "a new call at once would be a busy loop");
    bench.now = bench.batcher.wake(bench.now).expect("a retry is scheduled");
    while bench.calls.len() == 1 {
        bench.feed(Event::Tick);
        bench.now += Ms(50);
    }
    assert_eq!(bench.calls[1].2.len(), 2);
}

// Guards against a caller waiting until its deadline because a target crashed during the call with
// its pieces. They are made again at another target at once.
#[test]
fn pieces_of_a_broken_call_are_made_elsewhere() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 2, |_| ());
    let (call, first, _) = bench.calls[0].clone();
    bench.feed(Event::Ended(call, CallEnd::Broken));
    assert_eq!(bench.requests(1), ["r1"]);
    assert_ne!(bench.calls[1].1, first);
}

#[test]
fn a_request_that_breaks_every_call_is_given_up() {
    let mut bench = Bench::new(config(), &["a", "b", "c", "d"]);
    bench.submit("r1", 1, |_| ());
    for i in 0..3 {
        let (call, _, _) = bench.calls[i].clone();
        bench.feed(Event::Ended(call, CallEnd::Broken));
    }
    assert_eq!(bench.calls.len(), 3);
    assert_eq!(bench.ends[0].1, PieceEnd::Failed);
}

// Guards against a stage that takes four times as long as usual because its target has turned slow,
// or has become unreachable without a connection reset. The pieces of an overdue call are also made
// elsewhere, once; the second result is deleted.
#[test]
fn pieces_of_an_overdue_call_are_also_made_elsewhere() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 1, |_| ());
    bench.now += Ms(1_000);
    bench.feed(Event::Tick);
    assert_eq!(bench.calls.len(), 2);
    bench.finish(1, Ms(250));
    assert_eq!(bench.ends.len(), 1);
    bench.finish(0, Ms(100));
    assert_eq!(bench.ends.len(), 1);
    assert_eq!(bench.freed, ["a/r1-0"]);
}

#[test]
fn a_slow_target_gets_nothing_that_a_normal_one_ends_sooner() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 1, |_| ());
    let slow = bench.calls[0].1.clone();
    bench.finish(0, Ms(1_500));
    for i in 0..3 {
        bench.submit(&format!("s{i}"), 1, |_| ());
        let last = bench.calls.len() - 1;
        if bench.calls[last].1 != slow {
            bench.finish(last, Ms(250));
        }
    }
    let to_slow = bench.calls[1..].iter().filter(|(_, target, _)| *target == slow).count();
    assert!(to_slow <= 1, "at most one probe of the slow target");
}

#[test]
fn withdrawn_pieces_are_not_made() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    let ids = bench.submit("gone", 2, |_| ());
    bench.feed(Event::Withdraw(ids));
    bench.submit("r2", 1, |_| ());
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["r2"]);
}

#[test]
fn the_result_of_a_withdrawn_piece_is_deleted() {
    let mut bench = Bench::new(config(), &["a"]);
    let ids = bench.submit("gone", 1, |_| ());
    bench.feed(Event::Withdraw(ids));
    bench.finish(0, Ms(250));
    assert_eq!(bench.freed, ["a/gone-0"]);
    assert!(bench.ends.is_empty());
}

#[test]
fn a_leaving_target_ends_its_calls_and_gets_no_new_one() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    bench.targets(&["b"]);
    bench.submit("r2", 1, |_| ());
    assert_eq!(bench.calls[1].1, TargetId::from("b"));
    bench.finish(0, Ms(250));
    assert_eq!(bench.ends.len(), 1);
}

#[test]
fn a_response_with_too_few_pieces_is_rejected() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 2, |_| ());
    let (call, _, _) = bench.calls[0].clone();
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Made("x".into())])));
    assert!(bench.ends.is_empty());
    assert_eq!(bench.requests(1), ["r1"]);
}

// Guards against calls that keep the size declared at the start although the operator has increased
// it.
#[test]
fn a_changed_configuration_applies_to_the_next_call() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    bench.submit("r2", 12, |_| ());
    bench.feed(Event::Config(Batch { size: 16, ..config() }));
    bench.finish(0, Ms(250));
    assert_eq!(bench.calls[1].2.len(), 12);
}

// Guards against callers hearing only after ten seconds that their stages are late, with no time
// left to retry. During a burst that exceeds the capacity of the targets for seconds, pieces on
// time go first in every call, and late ones would wait until they expire.
#[test]
fn late_pieces_without_a_call_for_a_while_are_refused_before_they_expire() {
    let mut bench = Bench::new(config(), &["a"]);
    let late = bench.submit("late", 4, |p| p.due = Ms(0));
    let late2 = bench.submit("late2", 4, |p| p.due = Ms(0));
    for call in 0..6 {
        bench.submit(&format!("new{call}"), 8, |_| ());
        bench.submit(&format!("more{call}"), 8, |_| ());
        bench.finish(call, Ms(320));
    }
    let refused: Vec<PieceId> = bench.ends.iter().filter_map(late_end).collect();
    assert!(late2.iter().all(|id| refused.contains(id)), "{:?}", bench.ends);
    assert!(!late.iter().any(|id| refused.contains(id)), "it was in the first call");
}

// The same with short calls: the waiting time is measured in calls, not in fixed time.
#[test]
fn late_pieces_behind_short_calls_are_refused_sooner() {
    let mut bench = Bench::new(Batch { call_ms: 60.0, item_ms: 5.0, ..config() }, &["a"]);
    bench.submit("late", 4, |p| p.due = Ms(0));
    let late2 = bench.submit("late2", 4, |p| p.due = Ms(0));
    let begun = bench.now;
    for call in 0..6 {
        bench.submit(&format!("new{call}"), 8, |_| ());
        bench.submit(&format!("more{call}"), 8, |_| ());
        bench.finish(call, Ms(100));
    }
    let refused: Vec<PieceId> = bench.ends.iter().filter_map(late_end).collect();
    assert!(late2.iter().all(|id| refused.contains(id)), "after {} ms", (bench.now - begun).0);
}

#[test]
fn late_pieces_that_get_a_call_before_they_expire_are_kept() {
    let mut bench = Bench::new(config(), &["a"]);
    for request in 0..10 {
        bench.submit(&format!("late{request}"), 8, |p| p.due = Ms(0));
    }
    for call in 0..10 {
        bench.finish(call, Ms(320));
    }
    assert!(bench.ends.iter().all(|end| late_end(end).is_none()), "{:?}", bench.ends);
    assert_eq!(bench.ends.len(), 80);
}

// Guards against refusing a request at once although the targets could make it on time, because
// hundreds of waiting late pieces are counted as ahead of it.
#[test]
fn late_pieces_do_not_count_as_ahead_of_pieces_on_time() {
    let mut bench = Bench::new(config(), &["a"]);
    for request in 0..30 {
        bench.submit(&format!("late{request}"), 8, |p| p.due = Ms(0));
    }
    let ids = bench.submit("new", 8, |p| p.expires = p.due + Ms(500));
    assert!(!bench.ends.iter().any(|(id, _)| ids.contains(id)), "{:?}", bench.ends);
    bench.finish(0, Ms(320));
    assert_eq!(bench.requests(1), ["new"]);
}

fn late_end((id, end): &(PieceId, PieceEnd)) -> Option<PieceId> {
    (*end == PieceEnd::Late).then_some(*id)
}
