//! Which designs mix or lose streams that callers take up at other hosts.

use model::origins::{Design, Figures, Scenario, simulate};

fn run(design: Design, hosts: usize) -> Figures {
    simulate(design, Scenario { hosts, rate: 5, failing: 50 }, 1)
}

// Guards against a design that guesses: hosts that don't know of a version yet compute another one.
#[test]
fn a_hash_over_the_known_versions_mixes_streams() {
    assert!(run(Design::Hash, 79).mixed > 0);
    assert_eq!(run(Design::Some(6), 79).mixed, 0);
}

// Guards against streams that are lost with their hosts: nearly all go on when half of a fleet fails.
#[test]
fn six_records_outlive_half_of_a_fleet() {
    for hosts in [6, 79, 400] {
        let figures = run(Design::Some(6), hosts);
        assert!(figures.taken_up > 100);
        assert!(figures.went_on * 100 >= figures.taken_up * 95, "{hosts} hosts: {figures:?}");
    }
}

#[test]
fn records_of_the_first_host_alone_are_lost_with_it() {
    let figures = run(Design::First, 79);
    assert!(figures.went_on * 2 < figures.taken_up, "{figures:?}");
}
