//! Whether a stage is made in another region.

use base::Ms;
use sched::offload::{CROSS_REGION_COST, Stage, choose_region};

/// Four pieces with small results and small inputs.
const SMALL: Stage = Stage { pieces: 4, bytes: 8_000, reads: 8_000 };

fn chosen(stage: Stage, here: Option<Ms>, far: &[(&'static str, u64)]) -> Option<&'static str> {
    choose_region(stage, here, far.iter().map(|(region, wait)| (*region, Ms(*wait))))
}

#[test]
fn a_burst_is_offloaded_to_the_region_with_the_shortest_wait() {
    let far = [("east", 300), ("west", 50)];
    assert_eq!(chosen(SMALL, Some(Ms(400)), &far), Some("west"));
    assert_eq!(chosen(SMALL, Some(Ms(50) + CROSS_REGION_COST), &far), None);
}

#[test]
fn a_region_without_targets_offloads_everything() {
    let large = Stage { bytes: 50_000_000, ..SMALL };
    assert_eq!(chosen(large, None, &[("east", 900)]), Some("east"));
    assert_eq!(chosen(large, None, &[]), None);
}

// Guards against a request whose transfer costs more than it is worth: the last stage of a chain
// was made in another region to save a fifth of a second. Its sixteen pieces each read the eight
// results of the stage before, and these were four fifths of all bytes between regions. What the
// pieces read counts as much as what they produce.
#[test]
fn a_stage_with_large_inputs_stays_in_its_region() {
    let last = Stage { pieces: 16, bytes: 6_000, reads: 8 * 60_000 };
    assert_eq!(chosen(last, Some(Ms(350)), &[("west", 0)]), None);
    assert_eq!(chosen(Stage { reads: 0, ..last }, Some(Ms(350)), &[("west", 0)]), Some("west"));
    assert_eq!(chosen(last, Some(Ms(2_000)), &[("west", 0)]), Some("west"), "too late here");
}
