//! A composer that did not run for a while.
//!
//! Pattern of load: the host that composes calls is denied the processor for longer than a call
//! takes, and finds its timers and its targets' answers all at once.

mod common;

use base::Ms;
use common::{Bench, config};
use sched::batch::{Event, PieceEnd};

const PAUSE: Ms = Ms(3_000);

impl Bench {
    fn pause(&mut self) {
        self.now += PAUSE;
        self.feed(Event::Paused(PAUSE));
        self.feed(Event::Tick);
    }
}

// Guards against pieces that are made twice because the answer of their call was not read in time.
#[test]
fn a_call_is_not_overdue_because_of_a_pause() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 1, |p| p.expires = Ms(9_000_000));
    bench.now += Ms(100);
    bench.pause();
    assert_eq!(bench.calls.len(), 1);
    bench.finish(0, Ms(100));
    assert_eq!(bench.ends.len(), 1);
}

// Guards against a call that is never made again after a pause although its target is lost.
#[test]
fn a_call_is_overdue_after_its_time_without_the_pause() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 1, |p| p.expires = Ms(9_000_000));
    bench.pause();
    bench.now += Ms(1_000);
    bench.feed(Event::Tick);
    assert_eq!(bench.calls.len(), 2);
}

// Guards against a target that gets no more calls because the pause counts as its time.
#[test]
fn a_target_is_not_slow_because_of_a_pause() {
    let mut bench = Bench::new(config(), &["a", "b"]);
    bench.submit("r1", 1, |p| p.expires = Ms(9_000_000));
    let first = bench.calls[0].1.clone();
    bench.pause();
    bench.finish(0, Ms(250));
    for i in 0..4 {
        bench.submit(&format!("s{i}"), 8, |p| p.expires = Ms(9_000_000));
        let last = bench.calls.len() - 1;
        bench.finish(last, Ms(320));
    }
    let again = bench.calls[1..].iter().filter(|(_, target, _)| *target == first).count();
    assert!(again >= 2, "{again} of 4 calls");
}

// Guards against callers that are refused although a target is free, because no late piece got into
// a call during the pause, and so none seemed to have a chance.
#[test]
fn late_pieces_are_not_given_up_because_of_a_pause() {
    let mut bench = Bench::new(config(), &["a"]);
    // After the pause there is time for three calls, which is enough for all.
    let expires = bench.now + PAUSE + Ms(1_000);
    for request in 0..3 {
        bench.submit(&format!("late{request}"), 8, |p| {
            p.due = Ms(0);
            p.expires = expires;
        });
    }
    bench.pause();
    let given_up = bench.ends.iter().filter(|(_, end)| *end == PieceEnd::Late).count();
    assert_eq!(given_up, 0);
}
