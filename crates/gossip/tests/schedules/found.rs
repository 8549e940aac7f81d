//! Schedules that showed a fault, as they were when they were found.

use base::Ms;

use crate::op::{Op, Step};
use crate::oracle::play;

fn assert_passes(steps: &[(Op, u64)]) {
    let steps: Vec<Step> =
        steps.iter().map(|(op, wait)| Step { op: *op, wait: Ms(*wait) }).collect();
    if let Err(why) = play(&steps, None) {
        panic!("{why}");
    }
}

/// A mark that was told in a domain cut off from the others stayed unknown outside for good. Its
/// rumor had died out before the cut ended, and the host that saw the difference asked another
/// peer, which lacked the same.
#[test]
fn a_mark_from_a_cut_off_domain_is_requested_from_a_peer_that_has_it() {
    assert_passes(&[
        (Op::Unresponsive(false), 0),
        (Op::Apply, 752),
        (Op::Pause(2), 326),
        (Op::CutPlatform(0), 419),
        (Op::Resume(3), 2041),
        (Op::Unresponsive(false), 774),
        (Op::CutDomain(2), 11_166),
        (Op::Poison(0), 2314),
        (Op::Poison(5), 312),
    ]);
    assert_passes(&[
        (Op::Apply, 92),
        (Op::CutDomain(2), 144),
        (Op::Start(0), 65),
        (Op::Resume(0), 235),
        (Op::Poison(5), 49),
        (Op::Kill(2), 364),
        (Op::Down(false), 703),
    ]);
}

/// A store that comes back twice with old content accepted one generation twice, and then held
/// the earlier of the two: hosts stay with the later write.
#[test]
fn a_store_restored_twice_reverts_no_host() {
    assert_passes(&[(Op::Apply, 0), (Op::Restore, 0), (Op::Apply, 56), (Op::Restore, 0)]);
}
