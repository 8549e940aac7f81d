//! Several operators apply changes concurrently, in virtual time, while the platform fails call by
//! call.
//!
//! The checks: every accepted write is one generation above the previous one, and its audit trail
//! is the previous trail with one more record. A change reported as accepted is recorded exactly
//! once, under the reported generation; a change reported as not made is never recorded; a change
//! with an unknown outcome is recorded at most once.

use crate::support::{Fault, MemoryPlatform, run, yaml};
use base::{ChangeId, Generation, Ms, Version};
use ctl::{ChangeNote, CtlError, PAGE_RECORDS, WriteOptions, apply_within, history};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use std::cell::Cell;
use std::collections::HashMap;
use store::Api;
use wire::{Audit, FleetObject};

/// Retries for a short time only, so that some outcomes stay unknown. The id is derived from the
/// change's number, so that a schedule is reproducible.
fn write_options(number: u32) -> WriteOptions {
    let change = ChangeId::from_u128(
        u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835),
    );
    WriteOptions { change, retry_for: Ms(300), retry_pause: Ms(50) }
}

/// The faults and the operators' timing of one run.
#[derive(Clone, Debug)]
struct Schedule {
    /// Records in the audit trail before the start.
    initial_records: u64,
    /// For each operator, the pauses before each of its changes, ms.
    operators: Vec<Vec<u64>>,
    /// Fault and duration of each call, ms.
    faults: Vec<(Fault, u64)>,
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let fault = |good: u32, down: u32| {
        prop_oneof![
            good => Just(Fault::None),
            down => Just(Fault::Down),
            1 => Just(Fault::LoseAnswer),
            1 => Just(Fault::LoseRequest),
            2 => (1u64..400).prop_map(Fault::Delayed),
            1 => Just(Fault::Stale),
        ]
    };
    let initial_records = prop_oneof![Just(0), 0u64..3 * PAGE_RECORDS as u64, 60u64..70];
    let operators = prop::collection::vec(prop::collection::vec(0u64..100, 1..5), 2..4);
    let mild = prop::collection::vec((fault(6, 1), 0u64..60), 0..80);
    // Outages long enough for outcomes to stay unknown.
    let harsh = prop::collection::vec((fault(3, 12), 0u64..60), 0..80);
    let faults = prop_oneof![mild, harsh];
    (initial_records, operators, faults).prop_map(|(initial_records, operators, faults)| Schedule {
        initial_records,
        operators,
        faults,
    })
}

/// The outcome of a change as reported to the operator.
#[derive(Debug)]
enum Reported {
    Accepted(Generation),
    Unchanged,
    OutcomeUnknown,
}

async fn operator(
    memory: MemoryPlatform,
    name: usize,
    pauses: Vec<u64>,
) -> Vec<(String, Reported)> {
    let mut reported = Vec::new();
    for (i, pause) in pauses.into_iter().enumerate() {
        tokio::time::sleep(Ms(pause).duration()).await;
        let why = format!("change {i} of operator {name}");
        let note = ChangeNote { who: "operator", why: &why, at: Ms(1) };
        let number = 1 + (name * 10 + i) as u32;
        let text = yaml(number);
        let what = match apply_within(&memory, &text, None, &note, write_options(number)).await {
            Ok(applied) => Reported::Accepted(applied.generation),
            Err(CtlError::OutcomeUnknown { .. }) => Reported::OutcomeUnknown,
            Err(_) => Reported::Unchanged,
        };
        reported.push((why, what));
    }
    reported
}

/// Writes an audit trail of `n` changes as `apply` leaves it: the newest records in the
/// configuration object and the older ones on pages.
async fn fill_trail(memory: &MemoryPlatform, n: u64) {
    let record =
        |to: u64| Audit { from: to - 1, to, why: format!("filled {to}"), ..Audit::default() };
    let page = PAGE_RECORDS as u64;
    let pages = n.saturating_sub(page + 1) / page;
    for p in 0..pages {
        let audit = (p * page + 1..=(p + 1) * page).map(record).collect();
        let body = serde_json::to_string(&wire::AuditPage { audit }).expect("JSON");
        memory.put("audit", &ctl::page_name(p), Version(0), &body).await.expect("it is kept");
    }
    let object = FleetObject {
        generation: n,
        config: yaml(1),
        audit: (pages * page + 1..=n).map(record).collect(),
        ..FleetObject::default()
    };
    if n > 0 {
        let body = serde_json::to_string(&object).expect("JSON");
        memory.put("fleet", "fleet", Version(0), &body).await.expect("it is kept");
    }
}

/// Runs a schedule and returns the number of changes reported as accepted, not made and unknown.
async fn run_schedule(memory: MemoryPlatform, schedule: Schedule) -> Result<[usize; 3], String> {
    fill_trail(&memory, schedule.initial_records).await;
    memory.set_faults(schedule.faults);
    let tasks: Vec<_> = schedule
        .operators
        .into_iter()
        .enumerate()
        .map(|(name, pauses)| tokio::spawn(operator(memory.clone(), name, pauses)))
        .collect();
    let mut reported = Vec::new();
    for task in tasks {
        reported.extend(task.await.map_err(|err| err.to_string())?);
    }
    // Lets delayed writes arrive.
    memory.set_faults([]);
    tokio::time::sleep(Ms::secs(10).duration()).await;
    check_outcomes(&memory, &reported).await?;
    let count = |kind: fn(&Reported) -> bool| {
        reported.iter().filter(|(_, reported)| kind(reported)).count()
    };
    Ok([
        count(|t| matches!(t, Reported::Accepted(_))),
        count(|t| matches!(t, Reported::Unchanged)),
        count(|t| matches!(t, Reported::OutcomeUnknown)),
    ])
}

async fn check_outcomes(
    memory: &MemoryPlatform,
    reported: &[(String, Reported)],
) -> Result<(), String> {
    let accepted = memory.accepted();
    for pair in accepted.windows(2) {
        if pair[1].generation != pair[0].generation + 1 {
            return Err(format!("{} after {}", pair[1].generation, pair[0].generation));
        }
    }
    let Some(last) = accepted.last() else { return Ok(()) };
    let mut trail =
        history(memory, last, usize::MAX).await.map_err(|err| format!("the trail: {err}"))?;
    trail.reverse();
    let numbers: Vec<_> = trail.iter().map(|a| (a.from, a.to)).collect();
    let expected: Vec<_> = (1..=last.generation).map(|to| (to - 1, to)).collect();
    if numbers != expected {
        return Err(format!("generations in the trail: {numbers:?}"));
    }
    if last.audit.len() >= 3 * PAGE_RECORDS {
        return Err(format!("{} records beside the configuration", last.audit.len()));
    }
    let mut at = HashMap::<&str, Vec<u64>>::new();
    for record in &trail {
        at.entry(&record.why).or_default().push(record.to);
    }
    for (why, reported) in reported {
        let found = at.get(why.as_str()).map_or(&[][..], Vec::as_slice);
        match (reported, found) {
            (Reported::Accepted(g), [to]) if g.0 == *to => {}
            (Reported::Unchanged, []) | (Reported::OutcomeUnknown, [] | [_]) => {}
            (outcome, found) => return Err(format!("{why}: {outcome:?}, found at {found:?}")),
        }
    }
    Ok(())
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })
}

#[test]
fn each_accepted_change_stands_once_and_none_is_lost() {
    let counts = Cell::new([0; 3]);
    let result = runner(2000).run(&schedule(), |schedule| {
        let reported =
            run(run_schedule(MemoryPlatform::default(), schedule)).map_err(TestCaseError::fail)?;
        let before = counts.get();
        counts.set(std::array::from_fn(|i| before[i] + reported[i]));
        Ok(())
    });
    result.unwrap_or_else(|err| panic!("{err}"));
    println!("accepted, unchanged and unknown: {:?}", counts.get());
    assert!(counts.get().iter().all(|n| *n >= 50), "each outcome must occur: {counts:?}");
}

/// A schedule found by the fuzz test. The first attempt's write was delayed and its outcome unknown.
/// The next attempt conflicted with that write, but a stale read hid it, and the operator was told
/// that another change had been accepted first although their own was in force.
#[test]
fn a_stale_read_after_a_conflict_with_the_own_write_is_no_loss() {
    use Fault::{Delayed, Down, LoseAnswer, LoseRequest, None, Stale};
    let faults = [
        (Down, 0),
        (None, 0),
        (LoseAnswer, 0),
        (None, 9),
        (None, 0),
        (LoseRequest, 0),
        (None, 29),
        (Down, 0),
        (Delayed(33), 0),
        (None, 0),
        (Down, 0),
        (None, 0),
        (Stale, 0),
        (Stale, 0),
    ];
    let operators = vec![vec![91, 55], vec![91, 75]];
    let schedule = Schedule { initial_records: 0, operators, faults: faults.to_vec() };
    run(run_schedule(MemoryPlatform::default(), schedule)).unwrap_or_else(|err| panic!("{err}"));
}

/// The same schedules with a platform that ignores the conditions of writes. A delayed write
/// overwrites a newer one, and the checks must detect it.
#[test]
fn without_the_condition_the_proof_fails() {
    let result = runner(2000).run(&schedule(), |schedule| {
        run(run_schedule(MemoryPlatform::unconditional(), schedule))
            .map(drop)
            .map_err(TestCaseError::fail)
    });
    assert!(matches!(result, Err(TestError::Fail(..))), "nothing was found");
}
