//! Schedules that failed, kept as they were found.

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

/// A mark that was announced in a domain that was cut off from the others never became known
/// outside. Its rumor had used up its sends before the cut ended, and the host that saw the
/// difference asked another peer, which lacked the same mark.
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

/// A store that was restored twice from old content accepted one generation twice and then held the
/// earlier of the two. Hosts stay with the later write.
#[test]
fn a_store_restored_twice_reverts_no_host() {
    assert_passes(&[(Op::Apply, 0), (Op::Restore, 0), (Op::Apply, 56), (Op::Restore, 0)]);
}
