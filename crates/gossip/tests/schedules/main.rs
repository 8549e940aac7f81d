//! Random schedules of faults over the real reducers of six hosts in virtual time, checked by an
//! oracle.
//!
//! Seeds are fixed, so every run plays the same schedules. When a schedule fails, proptest shrinks
//! it and prints it as a list of steps, which then goes into `found.rs`.

mod found;
mod op;
mod oracle;

use gossip::Safeguard;
use op::steps;
use oracle::play;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

/// Number of schedules per seed.
const SCHEDULES: u32 = 300;

fn runner(seed: u8, cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 300, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

fn explore(seed: u8) {
    let played = runner(seed, SCHEDULES)
        .run(&steps(), |steps| play(&steps, None).map_err(TestCaseError::fail));
    if let Err(found) = played {
        panic!("seed {seed}: {found}");
    }
}

#[test]
fn schedules_of_seed_1() {
    explore(1);
}

#[test]
fn schedules_of_seed_2() {
    explore(2);
}

#[test]
fn schedules_of_seed_3() {
    explore(3);
}

#[test]
fn schedules_of_seed_4() {
    explore(4);
}

/// The number of schedules until the oracle finds a violation with a safeguard disabled, and that
/// violation.
fn schedules_until_failure(disabled: Safeguard) -> Option<(u32, String)> {
    let mut runner = runner(1, 1);
    (1..=400).find_map(|n| {
        let steps = steps().new_tree(&mut runner).unwrap().current();
        play(&steps, Some(disabled)).err().map(|why| (n, why))
    })
}

macro_rules! each_is_needed {
    ($($name:ident: $safeguard:ident,)*) => {$(
        #[test]
        fn $name() {
            let found = schedules_until_failure(Safeguard::$safeguard);
            println!("{:?}: {found:?}", Safeguard::$safeguard);
            assert!(found.is_some(), "no schedule fails without it");
        }
    )*};
}

each_is_needed! {
    without_the_generation_floor_a_host_goes_back: GenerationFloor,
    without_relists_a_deaf_watch_is_not_noticed: Relist,
    without_the_watch_bound_a_silent_call_keeps_its_place: WatchBound,
    without_refutation_a_paused_host_stays_dead: Refutation,
    without_rejoining_a_cut_lasts: Rejoin,
    without_the_order_of_words_a_target_flips: LeavingOrder,
    without_the_push_hosts_that_dont_watch_stay_behind: Push,
}
