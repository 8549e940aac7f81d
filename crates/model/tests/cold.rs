//! What a cold target gets from fleets of several sizes, whole and cut.

use model::cold::{Cut, Design, Play, play};

const LIMIT: f64 = 18.95;

fn world(hosts: usize, cut: Cut) -> Play {
    Play { hosts, rate: 20.0, limit: LIMIT, cut, skew: 0 }
}

/// Guards against a limit that holds in a small fleet or a whole one only.
#[test]
fn shares_in_the_domain_keep_the_limit_at_any_size_and_cut() {
    for hosts in [6, 79, 300, 1_000] {
        for cut in [Cut::None, Cut::Halves, Cut::Alone] {
            for seed in 1..=3 {
                let worst = play(Design::Shares, world(hosts, cut), seed).worst;
                assert!(worst as f64 <= LIMIT, "{hosts} hosts, {cut:?}: {worst} in a second");
            }
        }
    }
}

#[test]
fn hosts_that_heed_nothing_go_over_it() {
    let worst = play(Design::Free, world(79, Cut::None), 1).worst;
    assert!(worst as f64 > LIMIT, "{worst} in a second");
}
