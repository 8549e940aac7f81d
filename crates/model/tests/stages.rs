//! What callers get from stages made in batches, by who fills the calls.

use model::stages::{Design, Fault, Load, RunStats, simulate};

const SEEDS: [u64; 3] = [1, 2, 3];

fn days(design: Design, hosts: usize, factor: f64, fault: Fault) -> Vec<RunStats> {
    SEEDS.iter().map(|seed| simulate(design, Load { hosts, factor, fault }, *seed)).collect()
}

fn mean(days: &[RunStats], of: impl Fn(&RunStats) -> f64) -> f64 {
    days.iter().map(of).sum::<f64>() / days.len() as f64
}

fn in_time(design: Design, hosts: usize, factor: f64, fault: Fault) -> f64 {
    mean(&days(design, hosts, factor, fault), RunStats::in_time)
}

// Most requests are late while targets could do twice the load. Each host sees a sixth of the
// pieces, later an 86th, and pays a call's fixed time for a handful of them.
// One composer a service fills calls whatever the number of hosts.
#[test]
fn one_composer_serves_the_ordinary_load_on_any_number_of_hosts() {
    for hosts in [6, 30, 86] {
        let share = in_time(Design::Composer, hosts, 1.0, Fault::None);
        assert!(share >= 0.99, "{hosts} hosts: {share}");
    }
    let alone = in_time(Design::PerHost, 6, 1.0, Fault::None);
    assert!(alone < 0.6, "{alone}");
}

#[test]
fn every_kind_is_served_at_the_ordinary_load() {
    for day in days(Design::Composer, 6, 1.0, Fault::None) {
        for (asked, in_time) in day.kinds {
            assert!(in_time as f64 >= 0.98 * asked as f64, "{:?}", day.kinds);
        }
    }
}

// Everyone is late once more comes than targets can do: served by due time alone, each request's
// turn comes just too late, and the long paths get nothing.
// What can be in time goes first, so what is served in time doesn't fall as the load grows.
#[test]
fn past_saturation_the_worth_served_in_time_does_not_fall() {
    let worth = |factor| {
        let days = days(Design::Composer, 6, factor, Fault::None);
        mean(&days, |day| day.value.1)
    };
    let share = in_time(Design::Composer, 6, 1.7, Fault::None);
    assert!(share >= 0.8, "{share}");
    let (burst, beyond) = (worth(1.7), worth(2.3));
    assert!(beyond >= burst, "{beyond} after {burst}");
}

// Callers wait for a composer that is gone, then for its successor.
// What it had is handed in again once it is missed; the wait is bounded.
#[test]
fn a_lost_composer_costs_a_bounded_wait() {
    let share = in_time(Design::Composer, 6, 1.0, Fault::Host);
    assert!(share >= 0.95, "{share}");
}

// Two hosts compose for the same targets, and each finds the other's calls before its own.
#[test]
fn two_composers_lose_less_than_hosts_alone() {
    let split = in_time(Design::Composer, 6, 1.0, Fault::Split);
    let alone = in_time(Design::PerHost, 6, 1.0, Fault::None);
    assert!(split >= 0.75, "{split}");
    assert!(split > alone, "{split}, {alone}");
}

#[test]
fn a_slow_or_lost_target_costs_little_more_than_its_place() {
    for fault in [Fault::Slow, Fault::Lost] {
        let share = in_time(Design::Composer, 6, 1.0, fault);
        assert!(share >= 0.9, "{fault:?}: {share}");
    }
}
