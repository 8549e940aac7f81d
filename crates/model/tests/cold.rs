//! What a cold target gets from fleets of several sizes, whole and cut.

use model::cold::{Design, Partition, Scenario, simulate};

const LIMIT: f64 = 18.95;

fn world(hosts: usize, partition: Partition) -> Scenario {
    Scenario { hosts, rate: 20.0, limit: LIMIT, partition, skew: 0 }
}

/// Guards against a limit that holds in a small fleet or a whole one only.
#[test]
fn shares_in_the_domain_keep_the_limit_at_any_size_and_cut() {
    for hosts in [6, 79, 300, 1_000] {
        for partition in [Partition::None, Partition::Halves, Partition::Isolated] {
            for seed in 1..=3 {
                let worst = simulate(Design::Shares, world(hosts, partition), seed).worst;
                assert!(worst as f64 <= LIMIT, "{hosts} hosts, {partition:?}: {worst} in a second");
            }
        }
    }
}

#[test]
fn hosts_that_heed_nothing_go_over_it() {
    let worst = simulate(Design::Unlimited, world(79, Partition::None), 1).worst;
    assert!(worst as f64 > LIMIT, "{worst} in a second");
}
