//! Tests of the retry budget of a fleet whose hosts are restarted.

use base::{Ms, PoolId};
use sched::budget::{Allowance, Past, RetryBudget};

const HOSTS: usize = 9;
const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 58.0, window: Ms(10_000) };
/// Time between two requests to a host.
const REQUEST_INTERVAL: u64 = 125;
/// From this time on each request asks for retries.
const FAILING_FROM: Ms = Ms(25_000);
/// Retries that a failing request asks for.
const RETRIES: usize = 3;
const END: Ms = Ms(60_000);

/// A host's budget, and when its process started.
struct Process {
    budget: RetryBudget,
    started: Ms,
}

/// Plays a fleet whose hosts start again at these times, each given as a host and a time. Returns
/// the number of requests in a window, and the most retries in any window.
fn play(restarts: &[(usize, Ms)], counted_after: Ms) -> (usize, usize) {
    let start = |at, past| Process { budget: RetryBudget::new(ALLOWANCE, past), started: at };
    let mut fleet: Vec<Process> = (0..HOSTS).map(|_| start(Ms(0), Past::None)).collect();
    let service = PoolId::from("engines");
    let mut retries: Vec<Ms> = Vec::new();
    for now in (0..END.0).step_by(REQUEST_INTERVAL as usize).map(Ms) {
        for (i, host) in fleet.iter_mut().enumerate() {
            if restarts.contains(&(i, now)) {
                *host = start(now, Past::Unknown(now));
            }
            if now >= host.started + counted_after {
                host.budget.hosts(HOSTS);
            }
            host.budget.request(now, &service);
            let wanted = if now >= FAILING_FROM { RETRIES } else { 0 };
            let taken = (0..wanted).take_while(|_| host.budget.take(now, &service)).count();
            retries.extend(std::iter::repeat_n(now, taken));
        }
    }
    let in_window =
        |rest: &[Ms]| rest.iter().filter(|at| **at - rest[0] <= ALLOWANCE.window).count();
    let most = (0..retries.len()).map(|i| in_window(&retries[i..])).max();
    let requests = HOSTS * (ALLOWANCE.window.0 / REQUEST_INTERVAL) as usize;
    (requests, most.unwrap_or(0))
}

fn check(restarts: &[(usize, Ms)], counted_after: Ms) {
    let (requests, most) = play(restarts, counted_after);
    let allowed = ALLOWANCE.ratio * requests as f64 + ALLOWANCE.slack;
    assert!(most as f64 <= allowed, "{most} retries in a window, allowed {allowed}");
}

/// The whole fleet starts again at each of these times.
fn all_at(times: &[u64]) -> Vec<(usize, Ms)> {
    times.iter().flat_map(|at| (0..HOSTS).map(|host| (host, Ms(*at)))).collect()
}

// Guards against targets that get more retries than the fleet may send, since each host that has
// just started takes itself for the whole fleet and has the whole slack.
#[test]
fn hosts_that_are_all_killed_again_and_again_stay_within_the_fleets_budget() {
    check(&all_at(&[29_000, 32_000, 35_000, 38_000]), Ms(1_000));
}

// Guards against the same with hosts that know at once how many they are: each forgets what its
// predecessor has spent.
#[test]
fn retries_before_a_restart_count_after_it() {
    check(&all_at(&[28_000]), Ms(0));
    check(&all_at(&[29_000, 32_000, 35_000, 38_000]), Ms(0));
}

// Guards against the same in a rolling restart, as in each update of the program.
#[test]
fn a_rolling_restart_stays_within_the_fleets_budget() {
    let restarts: Vec<_> = (0..HOSTS).map(|i| (i, Ms(28_000 + 1_000 * i as u64))).collect();
    check(&restarts, Ms(1_000));
}

// Guards against a fleet that gives up what it may spend: without restarts, and again a window after
// one, most of the budget is used.
#[test]
fn a_fleet_that_has_run_for_a_window_uses_its_budget() {
    for restarts in [vec![], all_at(&[10_000]), all_at(&[28_000])] {
        let (requests, most) = play(&restarts, Ms(1_000));
        let allowed = ALLOWANCE.ratio * requests as f64 + ALLOWANCE.slack;
        assert!(most as f64 >= 0.7 * allowed, "{most} retries in a window, allowed {allowed}");
    }
}
