//! Whether another region makes a stage.

use base::Ms;
use sched::offload::{CROSS_REGION_COST, Stage, choose_region};

/// Four pieces with results of a few bytes that read nothing large.
const SMALL: Stage = Stage { pieces: 4, bytes: 8_000, reads: 8_000 };

fn chosen(stage: Stage, here: Option<Ms>, far: &[(&'static str, u64)]) -> Option<&'static str> {
    choose_region(stage, here, far.iter().map(|(region, wait)| (*region, Ms(*wait))))
}

#[test]
fn a_burst_in_one_region_is_shared_by_the_one_with_the_shortest_wait() {
    let far = [("east", 300), ("west", 50)];
    assert_eq!(chosen(SMALL, Some(Ms(400)), &far), Some("west"));
    assert_eq!(chosen(SMALL, Some(Ms(50) + CROSS_REGION_COST), &far), None);
}

#[test]
fn a_region_without_targets_passes_everything_on() {
    let large = Stage { bytes: 50_000_000, ..SMALL };
    assert_eq!(chosen(large, None, &[("east", 900)]), Some("east"));
    assert_eq!(chosen(large, None, &[]), None);
}

// A request costs more than it is worth: the last stage of a chain was made elsewhere to save a
// fifth of a second. Its sixteen pieces each read the eight results of the stage before, and four
// fifths of all bytes between regions were these.
// What the pieces read weighs as what they make.
#[test]
fn a_stage_stays_where_its_many_pieces_find_what_they_read() {
    let last = Stage { pieces: 16, bytes: 6_000, reads: 8 * 60_000 };
    assert_eq!(chosen(last, Some(Ms(350)), &[("west", 0)]), None);
    assert_eq!(chosen(Stage { reads: 0, ..last }, Some(Ms(350)), &[("west", 0)]), Some("west"));
    assert_eq!(chosen(last, Some(Ms(2_000)), &[("west", 0)]), Some("west"), "it would be far late");
}
