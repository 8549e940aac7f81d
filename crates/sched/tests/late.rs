//! Late pieces beside a target that is slower than declared.
//!
//! Pattern of load: a few requests are late already, and a call takes several times its declared
//! time. Without calls to go by, nothing is known of the chance of the pieces that wait.

mod common;

use base::Ms;
use common::{Bench, config};
use sched::batch::{Event, LateChance, PieceEnd};

impl Bench {
    /// Lets time pass in short steps.
    fn pass(&mut self, time: Ms) {
        let end = self.now + time;
        while self.now < end {
            self.now += Ms(20);
            self.feed(Event::Tick);
        }
    }

    fn submit_late(&mut self, request: &str, within: Ms) {
        let expires = self.now + within;
        self.submit(request, 8, |p| {
            p.due = Ms(0);
            p.expires = expires;
        });
    }

    fn late_ends(&self) -> usize {
        self.ends.iter().filter(|(_, end)| *end == PieceEnd::Late).count()
    }
}

// Guards against callers that are refused although the only target is about to take their pieces: it
// takes longer for a call than two are declared to, so none began while they waited.
#[test]
fn late_pieces_wait_for_a_target_that_is_slower_than_declared() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("running", 8, |_| {});
    bench.submit("next", 8, |_| {});
    for request in 0..2 {
        bench.submit_late(&format!("late{request}"), Ms(10_000));
    }
    for call in 0..4 {
        bench.pass(Ms(860));
        bench.finish(call, Ms(0));
    }
    assert_eq!(bench.late_ends(), 0);
    assert_eq!(bench.ends.len(), 32);
}

// Guards against late pieces that wait until they expire behind a target that answers nothing.
#[test]
fn late_pieces_are_given_up_once_all_calls_are_overdue() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("running", 8, |p| p.expires = Ms(9_000_000));
    bench.submit("next", 8, |p| p.expires = Ms(9_000_000));
    bench.submit_late("late", Ms(10_000));
    bench.pass(Ms(1_180));
    assert_eq!(bench.late_ends(), 0, "it may still answer");
    bench.pass(Ms(80));
    assert_eq!(bench.late_ends(), 8);
    let given_up = bench.batcher.take_given_up().expect("an account of them");
    assert_eq!((given_up.requests.len(), given_up.pieces), (1, 8));
    assert_eq!(given_up.chance, LateChance { span: Ms(1_220), calls: 1, taken: 0 });
}

// Guards against pieces that are kept for ten seconds although calls begin and leave no room for
// them.
#[test]
fn late_pieces_are_given_up_while_pieces_on_time_fill_the_calls() {
    let mut bench = Bench::new(config(), &["a"]);
    bench.submit("r0", 8, |_| {});
    bench.submit_late("late", Ms(4_000));
    for call in 0..4 {
        for more in 0..2 {
            bench.submit(&format!("r{call}-{more}"), 8, |_| {});
        }
        bench.pass(Ms(320));
        bench.finish(call, Ms(0));
    }
    assert_eq!(bench.late_ends(), 8);
}
