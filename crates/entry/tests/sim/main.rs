//! Simulates entry hosts in virtual time: the real core, policy and journal run against in-memory
//! targets and an in-memory platform that fail according to a schedule. Several faults may overlap
//! at any time.
//!
//! `SIM_SEED=S SIM_COUNT=N cargo test --release -p entry --test sim -- long_run` plays N schedules
//! from seed S on. Without the variables that test plays 20 schedules.

mod faults;
mod mutation;
mod oracle;
mod schedule;
mod simulation;
mod targets;

use mutation::Mutation;
use oracle::{CallerRecord, End, Violation};
use schedule::{Schedule, schedule_of};
use simulation::HostMode;

/// Number of schedules that every test run plays.
const SCHEDULES: u64 = 2_000;
/// Number of schedules whose answers are compared with those of the naive host.
const NAIVE_SCHEDULES: u64 = 300;
/// Number of schedules within which a violation must be found when a safeguard is missing.
const MUTATION_SCHEDULES: u64 = 400;

fn play(schedule: &Schedule, mode: HostMode) -> Result<Vec<CallerRecord>, Violation> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(simulation::play(schedule, mode))
}

/// Counts of what callers were told, so that a run in which nothing happens doesn't pass.
#[derive(Debug, Default)]
struct Totals {
    whole: usize,
    refused: usize,
    gone: usize,
}

fn check(seeds: impl Iterator<Item = u64>) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let schedule = schedule_of(seed);
        let records = match play(&schedule, HostMode::Real) {
            Ok(records) => records,
            Err(violation) => panic!("seed {seed}: {violation}\n{schedule:#?}"),
        };
        for record in records {
            match record.end {
                End::Whole(_) => totals.whole += 1,
                End::Refused { .. } => totals.refused += 1,
                End::Gone | End::Never => totals.gone += 1,
            }
        }
    }
    totals
}

#[test]
fn two_thousand_schedules_without_a_violation() {
    // Schedules are independent of each other, so four threads share them to save time.
    std::thread::scope(|scope| {
        for part in 0..4 {
            let seeds = (part * SCHEDULES / 4)..((part + 1) * SCHEDULES / 4);
            scope.spawn(move || {
                let totals = check(seeds);
                assert!(totals.whole > 1_000 && totals.refused > 100, "{totals:?}");
            });
        }
    });
}

#[test]
fn long_run() {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let (seed, count) = (number("SIM_SEED"), number("SIM_COUNT"));
    let first = seed.unwrap_or(1_000_000);
    let totals = check(first..first + count.unwrap_or(20));
    println!("{totals:?}");
    assert!(totals.whole > 0 && totals.refused > 0);
}

#[test]
fn whole_answers_match_a_single_host_without_faults() {
    // Plays the same callers at the same times with real hosts under faults and with a single naive
    // host without faults. A caller that gets a whole answer from the real hosts must get the same
    // one from the naive host. The other callers got a refusal or disconnected.
    for seed in 0..NAIVE_SCHEDULES {
        let schedule = schedule_of(seed);
        let real = play(&schedule, HostMode::Real).expect("no violation");
        let naive = play(&schedule, HostMode::Naive).expect("no violation");
        for record in real.iter().filter(|t| matches!(t.end, End::Whole(_))) {
            let reference = naive
                .iter()
                .find(|t| t.step_index == record.step_index)
                .expect("the naive host got the same request");
            // If a key is sent twice at the same time, one of the two may be refused because the
            // other is running.
            let refused = matches!(reference.end, End::Refused { .. }) && reference.resent;
            assert!(
                refused || reference.end == record.end,
                "seed {seed}: {record:?} differs from {reference:?}"
            );
        }
    }
}

#[test]
fn the_proof_fails_without_each_safeguard() {
    for mutation in Mutation::ALL {
        let found = (0..MUTATION_SCHEDULES)
            .find_map(|seed| play(&schedule_of(seed), HostMode::Without(mutation)).err());
        let violation = found.unwrap_or_else(|| panic!("{mutation:?}: no violation found"));
        assert!(
            mutation.detects(&violation),
            "{mutation:?} caused an unexpected violation: {violation}"
        );
    }
}
