//! The composer of stage calls: what goes into a call, where, and what a failed call costs.

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

// Callers wait behind targets that are busy with nearly empty calls: each request's pieces went
// out alone, and a call's fixed time is twenty times that of a piece.
// What comes while a target works goes into its next call together.
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
    // Four more pieces of r3 don't fit beside r2; r4's do.
    assert_eq!(bench.requests(1), ["r2", "r4"]);
}

#[test]
fn a_request_with_more_pieces_than_a_call_is_made_in_several() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 11, |_| ());
    assert_eq!(bench.calls[0].2.len(), 8);
    bench.finish(0, Ms(320));
    assert_eq!(bench.calls[1].2.len(), 3);
    bench.finish(1, Ms(270));
    assert_eq!(bench.ends.len(), 11);
}

// A burst of a lesser kind makes the most urgent kind late too: both cost the same here, and by
// due time alone they share what there is.
// Ranks go first among what can still be in time.
#[test]
fn the_more_urgent_kind_goes_first_under_a_burst_of_the_other() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    for i in 0..6 {
        bench.submit(&format!("chat-{i}"), 2, |p| p.due = p.due - Ms(500));
    }
    bench.submit("chapter", 4, |p| p.rank = 0);
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1)[0], "chapter");
}

// Under overload everyone is served just too late: ordered by due time, what is late already goes
// before what could still be in time.
// What is late anyway takes only the places that are left.
#[test]
fn what_can_be_in_time_goes_before_what_is_late_anyway() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    bench.submit("late", 6, |p| p.due = Ms(1));
    bench.submit("fresh", 6, |_| ());
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["fresh"]);
    bench.finish(1, Ms(300));
    assert_eq!(bench.requests(2), ["late"]);
}

// Nothing is in time any more after a long overload: requests at the last moment before their
// callers leave push out those that could still be in time, which are at their last moment next.
// They get a part of each call and no more.
#[test]
fn last_chances_take_a_part_of_a_call_only() {
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
fn what_is_known_to_be_hopeless_is_refused_when_it_is_handed_in() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    for i in 0..8 {
        bench.submit(&format!("r{i}"), 8, |_| ());
    }
    let ids = bench.submit("hopeless", 1, |p| p.expires = p.expires - Ms(9_000));
    assert_eq!(bench.ends, [(ids[0], PieceEnd::Late)]);
}

// Calls come back without results though their targets are sound: they have room for a handful
// of large results, and those that were not read yet fill it.
// Results count from the beginning of their call until they are given up.
#[test]
fn a_call_takes_no_more_than_the_room_that_is_left() {
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
fn a_target_that_had_no_room_is_not_asked_again_at_once() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 2, |_| ());
    let (call, _, _) = bench.calls[0].clone();
    bench.now += Ms(5);
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Room, PieceEnd::Room])));
    assert_eq!(bench.calls.len(), 1, "the room is others': asking again would spin");
    bench.now = bench.batcher.wake(bench.now).expect("it looks again");
    while bench.calls.len() == 1 {
        bench.feed(Event::Tick);
        bench.now += Ms(50);
    }
    assert_eq!(bench.calls[1].2.len(), 2);
}

// A caller waits for its whole deadline: the target crashed under the call that held its pieces.
// Pieces may be made again; they go to another target at once.
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

// A stage takes four times as long as usual: its target turned slow, or went dark without a
// reset, and nothing tells the difference.
// A call that is overdue has its pieces made elsewhere too, once; the second result is given up.
#[test]
fn pieces_of_an_overdue_call_are_made_elsewhere_too() {
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
    assert!(to_slow <= 1, "one call to see whether it has recovered");
}

#[test]
fn pieces_that_nobody_waits_for_are_not_made() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("first", 1, |_| ());
    let ids = bench.submit("gone", 2, |_| ());
    bench.feed(Event::Withdraw(ids));
    bench.submit("r2", 1, |_| ());
    bench.finish(0, Ms(250));
    assert_eq!(bench.requests(1), ["r2"]);
}

#[test]
fn a_result_that_nobody_waits_for_is_given_up() {
    let mut bench = Bench::new(config(), &["a"]);
    let ids = bench.submit("gone", 1, |_| ());
    bench.feed(Event::Withdraw(ids));
    bench.finish(0, Ms(250));
    assert_eq!(bench.freed, ["a/gone-0"]);
    assert!(bench.ends.is_empty());
}

#[test]
fn a_target_that_leaves_gets_no_new_call_and_ends_what_it_has() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    bench.targets(&["b"]);
    bench.submit("r2", 1, |_| ());
    assert_eq!(bench.calls[1].1, TargetId::from("b"));
    bench.finish(0, Ms(250));
    assert_eq!(bench.ends.len(), 1);
}

#[test]
fn an_answer_with_too_few_pieces_counts_as_none() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 2, |_| ());
    let (call, _, _) = bench.calls[0].clone();
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Made("x".into())])));
    assert!(bench.ends.is_empty());
    assert_eq!(bench.requests(1), ["r1"]);
}

// Calls stay as small as they were declared at the start, though the operator raised the batch.
#[test]
fn a_changed_declaration_holds_for_the_next_call() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 1, |_| ());
    bench.submit("r2", 12, |_| ());
    bench.feed(Event::Config(Batch { size: 16, ..config() }));
    bench.finish(0, Ms(250));
    assert_eq!(bench.calls[1].2.len(), 12);
}

// Callers hear after ten seconds that their stages came too late, and come back with no time left.
// A burst is over its targets for seconds, work that is on time goes first in every call, and what
// is late already waits for its deadline in vain.
#[test]
fn late_work_that_no_call_has_taken_for_a_while_is_refused_before_its_deadline() {
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

// The same where calls are short: what a call takes, not the clock, says how long is in vain.
#[test]
fn late_work_behind_short_calls_is_refused_sooner() {
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
fn late_work_that_gets_its_turn_in_time_is_kept() {
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

// A caller whose request is on time is refused at once, while its targets would have made it.
// Hundreds of late pieces wait, and each was counted as going before it.
#[test]
fn late_work_does_not_count_as_ahead_of_what_is_on_time() {
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
