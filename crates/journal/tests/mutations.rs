//! Removes each safeguard in turn, and checks that the simulation then finds the failure which it
//! prevents.

mod sim;

use sim::mutation::Mutation;
use sim::oracle::Violation;
use sim::schedule::{Schedule, with_old_keys};
use sim::{run, schedule_for_seed};

/// Schedules that are tried before a mutation counts as not found.
const MAX_SCHEDULES: u64 = 20_000;

/// Finds a schedule in which the mutation leads to a violation of the given kind.
fn find(mutation: Mutation, kind: impl Fn(&Violation) -> bool) {
    find_in(mutation, schedule_for_seed, kind);
}

fn find_in(
    mutation: Mutation,
    schedule_for: fn(u64) -> Schedule,
    kind: impl Fn(&Violation) -> bool,
) {
    let mut seeds = 0..MAX_SCHEDULES;
    let found =
        seeds.find(|seed| run(&schedule_for(*seed), Some(mutation)).is_err_and(|v| kind(&v)));
    let seed =
        found.unwrap_or_else(|| panic!("{mutation:?} wasn't found in {MAX_SCHEDULES} schedules"));
    println!("{mutation:?}: seed {seed}");
}

fn ran_twice(violation: &Violation) -> bool {
    matches!(violation, Violation::RanTwice { .. })
}

fn stuck(violation: &Violation) -> bool {
    matches!(violation, Violation::Stuck { .. })
}

#[test]
fn a_write_without_its_condition_runs_keys_twice() {
    // Two hosts read the shard at the same version, and each records the key as its own. Without
    // the condition both writes take effect, both attempts are granted, and the key runs twice.
    find(Mutation::Unconditional, ran_twice);
}

#[test]
fn sending_before_the_record_runs_keys_twice() {
    // The caller sends its key to two hosts. Each sends the work to a target and only then claims
    // the key; the host whose claim fails can't take the work back.
    find(Mutation::SendBeforeRecord, ran_twice);
}

#[test]
fn running_without_a_record_runs_keys_twice() {
    // The platform is down, so the claim can't be recorded. The host runs the work nevertheless;
    // the re-send finds no record and runs it again.
    find(Mutation::RunWithoutRecord, ran_twice);
}

#[test]
fn taking_over_a_started_key_runs_it_twice() {
    // The holder of the key is paused after the grant and before it sends the first byte. Another
    // host takes the holder of the started record for dead and runs the key. Then the holder
    // resumes and sends.
    find(Mutation::TakeOverStarted, ran_twice);
}

#[test]
fn forgetting_which_keys_were_dropped_runs_keys_twice() {
    // The record of an old key was dropped. A host whose clock lags takes the key for one within
    // the window, finds no record, and runs it again.
    find_in(Mutation::ForgetDropped, |seed| with_old_keys(schedule_for_seed(seed)), ran_twice);
}

#[test]
fn a_writer_that_releases_for_another_host_runs_keys_twice() {
    // The preferred writer can't tell whether its write took effect, reports that, and releases the
    // claim. Meanwhile the entry host found its own record in the shard and runs the key. The next
    // attempt finds the key free.
    find(Mutation::WriterReleases, ran_twice);
}

#[test]
fn releasing_what_was_sent_runs_keys_twice() {
    // The target died after the first byte. The key is released as if nothing had been sent, and
    // the re-send runs it again.
    find(Mutation::ReleaseSent, ran_twice);
}

#[test]
fn taking_an_unknown_outcome_for_a_failure_leaves_keys_stuck() {
    // The response to the write was lost, and the caller is told that its request didn't run, which
    // is true. But the record was written and nobody releases it, so the key can never run.
    find(Mutation::UnknownIsFailure, stuck);
}

#[test]
fn an_abandoned_claim_without_a_record_leaves_keys_stuck() {
    // A claim is delayed on its way to the preferred writer. Its host gives up, and the caller is
    // told that nothing ran. Then the claim is recorded, although nobody will run it.
    find(Mutation::NoAbandonRecord, stuck);
}

#[test]
fn hosts_that_look_in_different_shards_run_keys_twice() {
    // During a rollout half of the hosts have another number of shards. A re-send reaches a host of
    // the other half, which looks for the key in another object, finds it free, and runs it again.
    find_in(
        Mutation::LayoutUnchecked,
        |seed| Schedule { mixed_settings: true, ..schedule_for_seed(seed) },
        ran_twice,
    );
}

#[test]
fn an_outcome_that_is_not_recorded_is_forgotten() {
    // The caller got its answer. Its re-send is told `unknown`, since the outcome was never
    // recorded.
    find(Mutation::NoFinish, |v| {
        matches!(v, Violation::AnswerLost { .. } | Violation::Stuck { .. })
    });
}
