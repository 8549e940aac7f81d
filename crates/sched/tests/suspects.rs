//! Tests of the search for parts of prompts that end engines.

use base::{Ms, Suspect, TargetId};
use sched::sound::SoundParts;
use sched::suspects::{BrokenRequest, COLLECTORS, Diagnosis, Ends, Observed, collectors};
use std::collections::HashMap;

/// A first part that all prompts share.
const FIRST: u64 = 1;
/// A part that ends engines.
const BAD: u64 = 2;
/// Another one.
const ALSO_BAD: u64 = 3;

/// Ends of engines, each of another incarnation.
#[derive(Default)]
struct Spell {
    ends: Ends,
    count: usize,
}

impl Spell {
    /// An engine ends with requests of these prompts.
    fn end(&mut self, at: u64, prompts: &[&[u64]]) {
        let target = TargetId::from(format!("i-{}@1", self.count));
        self.count += 1;
        for parts in prompts {
            let sent = Ms(at - 100);
            let (target, at) = (&target, Ms(at));
            self.ends.record(&BrokenRequest {
                target,
                request: None,
                parts,
                begun: true,
                sent,
                at,
            });
        }
    }

    /// The diagnosis if sound answers began at these times, and `others` more.
    fn diagnose(&self, sound: &[(u64, u64)], others: u64) -> Option<Diagnosis> {
        let sound = sound.iter().map(|(part, at)| (Suspect::Part(*part), Ms(*at)));
        let sound: HashMap<Suspect, Ms> = sound.collect();
        let told = |suspect: Suspect| Observed {
            sound: sound.get(&suspect).copied(),
            others,
            going: false,
        };
        let candidates = self.ends.candidates();
        self.ends.diagnose(&candidates.iter().map(|c| (c.suspect, told(c.suspect))).collect(), &[])
    }

    fn part(&self, sound: &[(u64, u64)], others: u64) -> Option<u64> {
        self.diagnose(sound, others).and_then(|diagnosis| diagnosis.suspect.part())
    }
}

/// Engines that end one after the other, a second apart, with a bad request and a sound one.
fn spell(ends: u64) -> Spell {
    let mut spell = Spell::default();
    for n in 0..ends {
        spell.end(10_000 + 1_000 * n, &[&[FIRST, BAD], &[FIRST, 100 + n]]);
    }
    spell
}

// Guards against requests with one part, no two alike, that nothing counts together.
#[test]
fn a_part_with_which_four_engines_end_is_quarantined() {
    assert_eq!(spell(3).diagnose(&[], 0), None);
    let diagnosis = spell(4).diagnose(&[], 0).unwrap();
    let found = (diagnosis.suspect, diagnosis.targets.len(), diagnosis.episodes);
    assert_eq!(found, (Suspect::Part(BAD), 4, 4));
}

// Guards against the refusal of all requests that share a first part with the bad ones.
#[test]
fn a_part_with_sound_answers_in_between_is_not_quarantined() {
    let mut spell = Spell::default();
    for n in 0..20 {
        spell.end(10_000 + 1_000 * n, &[&[FIRST, 100 + n]]);
    }
    assert_eq!(spell.part(&[(FIRST, 27_500)], 50), None);
}

// Guards against the same while engines end too fast for a sound answer: that the first part had
// sound answers before tells it from the bad one.
#[test]
fn a_part_that_never_had_a_sound_answer_comes_first() {
    assert_eq!(spell(8).part(&[(FIRST, 9_000)], 0), Some(BAD));
}

// Guards against a diagnosis by an outage: all engines end at one moment, with all parts.
#[test]
fn engines_that_end_at_one_moment_quarantine_no_part() {
    let mut spell = Spell::default();
    for n in 0..40 {
        spell.end(10_000 + n, &[&[FIRST, BAD], &[FIRST, 7]]);
    }
    assert_eq!(spell.part(&[], 0), None);
}

// Guards against the refusal of everything while no engine works: a first part with sound answers in
// the past is on all of them.
#[test]
fn engines_that_all_end_again_and_again_quarantine_no_known_part() {
    let mut spell = Spell::default();
    for n in 0..40 {
        spell.end(10_000 + 400 * n, &[&[FIRST, 100 + n]]);
    }
    assert_eq!(spell.part(&[(FIRST, 9_000)], 0), None);
}

// Guards against a part that engines answered until a new version of their software came.
#[test]
fn a_part_that_had_sound_answers_is_quarantined_by_more_ends() {
    let known = [(FIRST, 14_500), (BAD, 9_000)];
    assert_eq!(spell(7).part(&known, 10), None);
    assert_eq!(spell(8).part(&known, 10), Some(BAD));
    assert_eq!(spell(8).part(&known, 0), None);
}

// Guards against two bad parts that together look like the first part, which both follow.
#[test]
fn two_bad_parts_are_found_one_after_the_other() {
    let mut spell = Spell::default();
    for n in 0..5 {
        spell.end(10_000 + 1_000 * n, &[&[FIRST, BAD]]);
        spell.end(10_500 + 1_000 * n, &[&[FIRST, ALSO_BAD]]);
    }
    let first = spell.part(&[], 0).unwrap();
    spell.ends.quarantined(Suspect::Part(first));
    let second = spell.part(&[], 0).unwrap();
    spell.ends.quarantined(Suspect::Part(second));
    assert_eq!([first.min(second), first.max(second)], [BAD, ALSO_BAD]);
    assert_eq!(spell.part(&[], 0), None);
}

// Guards against diagnoses on parts whose requests were on the engines that a bad one has ended.
#[test]
fn ends_that_a_quarantined_part_explains_count_against_no_other() {
    let mut spell = Spell::default();
    for n in 0..6 {
        spell.end(10_000 + 1_000 * n, &[&[FIRST, BAD], &[FIRST, 7]]);
    }
    spell.end(17_000, &[&[FIRST, BAD]]);
    assert_eq!(spell.part(&[], 0), Some(BAD));
    spell.ends.quarantined(Suspect::Part(BAD));
    assert_eq!(spell.part(&[], 0), None);
    spell.end(18_000, &[&[FIRST, BAD], &[FIRST, 7]]);
    assert_eq!(spell.part(&[], 0), None);
}

// Guards against a part that needs as many ends again where requests have it as their first one:
// a second part that many of them share was taken for the cause.
#[test]
fn a_first_part_is_quarantined_by_the_next_end() {
    let mut spell = Spell::default();
    for n in 0..4 {
        spell.end(10_000 + 1_000 * n, &[&[BAD, 7]]);
    }
    assert_eq!(spell.part(&[], 0), Some(7));
    spell.ends.quarantined(Suspect::Part(7));
    spell.end(15_000, &[&[BAD, 8]]);
    assert_eq!(spell.part(&[], 0), Some(BAD));
}

// Guards against ends that are counted once because the engine's new registration is not known yet.
#[test]
fn a_request_that_was_sent_after_an_end_breaks_at_another_one() {
    let mut ends = Ends::default();
    let target = TargetId::from("i-0@1");
    for n in 0..4 {
        let (sent, at) = (Ms(10_000 + 1_000 * n), Ms(10_500 + 1_000 * n));
        ends.record(&BrokenRequest {
            target: &target,
            request: None,
            parts: &[BAD],
            begun: true,
            sent,
            at,
        });
        // One more of the same end.
        ends.record(&BrokenRequest {
            target: &target,
            request: None,
            parts: &[7],
            begun: true,
            sent,
            at: at + Ms(30),
        });
    }
    let told = ends.candidates().iter().map(|c| (c.suspect, Observed::default())).collect();
    assert_eq!(ends.diagnose(&told, &[]).unwrap().targets.len(), 4);
}

// Guards against evidence that is asked about again at each end, though sound answers have refuted it.
#[test]
fn a_part_that_was_dismissed_needs_new_ends() {
    let mut spell = spell(5);
    assert!(spell.ends.candidates().iter().any(|c| c.suspect == Suspect::Part(FIRST)));
    spell.ends.cleared(Suspect::Part(FIRST), Ms(14_500));
    assert!(spell.ends.candidates().iter().all(|c| c.suspect != Suspect::Part(FIRST)));
}

#[test]
fn a_lifted_part_needs_as_many_ends_as_before() {
    let mut spell = spell(5);
    spell.ends.quarantined(Suspect::Part(BAD));
    spell.ends.lifted(Suspect::Part(BAD));
    spell.end(20_000, &[&[FIRST, BAD]]);
    assert_eq!(spell.part(&[], 0), None);
}

#[test]
fn all_hosts_choose_the_same_collectors() {
    let hosts: Vec<String> = (0..50).map(|n| format!("edge-{n}")).collect();
    let chosen = collectors(&hosts, |h| h.as_str());
    assert_eq!(chosen.len(), COLLECTORS);
    assert_eq!(chosen, collectors(hosts.iter().rev(), |h| h.as_str()));
}

#[test]
fn sound_answers_are_remembered_by_part_and_the_oldest_forgotten() {
    let mut sound = SoundParts::default();
    for n in 0..40_000 {
        sound.record(Ms(n), [n].into_iter());
    }
    assert_eq!(sound.last(39_999), Some(Ms(39_999)));
    assert_eq!(sound.last(0), None);
    assert_eq!(sound.since(Ms(39_989)), 10);
}

// Guards against a part that is found only when engines have come back twice: all of them end within
// a moment where its requests come fast.
#[test]
fn many_ends_at_two_moments_quarantine_a_part() {
    let mut spell = Spell::default();
    for n in 0..3 {
        spell.end(10_000 + n, &[&[FIRST, BAD]]);
    }
    for n in 0..2 {
        spell.end(14_000 + n, &[&[FIRST, BAD]]);
    }
    assert_eq!(spell.part(&[(FIRST, 9_000)], 0), None);
    spell.end(14_010, &[&[FIRST, BAD]]);
    assert_eq!(spell.part(&[(FIRST, 9_000)], 0), Some(BAD));
}

// Guards against the refusal of a whole kind of requests on a day of overload: some of its engines end
// for other reasons, with requests of all kinds, and its long answers rarely begin meanwhile.
#[test]
fn a_known_part_on_some_of_the_engines_that_end_is_not_quarantined() {
    let mut spell = Spell::default();
    for n in 0..12 {
        let first = if n % 2 == 0 { FIRST } else { 50 };
        spell.end(10_000 + 1_000 * n, &[&[first, 100 + n]]);
    }
    assert_eq!(spell.part(&[(FIRST, 9_000), (50, 9_000)], 50), None);
}

// Guards against an outage that hosts notice one after the other, before any answer was sound.
#[test]
fn an_outage_that_is_noticed_late_quarantines_no_part() {
    let mut ends = Ends::default();
    for n in 0..22 {
        let target = TargetId::from(format!("i-{n}@1"));
        let (sent, at) = (Ms(9_000), Ms(10_000 + 100 * n));
        ends.record(&BrokenRequest {
            target: &target,
            request: None,
            parts: &[FIRST],
            begun: true,
            sent,
            at,
        });
    }
    let told = ends.candidates().iter().map(|c| (c.suspect, Observed::default())).collect();
    assert_eq!(ends.diagnose(&told, &[]), None);
}
