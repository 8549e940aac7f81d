//! How many requests cold targets get from a fleet without coordination.

use base::{DomainId, HostId, Ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sched::roster::Roster;
use sched::warmup::{ColdLimit, WarmupState, share};

const TARGET: &str = "engine-7";
/// The limit of the larger deployments, at their rate of 9.3 a second: half as much again, plus
/// five.
const LIMIT: ColdLimit = ColdLimit { factor: 1.5, slack: 5.0 };
const RATE: f64 = 9.3;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|i| HostId::from(format!("edge-{i}"))).collect()
}

/// Returns the largest number of requests that reach one cold target in any second, and the total
/// within `time`. Each host of its failure domain would send one every `every` ms on average; the
/// hosts of each of `groups` know of each other.
fn play(groups: &[Vec<HostId>], every: u64, seed: u64, time: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let limit = LIMIT.of(RATE);
    let mut sent = Vec::new();
    for group in groups {
        for host in group {
            let share = share(limit, TARGET, host, group);
            let mut state = WarmupState::default();
            state.cold_until(Ms(time));
            let mut now = rng.random_range(0..every.max(1));
            while now < time {
                if state.admits(Ms(now), share) {
                    state.sent(Ms(now));
                    sent.push(now);
                }
                now += rng.random_range(1..=2 * every.max(1));
            }
        }
    }
    sent.sort_unstable();
    let within = |at: &u64| sent.iter().filter(|s| (*at..at + 1_000).contains(*s)).count();
    (sent.iter().map(within).max().unwrap_or(0), sent.len())
}

/// Guards against a domain that comes back cold during a burst and crashes again.
#[test]
fn a_burst_on_a_cold_target_stays_within_its_limit_at_any_size() {
    for count in [1, 2, 3, 13, 50, 167] {
        for seed in 0..4 {
            let (worst, all) = play(&[hosts(count)], 20, seed, 3_000);
            assert!(worst as f64 <= LIMIT.of(RATE) / 2.0, "{count} hosts: {worst} in a second");
            let least = match count {
                // Where up to three hosts share nine requests a second, whole requests may be left
                // over.
                1..=3 => 20,
                _ => 18,
            };
            assert!(all >= least, "{count} hosts: {all} in three seconds warm it");
        }
    }
}

/// Guards against both sides of a partition using the whole limit.
#[test]
fn two_partitions_together_stay_within_the_limit() {
    for count in [2, 6, 13, 50, 167] {
        for seed in 0..4 {
            let all = hosts(count);
            let (left, right) = all.split_at(count / 2);
            let (worst, _) = play(&[left.to_vec(), right.to_vec()], 20, seed, 3_000);
            assert!(worst as f64 <= LIMIT.of(RATE), "{count} hosts: {worst} in a second");
        }
    }
}

/// Guards against a partition into more than two groups: a host that was seen still counts for
/// minutes after it is lost.
#[test]
fn hosts_that_are_each_cut_off_keep_to_their_share() {
    let all = hosts(13);
    let domain = DomainId::from("d");
    let limit = LIMIT.of(RATE);
    let total: u32 = all
        .iter()
        .map(|me| {
            let mut roster = Roster::new(Ms(0), true);
            roster.see(Ms(0), all.iter().map(|h| (h, &domain)));
            // Each host is alone from here on.
            roster.see(Ms(60_000), std::iter::once((me, &domain)));
            share(limit, TARGET, me, roster.of(Ms(60_000), &domain).unwrap())
        })
        .sum();
    assert!(f64::from(total) <= limit, "{total} a second");
}

/// Guards against a host that has just started, knows no other and takes the whole limit.
#[test]
fn a_new_host_waits_until_it_knows_the_others() {
    let domain = DomainId::from("d");
    let me = HostId::from("edge-0");
    let mut roster = Roster::new(Ms(0), true);
    roster.see(Ms(100), std::iter::once((&me, &domain)));
    assert!(roster.of(Ms(100), &domain).is_none());
    assert!(roster.of(Ms(60_000), &domain).is_none(), "it has not heard of any other");
    let other = HostId::from("edge-1");
    roster.see(Ms(60_100), std::iter::once((&other, &domain)));
    assert_eq!(roster.of(Ms(60_100), &domain).unwrap().len(), 2);
}

#[test]
fn a_host_of_another_failure_domain_sends_a_cold_target_nothing() {
    assert_eq!(share(18.0, TARGET, &"stranger".into(), &hosts(3)), 0);
}

/// Guards against ignoring the requests that were sent just before a target turned cold.
#[test]
fn requests_sent_before_a_target_turned_cold_count() {
    let mut state = WarmupState::default();
    (0..4).for_each(|i| state.sent(Ms(1_000 + i)));
    assert!(state.admits(Ms(1_010), 4), "warm targets take any number");
    state.cold_until(Ms(5_000));
    assert!(!state.admits(Ms(1_010), 4));
    assert!(state.admits(Ms(2_200), 4));
}
