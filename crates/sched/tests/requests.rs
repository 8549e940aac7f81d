//! Tests of the search for requests that end targets.

use base::{Ms, Suspect, TargetId};
use sched::suspects::{BrokenRequest, Ends, Observed};
use std::collections::HashMap;

/// A request that ends targets.
const BAD: u64 = 7;
/// A sound one.
const SOUND: u64 = 8;

/// Ends of targets.
#[derive(Default)]
struct Spell {
    ends: Ends,
}

impl Spell {
    /// A target ends with these requests, which were sent 60 ms before.
    fn end(&mut self, target: &str, at: u64, requests: &[u64]) {
        let target = TargetId::from(target);
        for key in requests {
            let (request, sent) = (Some(*key), Ms(at - 60));
            self.ends.record(&BrokenRequest {
                target: &target,
                request,
                parts: &[],
                begun: true,
                sent,
                at: Ms(at),
            });
        }
    }

    /// The requests that are found if sound answers to requests began at these times.
    fn found(&self, sound: &[(u64, u64)]) -> Vec<u64> {
        let told = |suspect: Suspect| {
            let of =
                |(key, at): &(u64, u64)| (suspect == Suspect::Request(*key)).then_some(Ms(*at));
            Observed { sound: sound.iter().find_map(of), ..Observed::default() }
        };
        let candidates = self.ends.candidates();
        let told: HashMap<Suspect, Observed> =
            candidates.iter().map(|c| (c.suspect, told(c.suspect))).collect();
        let found = self.ends.diagnose_requests(&told);
        found.into_iter().filter_map(|diagnosis| diagnosis.suspect.request()).collect()
    }
}

// Guards against targets that end one after the other, because one request ends each target that runs
// it. An end that several hosts tell of counts once.
#[test]
fn a_request_under_which_three_targets_ended_is_found() {
    let mut spell = Spell::default();
    for (target, at) in [("a@1", 1_000), ("b@1", 2_000), ("b@1", 2_010)] {
        spell.end(target, at, &[BAD]);
    }
    assert_eq!(spell.found(&[]), []);
    spell.end("c@1", 3_000, &[BAD]);
    assert_eq!(spell.found(&[]), [BAD]);
}

// Guards against a bad request that is forgotten between its repeats.
#[test]
fn ends_that_are_minutes_apart_count_together() {
    let mut spell = Spell::default();
    for n in 0..3 {
        spell.end(&format!("{n}@1"), 1_000 + 600_000 * n, &[BAD]);
    }
    assert_eq!(spell.found(&[]), [BAD]);
}

#[test]
fn incarnations_of_one_target_count_separately() {
    let mut spell = Spell::default();
    for (target, at) in [("a@1", 1_000), ("a@2", 1_200), ("a@3", 1_400)] {
        spell.end(target, at, &[BAD]);
    }
    assert_eq!(spell.found(&[]), [BAD]);
}

// Guards against ends that count as one because the store names the first start of a target only.
#[test]
fn ends_under_one_registration_count_separately() {
    let mut spell = Spell::default();
    for at in [1_000, 1_400, 1_800] {
        spell.end("a@1", at, &[BAD]);
    }
    assert_eq!(spell.found(&[]), [BAD]);
}

// Guards against refusing a sound request under which targets ended far apart, with sound answers in
// between.
#[test]
fn a_sound_answer_clears_the_ends_before_it() {
    let mut spell = Spell::default();
    for n in 0..6 {
        spell.end(&format!("{n}@1"), 1_000 + 1_000 * n, &[SOUND]);
    }
    assert_eq!(spell.found(&[(SOUND, 4_500)]), []);
    assert_eq!(spell.found(&[(SOUND, 2_500)]), [SOUND], "four ends since");
    assert_eq!(spell.found(&[(SOUND, 3_500)]), [], "three, and it had a sound answer");
}

// Guards against refusing the requests that were on the targets with the bad one now and then.
#[test]
fn the_request_that_was_at_all_ends_is_found() {
    let mut spell = Spell::default();
    spell.end("a@1", 1_000, &[BAD, SOUND, 20]);
    spell.end("b@1", 2_000, &[BAD, SOUND, 21]);
    spell.end("c@1", 3_000, &[BAD, 22]);
    spell.end("d@1", 4_000, &[BAD, SOUND]);
    assert_eq!(spell.found(&[]), [BAD]);
    spell.ends.quarantined(Suspect::Request(BAD));
    assert_eq!(spell.found(&[]), [], "its ends are explained");
}

// Guards against refusing a sound request that was at all ends too: that it was answered before tells
// it from the bad one, and otherwise nothing is decided by three ends.
#[test]
fn of_two_requests_at_all_ends_the_one_without_a_sound_answer_is_found() {
    let mut spell = Spell::default();
    for n in 0..4 {
        spell.end(&format!("{n}@1"), 1_000 + 1_000 * n, &[BAD, SOUND]);
    }
    assert_eq!(spell.found(&[(SOUND, 500)]), [BAD]);
    assert_eq!(spell.found(&[]), []);
    spell.end("4@1", 5_000, &[BAD, SOUND]);
    assert_eq!(spell.found(&[]), [BAD, SOUND]);
}

// Guards against refusing hundreds of requests because a dozen targets end together, three times.
#[test]
fn requests_on_targets_that_end_together_are_not_found() {
    let mut spell = Spell::default();
    for round in 0..3 {
        for target in 0..12 {
            let requests: Vec<u64> = (0..40).map(|n| 100 + 40 * target + n).collect();
            spell.end(&format!("{target}@{round}"), 1_000 + 20_000 * round + target, &requests);
        }
    }
    assert_eq!(spell.found(&[]), []);
}

// Guards against refusing all requests that share a first part with a bad request.
#[test]
fn a_part_of_a_request_that_ends_targets_is_not_found() {
    let mut ends = Ends::default();
    for n in 0..6 {
        let target = TargetId::from(format!("{n}@1"));
        for request in [Some(BAD), Some(100 + n)] {
            let (sent, at) = (Ms(940 + 1_000 * n), Ms(1_000 + 1_000 * n));
            ends.record(&BrokenRequest {
                target: &target,
                request,
                parts: &[1],
                begun: true,
                sent,
                at,
            });
        }
    }
    let told: HashMap<Suspect, Observed> =
        ends.candidates().iter().map(|c| (c.suspect, Observed::default())).collect();
    assert_eq!(ends.diagnose(&told, &[]), None);
    ends.quarantined(Suspect::Request(BAD));
    assert_eq!(ends.diagnose(&told, &[]), None);
}

// Guards against copies of one request that end all targets at one moment and count as an outage.
#[test]
fn copies_of_a_request_at_one_moment_are_found() {
    let mut spell = Spell::default();
    for n in 0..3 {
        spell.end(&format!("{n}@1"), 1_000 + n, &[BAD, 100 + n]);
    }
    assert_eq!(spell.found(&[]), [BAD]);
    spell.end("3@1", 1_004, &[105]);
    assert_eq!(spell.found(&[]), [], "another target ended as well");
}

// Guards against each repeat ending another target while the verdict is open.
#[test]
fn the_verdict_on_a_request_with_three_ends_is_open_for_a_second() {
    let mut spell = Spell::default();
    spell.end("a@1", 1_000, &[BAD]);
    spell.end("b@1", 2_000, &[BAD]);
    assert_eq!(spell.ends.open_until(Ms(2_010), BAD), None);
    spell.end("c@1", 3_000, &[BAD]);
    assert_eq!(spell.ends.open_until(Ms(3_010), BAD), Some(Ms(4_000)));
    assert_eq!(spell.ends.open_until(Ms(4_000), BAD), None);
    assert_eq!(spell.ends.next_request_look(Ms(3_300)), Some(Ms(3_400)));
}
