//! Request rate at a cold target for fleets of several sizes, with and without a network partition.

use model::cold::{Design, Partition, Scenario, simulate};

const LIMIT: f64 = 18.95;

fn scenario(hosts: usize, partition: Partition) -> Scenario {
    Scenario { hosts, rate: 20.0, limit: LIMIT, partition, skew: 0 }
}

/// Guards against a limit that is kept only in a small fleet or only without a partition.
#[test]
fn shares_in_the_domain_keep_the_limit_at_any_size_and_cut() {
    for hosts in [6, 79, 300, 1_000] {
        for partition in [Partition::None, Partition::Halves, Partition::Isolated] {
            for seed in 1..=3 {
                let worst = simulate(Design::Shares, scenario(hosts, partition), seed).worst;
                assert!(worst as f64 <= LIMIT, "{hosts} hosts, {partition:?}: {worst} in a second");
            }
        }
    }
}

#[test]
fn hosts_without_a_limit_exceed_it() {
    let worst = simulate(Design::Unlimited, scenario(79, Partition::None), 1).worst;
    assert!(worst as f64 > LIMIT, "{worst} in a second");
}
