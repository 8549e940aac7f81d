//! Tests of the evidence by which one moment at which many engines end is told from an outage.

use base::{Ms, Suspect, TargetId};
use sched::suspects::{BrokenRequest, Ends, Observed};
use std::collections::HashMap;

/// A part that ends engines.
const BAD: u64 = 2;
/// When the engines end.
const MOMENT: u64 = 10_000;
/// When their ends can be judged.
const SETTLED: Ms = Ms(MOMENT + 3_100);
/// Sound answers with other parts that began after the moment.
const ENOUGH: u64 = 8;

/// An engine of this number ends with requests of these prompts.
fn end(ends: &mut Ends, number: u64, at: u64, prompts: &[&[u64]]) {
    let target = TargetId::from(format!("i-{number}@1"));
    for parts in prompts {
        let (target, sent, at) = (&target, Ms(at - 100), Ms(at));
        ends.record(&BrokenRequest { target, request: None, parts, begun: true, sent, at });
    }
}

/// Engines that end at one moment, each with a bad request and a sound one that share the first part.
fn burst(engines: u64) -> Ends {
    let mut ends = Ends::default();
    for n in 0..engines {
        end(&mut ends, n, MOMENT + n, &[&[10 + n, BAD, 100 + n], &[10 + n, 200 + n]]);
    }
    ends
}

/// What hosts tell of all candidates, some of which had sound answers.
fn told(ends: &Ends, sound: &[(u64, u64)], others: u64) -> HashMap<Suspect, Observed> {
    let sound = sound.iter().map(|(part, at)| (Suspect::Part(*part), Ms(*at)));
    let sound: HashMap<Suspect, Ms> = sound.collect();
    let observed =
        |suspect: Suspect| Observed { sound: sound.get(&suspect).copied(), others, going: false };
    ends.candidates().iter().map(|c| (c.suspect, observed(c.suspect))).collect()
}

fn found(ends: &Ends, sound: &[(u64, u64)], others: u64, now: Ms) -> Option<u64> {
    ends.diagnose_moment(&told(ends, sound, others), now)
        .and_then(|diagnosis| diagnosis.suspect.part())
}

// Guards against a part that takes eight engines down at once and counts as an outage.
#[test]
fn a_part_that_alone_explains_the_ends_of_a_moment_is_quarantined() {
    let ends = burst(8);
    assert_eq!(ends.diagnose(&told(&ends, &[], ENOUGH), &[]), None);
    assert_eq!(found(&ends, &[], ENOUGH, SETTLED), Some(BAD));
    assert_eq!(found(&burst(7), &[], ENOUGH, SETTLED), None);
}

// Guards against a diagnosis before sound answers could refute it, or while engines answer nothing.
#[test]
fn a_moment_is_judged_once_engines_have_answered_other_requests() {
    let ends = burst(8);
    assert_eq!(found(&ends, &[], ENOUGH, Ms(MOMENT + 2_900)), None);
    assert_eq!(found(&ends, &[], ENOUGH - 1, SETTLED), None);
}

// Guards against the refusal of a part that is answered again after an outage, or was before it.
#[test]
fn a_part_with_a_sound_answer_is_not_quarantined_by_one_moment() {
    assert_eq!(found(&burst(8), &[(BAD, MOMENT + 500)], 50, SETTLED), None);
    assert_eq!(found(&burst(8), &[(BAD, MOMENT - 5_000)], 50, SETTLED), None);
}

// Guards against an outage that also ends engines which had no request with a popular new part.
#[test]
fn an_outage_with_one_engine_without_a_part_does_not_quarantine_it() {
    let mut ends = burst(30);
    end(&mut ends, 30, MOMENT + 200, &[&[500]]);
    assert_eq!(found(&ends, &[], 50, SETTLED), None);
}

// Guards against an outage before any answer was sound: several parts are on all engines.
#[test]
fn a_part_with_a_rival_is_not_quarantined_by_one_moment() {
    let mut ends = Ends::default();
    for n in 0..30 {
        end(&mut ends, n, MOMENT + n, &[&[1, BAD], &[1, 7]]);
    }
    assert_eq!(found(&ends, &[], 50, SETTLED), None);
    assert_eq!(found(&ends, &[(1, 9_000), (7, 9_000)], 50, SETTLED), Some(BAD));
}

// Guards against the refusal of a new first part that all requests with the bad one share.
#[test]
fn a_first_part_is_not_quarantined_in_place_of_the_one_after_it() {
    let mut ends = Ends::default();
    for n in 0..8 {
        end(&mut ends, n, MOMENT + n, &[&[1, BAD, 100 + n], &[1, 200 + n]]);
    }
    assert_eq!(found(&ends, &[], 50, SETTLED), None);
    assert_eq!(found(&ends, &[(1, MOMENT + 500)], 50, SETTLED), Some(BAD));
}

// Guards against a bad part that is never found because another one always precedes it.
#[test]
fn of_two_parts_that_come_together_the_later_one_is_quarantined() {
    let mut ends = Ends::default();
    for n in 0..8 {
        end(&mut ends, n, MOMENT + n, &[&[1, BAD, 100 + n]]);
    }
    assert_eq!(found(&ends, &[], ENOUGH, SETTLED), Some(BAD));
}

// Guards against more requests that end engines while reports of the next end are gathered.
#[test]
fn the_next_end_confirms_a_moment() {
    let mut ends = burst(8);
    assert!(!ends.is_confirmed());
    end(&mut ends, 40, MOMENT + 4_000, &[&[300, 301]]);
    assert!(!ends.is_confirmed());
    end(&mut ends, 41, MOMENT + 4_100, &[&[302, BAD]]);
    assert!(ends.is_confirmed());
    let diagnosis = ends.diagnose(&told(&ends, &[], 0), &[]).unwrap();
    assert_eq!((diagnosis.suspect, diagnosis.episodes), (Suspect::Part(BAD), 2));
}

// Guards against a moment that is never judged because nothing else ends, and against one that is
// judged again and again.
#[test]
fn a_moment_is_judged_a_few_times() {
    let mut ends = burst(8);
    let last = MOMENT + 7;
    assert_eq!(ends.next_look(Ms(MOMENT + 300)), Some(Ms(last + 3_000)));
    assert_eq!(ends.next_look(Ms(last + 3_000)), Some(Ms(last + 6_000)));
    assert_eq!(ends.next_look(Ms(last + 12_000)), None);
    ends.quarantined(Suspect::Part(BAD));
    assert_eq!(ends.next_look(Ms(MOMENT + 300)), None);
    assert_eq!(burst(7).next_look(Ms(MOMENT + 300)), None);
}
