//! Tests of the simulation of parts that end engines.

use model::parts::{Design, Figures, Scenario, simulate};

/// Requests with a part that may reach engines once it must be known.
const MOST_LATE: u64 = 3;
const SMALL: Scenario = Scenario { hosts: 6, engines: 9, sound: 40, bad: 10, parts: 1 };

fn run(design: Design, scenario: Scenario) -> Figures {
    simulate(design, scenario, 1)
}

#[test]
fn diagnosed_together_the_part_is_found_and_no_sound_request_refused() {
    for scenario in [SMALL, Scenario { parts: 3, ..SMALL }, Scenario { bad: 60, ..SMALL }] {
        let figures = run(Design::Diagnosed, scenario);
        assert!(figures.found.is_some(), "{figures:?}");
        assert_eq!(figures.refused, 0, "{figures:?}");
        assert!(figures.late <= MOST_LATE, "{figures:?}");
    }
}

#[test]
fn counts_that_nothing_clears_refuse_sound_requests() {
    let figures = run(Design::Told, SMALL);
    assert!(2 * figures.refused > figures.asked, "{figures:?}");
}

#[test]
fn hosts_that_count_their_own_do_not_find_the_part() {
    let large = Scenario { hosts: 79, engines: 60, sound: 200, bad: 1, parts: 1 };
    assert!(run(Design::Own, large).found.is_none());
}

#[test]
fn without_a_bad_part_nothing_is_refused() {
    let calm = Scenario { bad: 0, ..SMALL };
    for design in [Design::Own, Design::Told, Design::Cleared, Design::Diagnosed] {
        assert_eq!(run(design, calm), Figures::default());
    }
}
