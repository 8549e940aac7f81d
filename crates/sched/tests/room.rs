//! Results that were read: how long they lie on, and which go first.

mod common;

use base::{Ms, TargetId};
use common::{Bench, KB, config};
use sched::batch::{CallEnd, Event, PieceEnd};

/// A target with the results of a finished call, all of them read.
fn with_read_results(count: u32, bytes: u64) -> Bench {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", count, |p| p.bytes = bytes);
    bench.finish(0, Ms(250));
    read(&mut bench, "r1", count);
    bench
}

fn read(bench: &mut Bench, request: &str, count: u32) {
    for i in 0..count {
        bench.feed(Event::Read(TargetId::from("a"), format!("a/{request}-{i}")));
    }
}

// A caller's answer is late though nothing was wrong for long: one piece in five hundred fails and
// is made again in the next call, and the results that it reads were given up when the others had
// read them, so the whole chain before it is made again.
// What was read lies on where the room isn't needed.
#[test]
fn what_was_read_lies_on_for_a_piece_that_fails() {
    let mut bench = with_read_results(8, KB);
    assert_eq!(bench.freed.len(), 0);
    bench.submit("r2", 8, |_| ());
    assert_eq!(bench.freed.len(), 0, "the next call finds room beside them");
}

// A burst fills the targets' room with results that nearly nobody reads any more, and calls shrink
// to what is left: a third of what the stage can do is lost.
// They go as soon as the next call would not find room, before it is composed.
#[test]
fn what_was_read_makes_room_for_the_next_call() {
    let mut bench = with_read_results(3, 10 * KB);
    bench.submit("r2", 1, |p| p.bytes = 25 * KB);
    assert_eq!(bench.freed.len(), 0, "25 KB under way leave 45 beside what was read");
    bench.submit("r3", 3, |p| p.bytes = 20 * KB);
    assert_eq!(bench.freed.len(), 2, "25 KB under way and 60 to come leave 15");
}

#[test]
fn what_nobody_has_read_stays() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 4, |p| p.bytes = 20 * KB);
    bench.finish(0, Ms(250));
    bench.submit("r2", 4, |p| p.bytes = 20 * KB);
    assert_eq!(bench.freed.len(), 0);
}

// Requests with small results lose them to one with large results beside them, and gain it nothing.
// The largest go first, and a twentieth of the room is always left to what was read.
#[test]
fn small_results_stay_beside_large_ones() {
    let mut bench = with_read_results(5, KB);
    bench.submit("r2", 3, |p| p.bytes = 30 * KB);
    bench.finish(1, Ms(250));
    read(&mut bench, "r2", 3);
    bench.submit("r3", 3, |p| p.bytes = 30 * KB);
    assert_eq!(bench.freed, ["a/r2-0", "a/r2-1", "a/r2-2"]);
}

// Calls come back without results though by the declared sizes a third of the room was free: sizes
// are approximate.
// After that, less of the room is counted on, and what was read goes sooner.
#[test]
fn a_room_that_was_full_sooner_is_trusted_less() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 3, |p| p.bytes = 15 * KB);
    bench.finish(0, Ms(250));
    bench.submit("r2", 1, |p| p.bytes = 5 * KB);
    let (call, ..) = bench.calls[1].clone();
    bench.now += Ms(250);
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Room])));
    // What others had there is gone by now.
    bench.now += Ms(1_000);
    read(&mut bench, "r1", 3);
    assert!(!bench.freed.is_empty(), "there was room for 50 KB only");
}
