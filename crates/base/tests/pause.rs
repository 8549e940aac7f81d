//! Measuring the time for which a process did not run.

use base::{Clock, ManualClock, Ms, PauseMeter, TURN_INTERVAL};
use std::sync::Arc;

fn start() -> (Arc<ManualClock>, PauseMeter) {
    let clock = Arc::new(ManualClock::new(Ms::secs(1_000)));
    let meter = PauseMeter::new(clock.clone());
    (clock, meter)
}

#[test]
fn turns_on_time_are_no_pause() {
    let (clock, meter) = start();
    for late in [0, 5, 20] {
        clock.advance(TURN_INTERVAL + Ms(late));
        assert_eq!(meter.turn(), None);
    }
    assert_eq!(meter.lost(), Ms::ZERO);
    assert!(!meter.excuses(Ms::ZERO));
}

#[test]
fn a_late_turn_is_a_pause_and_pauses_add_up() {
    let (clock, meter) = start();
    clock.advance(TURN_INTERVAL + Ms(700));
    assert_eq!(meter.turn(), Some(Ms(700)));
    clock.advance(TURN_INTERVAL + Ms(300));
    assert_eq!(meter.turn(), Some(Ms(300)));
    assert_eq!(meter.lost(), Ms(1_000));
    assert!(meter.excuses(Ms(700)));
    assert!(!meter.excuses(Ms(900)));
}

// Guards against another timer that runs before the late turn and takes the pause for the silence of
// another host.
#[test]
fn a_pause_counts_before_its_turn() {
    let (clock, meter) = start();
    clock.advance(TURN_INTERVAL + Ms(700));
    assert_eq!(meter.lost(), Ms(700));
    assert_eq!(meter.ended(), clock.now());
    let before = meter.lost();
    meter.turn();
    assert_eq!(meter.lost(), before);
    assert_eq!(meter.ended(), clock.now());
}

// Guards against a host short of processor that holds each refusal back as if it had just been
// paused: its turns are all a little late.
#[test]
fn small_pauses_are_no_reason_to_wait() {
    let (clock, meter) = start();
    clock.advance(TURN_INTERVAL + Ms(700));
    meter.turn();
    let ended = meter.ended();
    for _ in 0..10 {
        clock.advance(TURN_INTERVAL + Ms(60));
        meter.turn();
    }
    assert_eq!(meter.ended(), ended);
    assert_eq!(meter.lost(), Ms(1_300));
}
