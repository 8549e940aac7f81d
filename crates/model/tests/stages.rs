//! Share of requests served in time with batched stages, by which host composes the calls.

use model::stages::{Design, Fault, Load, RunStats, simulate};

const SEEDS: [u64; 3] = [1, 2, 3];

fn run_seeds(design: Design, hosts: usize, factor: f64, fault: Fault) -> Vec<RunStats> {
    SEEDS.iter().map(|seed| simulate(design, Load { hosts, factor, fault }, *seed)).collect()
}

fn mean(runs: &[RunStats], of: impl Fn(&RunStats) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

fn in_time(design: Design, hosts: usize, factor: f64, fault: Fault) -> f64 {
    mean(&run_seeds(design, hosts, factor, fault), RunStats::in_time)
}

// Guards against late requests although targets have twice the capacity needed. This happens when
// each host composes its own calls: with 6 hosts it has a sixth of the pieces, with 86 hosts an
// 86th, and pays a call's fixed time for only a few pieces. One composer per service fills its
// calls independent of the number of hosts.
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
    for run in run_seeds(Design::Composer, 6, 1.0, Fault::None) {
        for (asked, in_time) in run.kinds {
            assert!(in_time as f64 >= 0.98 * asked as f64, "{:?}", run.kinds);
        }
    }
}

// Guards against a collapse under overload: if requests are served by due time alone, each one is
// served just too late, and kinds with long paths are never in time. Requests that can still be in
// time must go first, so that the value served in time doesn't fall as the load grows.
#[test]
fn past_saturation_the_value_served_in_time_does_not_fall() {
    let value = |factor| {
        let runs = run_seeds(Design::Composer, 6, factor, Fault::None);
        mean(&runs, |run| run.value.1)
    };
    let share = in_time(Design::Composer, 6, 1.7, Fault::None);
    assert!(share >= 0.8, "{share}");
    let (burst, beyond) = (value(1.7), value(2.3));
    assert!(beyond >= burst, "{beyond} after {burst}");
}

// Guards against requests that wait for ever for a failed composer. Its pieces are submitted again
// to its successor once the failure is detected, which bounds the wait.
#[test]
fn a_lost_composer_costs_a_bounded_wait() {
    let share = in_time(Design::Composer, 6, 1.0, Fault::Host);
    assert!(share >= 0.95, "{share}");
}

// During a split two hosts compose calls for the same targets, so that each one's calls queue
// behind the other's. This must still serve more in time than every host composing alone.
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
