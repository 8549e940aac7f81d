//! How long results that were read are kept, and which are deleted first.

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

// Guards against late responses after a small failure. One piece in five hundred fails and is made
// again in the next call. If the results that it reads were deleted when the other pieces had read
// them, the whole chain before it would be made again. What was read is kept while its room isn't
// needed.
#[test]
fn results_that_were_read_are_kept_for_a_piece_that_fails() {
    let mut bench = with_read_results(8, KB);
    assert_eq!(bench.freed.len(), 0);
    bench.submit("r2", 8, |_| ());
    assert_eq!(bench.freed.len(), 0, "the next call finds room beside them");
}

// Guards against losing a third of a stage's capacity during a burst, when results that hardly
// anybody will read again fill the targets, and calls shrink to the remaining room. They are
// deleted as soon as the next call would not find room, before it is composed.
#[test]
fn results_that_were_read_make_room_for_the_next_call() {
    let mut bench = with_read_results(3, 10 * KB);
    bench.submit("r2", 1, |p| p.bytes = 25 * KB);
    assert_eq!(bench.freed.len(), 0, "25 KB under way leave 45 beside what was read");
    bench.submit("r3", 3, |p| p.bytes = 20 * KB);
    assert_eq!(bench.freed.len(), 2, "25 KB under way and 60 to come leave 15");
}

#[test]
fn unread_results_are_kept() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 4, |p| p.bytes = 20 * KB);
    bench.finish(0, Ms(250));
    bench.submit("r2", 4, |p| p.bytes = 20 * KB);
    assert_eq!(bench.freed.len(), 0);
}

// Guards against requests with small results losing them to one with large results, which gains
// nothing by it. The largest are deleted first, and a twentieth of the room is always left to
// results that were read.
#[test]
fn small_results_are_kept_beside_large_ones() {
    let mut bench = with_read_results(5, KB);
    bench.submit("r2", 3, |p| p.bytes = 30 * KB);
    bench.finish(1, Ms(250));
    read(&mut bench, "r2", 3);
    bench.submit("r3", 3, |p| p.bytes = 30 * KB);
    assert_eq!(bench.freed, ["a/r2-0", "a/r2-1", "a/r2-2"]);
}

// Guards against calls that end without results although by the declared sizes a third of the room
// was free: sizes are approximate. After such a call, less of the room is relied on, and results
// that were read are deleted sooner.
#[test]
fn room_that_was_not_available_is_trusted_less() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r1", 3, |p| p.bytes = 15 * KB);
    bench.finish(0, Ms(250));
    bench.submit("r2", 1, |p| p.bytes = 5 * KB);
    let (call, ..) = bench.calls[1].clone();
    bench.now += Ms(250);
    bench.feed(Event::Ended(call, CallEnd::Done(vec![PieceEnd::Room])));
    // Results of another composer at this target are gone by now.
    bench.now += Ms(1_000);
    read(&mut bench, "r1", 3);
    assert!(!bench.freed.is_empty(), "there was room for 50 KB only");
}
