//! Tests of the retry budget: the shares of hosts, and of hosts that are restarted.

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

fn service() -> PoolId {
    PoolId::from("register")
}

// Guards against overloading a service that is nearly full: when its targets fail, each host would
// use the fleet's whole slack of retries for itself. A host spends the ratio of its own requests
// and its share of the slack.
#[test]
fn the_shares_of_all_hosts_stay_within_the_fleets_budget() {
    let allowance = Allowance { ratio: 0.2, slack: 52.0, window: Ms(10_000) };
    let mut spent = 0;
    for _ in 0..6 {
        let mut budget = RetryBudget::new(allowance, Past::None);
        budget.hosts(6);
        for _ in 0..20 {
            budget.request(Ms(0), &service());
        }
        spent += (0..200).filter(|_| budget.take(Ms(10), &service())).count();
    }
    assert!(spent as f64 <= 0.2 * 120.0 + 52.0, "spent {spent}");
    assert!(spent >= 40, "spent {spent}");
}

#[test]
fn a_host_that_sees_fewer_others_spends_no_more() {
    let allowance = Allowance { ratio: 0.0, slack: 60.0, window: Ms(10_000) };
    let mut budget = RetryBudget::new(allowance, Past::None);
    budget.hosts(6);
    budget.hosts(1);
    let spent = (0..100).filter(|_| budget.take(Ms(0), &service())).count();
    assert_eq!(spent, 8);
}

#[test]
fn retries_are_available_again_after_the_window() {
    let allowance = Allowance { ratio: 0.0, slack: 10.0, window: Ms(1_000) };
    let mut budget = RetryBudget::new(allowance, Past::None);
    while budget.take(Ms(0), &service()) {}
    assert!(!budget.take(Ms(1_000), &service()));
    assert!(budget.take(Ms(1_001), &service()));
}

/// Requests that arrive between two times, of which one arrives every `REQUEST_INTERVAL` at each
/// host, and [`Burst::FACTOR`] as many during a burst.
struct Burst {
    from: Ms,
    to: Ms,
}

impl Burst {
    const FACTOR: usize = 4;

    fn requests(&self, now: Ms) -> usize {
        if now >= self.from && now < self.to { Self::FACTOR } else { 1 }
    }
}

/// Plays a burst with targets that fail from `failing` on. Returns when requests came and when they
/// were retried.
fn play_burst(burst: &Burst, failing: Ms) -> (Vec<Ms>, Vec<Ms>) {
    let mut fleet: Vec<RetryBudget> =
        (0..HOSTS).map(|_| RetryBudget::new(ALLOWANCE, Past::None)).collect();
    fleet.iter_mut().for_each(|budget| budget.hosts(HOSTS));
    let service = service();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for now in (0..END.0).step_by(REQUEST_INTERVAL as usize).map(Ms) {
        for budget in &mut fleet {
            for _ in 0..burst.requests(now) {
                requests.push(now);
                budget.request(now, &service);
                let wanted = if now >= failing { RETRIES } else { 0 };
                let taken = (0..wanted).take_while(|_| budget.take(now, &service)).count();
                retries.extend(std::iter::repeat_n(now, taken));
            }
        }
    }
    (requests, retries)
}

// Guards against retries that were earned in a burst and are sent after it: of the requests of a
// window, of the one before it and of the one half a window before it, the most count.
#[test]
fn retries_after_a_burst_stay_within_the_fleets_budget() {
    let window = ALLOWANCE.window;
    let within = |times: &[Ms], from: Ms, to: Ms| {
        times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
    };
    for length in [1_000, 3_000, 6_000] {
        let burst = Burst { from: Ms(20_000), to: Ms(20_000 + length) };
        for failing in (20_000..38_000).step_by(1_000).map(Ms) {
            let (requests, retries) = play_burst(&burst, failing);
            for from in &retries {
                let sent = within(&retries, *from, *from + window);
                let starts = [*from, *from - window, *from - window.scale(1, 2)];
                let counted = starts.iter().map(|at| within(&requests, *at, *at + window));
                let allowed = ALLOWANCE.ratio * counted.max().unwrap() as f64 + ALLOWANCE.slack;
                assert!(sent as f64 <= allowed, "{sent} retries from {from:?}, allowed {allowed}");
            }
        }
    }
}
