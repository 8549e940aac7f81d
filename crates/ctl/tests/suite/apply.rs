//! Single changes with faults injected call by call.

use crate::support::{Fault, MemoryPlatform, run, yaml};
use base::{Generation, Ms, Version};
use ctl::{ChangeNote, CtlError, PAGE_RECORDS, apply, history, read_fleet};
use store::Api;

fn note(why: &str) -> ChangeNote<'_> {
    ChangeNote { who: "ada", why, at: Ms(1000) }
}

/// The write takes effect, but its response is lost. Reading back finds the change's id, so the
/// operator is correctly told that the change was accepted.
#[test]
fn a_write_whose_response_was_lost_is_found_again() {
    run(async {
        let memory = MemoryPlatform::default();
        memory.set_faults([(Fault::None, 1), (Fault::LoseAnswer, 1)]);
        let applied =
            apply(&memory, &yaml(2), None, &note("two")).await.expect("the change is accepted");
        assert_eq!(applied.generation, Generation(1));
        assert_eq!(memory.accepted().len(), 1);
    });
}

/// As above, but the platform is down for some seconds right afterwards. The command keeps retrying
/// and reports the change as accepted once the platform is back.
#[test]
fn a_write_whose_response_was_lost_before_an_outage_is_found_again() {
    run(async {
        let memory = MemoryPlatform::default();
        let outage = std::iter::repeat_n((Fault::Down, 100), 12);
        memory.set_faults([(Fault::None, 1), (Fault::LoseAnswer, 1)].into_iter().chain(outage));
        let applied =
            apply(&memory, &yaml(2), None, &note("two")).await.expect("the change is accepted");
        assert_eq!(applied.generation, Generation(1));
        assert_eq!(memory.accepted().len(), 1);
    });
}

/// The write takes effect, its response is lost, and reads fail for a while. The next attempt
/// conflicts with that first write, which must not be reported as a conflict with another operator.
#[test]
fn a_conflict_with_the_own_write_is_not_reported() {
    run(async {
        let memory = MemoryPlatform::default();
        let down = |n| std::iter::repeat_n((Fault::Down, 1), n);
        let sent = [(Fault::None, 1), (Fault::LoseAnswer, 1)].into_iter().chain(down(5));
        memory.set_faults(sent.chain([(Fault::None, 1)]).chain(down(3)));
        let applied =
            apply(&memory, &yaml(2), None, &note("two")).await.expect("the change is accepted");
        assert_eq!(applied.generation, Generation(1));
        assert_eq!(memory.accepted().len(), 1);
    });
}

/// The platform goes down before the write: the command fails and nothing is written.
#[test]
fn an_outage_changes_nothing() {
    run(async {
        let memory = MemoryPlatform::default();
        memory.set_faults([(Fault::None, 1), (Fault::Down, 1)]);
        let result = apply(&memory, &yaml(2), None, &note("two")).await;
        assert!(matches!(result, Err(CtlError::Store(_))), "{result:?}");
        assert!(memory.accepted().is_empty());
    });
}

/// The platform never answers the write and is down from then on. The outcome is reported as
/// unknown, with the change's id to look for, and not as a failure: the write takes effect later.
#[test]
fn an_unknown_outcome_is_reported_as_unknown() {
    run(async {
        let memory = MemoryPlatform::default();
        let outage = std::iter::repeat_n((Fault::Down, 100), 500);
        memory
            .set_faults([(Fault::None, 1), (Fault::Delayed(200_000), 1)].into_iter().chain(outage));
        let result = apply(&memory, &yaml(2), None, &note("two")).await;
        let Err(CtlError::OutcomeUnknown { change }) = result else { panic!("{result:?}") };
        memory.set_faults([]);
        tokio::time::sleep(Ms::secs(300).duration()).await;
        assert_eq!(memory.accepted()[0].audit[0].change, change.to_string());
    });
}

/// Ada's write is delayed; its retry takes effect, and then Bob's change. When the delayed write
/// arrives, its condition no longer holds, and Bob's change stays.
#[test]
fn a_delayed_write_cannot_land_over_a_newer_one() {
    run(async {
        let memory = MemoryPlatform::default();
        memory.set_faults([(Fault::None, 1), (Fault::Delayed(60_000), 1)]);
        apply(&memory, &yaml(2), None, &note("ada's")).await.expect("the second try lands");
        apply(&memory, &yaml(3), None, &note("bob's")).await.expect("the change is accepted");
        tokio::time::sleep(Ms::secs(120).duration()).await;
        let (_, object) = read_fleet(&memory).await.expect("the object is readable");
        assert_eq!((object.generation, object.config), (2, yaml(3)));
    });
}

/// Two operators start from generation 1. One change is accepted; the other operator is shown that
/// change, and nothing of theirs is written.
#[test]
fn of_two_concurrent_changes_one_wins_and_the_other_sees_it() {
    run(async {
        let memory = MemoryPlatform::default();
        apply(&memory, &yaml(1), None, &note("first")).await.expect("the change is accepted");
        let from = Some(Generation(1));
        let (two, three) = (yaml(2), yaml(3));
        let (notes, other) = (note("ada's"), note("bob's"));
        let (a, b) =
            tokio::join!(apply(&memory, &two, from, &notes), apply(&memory, &three, from, &other),);
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        assert_eq!(won.expect("one wins").generation, Generation(2));
        let Err(CtlError::Conflict { expected, now, since }) = lost else { panic!("{lost:?}") };
        assert_eq!((expected, now), (Generation(1), Generation(2)));
        let fields = ["workspaces.painters.weight: 1.0 -> 2.0"];
        assert_eq!(since.iter().flat_map(|a| &a.fields).collect::<Vec<_>>(), fields);
        assert_eq!(memory.accepted().len(), 2);
    });
}

/// A file based on generation 1 is applied while generation 3 is in force. It is rejected, and the
/// error lists the two changes in between.
#[test]
fn an_old_file_is_refused() {
    run(async {
        let memory = MemoryPlatform::default();
        for weight in 1..=3 {
            apply(&memory, &yaml(weight), None, &note("step"))
                .await
                .expect("the change is accepted");
        }
        let result = apply(&memory, &yaml(9), Some(Generation(1)), &note("old")).await;
        let Err(CtlError::Conflict { now, since, .. }) = result else { panic!("{result:?}") };
        assert_eq!((now, since.len()), (Generation(3), 2));
    });
}

/// The platform returns old content: the operator has seen generation 2, the read gives 1.
#[test]
fn a_stale_read_is_distinguished_from_a_conflict() {
    run(async {
        let memory = MemoryPlatform::default();
        for weight in 1..=2 {
            apply(&memory, &yaml(weight), None, &note("step"))
                .await
                .expect("the change is accepted");
        }
        memory.set_faults([(Fault::Stale, 1)]);
        let result = apply(&memory, &yaml(9), Some(Generation(2)), &note("third")).await;
        assert!(matches!(result, Err(CtlError::Stale { .. })), "{result:?}");
        assert_eq!(memory.accepted().len(), 2);
    });
}

/// An invalid file writes nothing, and neither does a change without a valid name and reason.
#[test]
fn invalid_changes_are_not_written() {
    run(async {
        let memory = MemoryPlatform::default();
        let result = apply(&memory, &yaml(0), None, &note("zero")).await;
        assert!(matches!(result, Err(CtlError::Parse(_))), "{result:?}");
        for (who, why) in [("", "why"), ("ada", " "), ("ada", &"x".repeat(501))] {
            let result = apply(&memory, &yaml(2), None, &ChangeNote { who, why, at: Ms(1) }).await;
            assert!(matches!(result, Err(CtlError::InvalidNote { .. })), "{result:?}");
        }
        assert!(memory.accepted().is_empty());
    });
}

/// The configuration object, which every host reads, never holds more than two pages of records
/// however many changes were made, and the audit trail stays complete.
#[test]
fn old_audit_records_move_to_pages() {
    run(async {
        let memory = MemoryPlatform::default();
        let count = 5 * PAGE_RECORDS as u32 + 3;
        let mut sizes = Vec::new();
        for i in 1..=count {
            apply(&memory, &yaml(i), None, &note("step")).await.expect("the change is accepted");
            let (_, object) = read_fleet(&memory).await.expect("the object is readable");
            sizes.push(object.audit.len());
        }
        assert!(sizes.iter().all(|n| *n <= 2 * PAGE_RECORDS), "{sizes:?}");
        let (_, object) = read_fleet(&memory).await.expect("the object is readable");
        let trail = history(&memory, &object, usize::MAX).await.expect("all pages are there");
        let numbers: Vec<_> = trail.iter().map(|a| a.to).collect();
        assert_eq!(numbers, (1..=u64::from(count)).rev().collect::<Vec<_>>());
        let newest = history(&memory, &object, PAGE_RECORDS + 5).await.expect("pages are there");
        assert_eq!(newest[..], trail[..PAGE_RECORDS + 5]);
    });
}

/// The command dies after it wrote a page and before the change that removes the page's records.
/// The next change finds the page there, and no record is missing or duplicated.
#[test]
fn a_crash_between_page_and_change_loses_nothing() {
    run(async {
        let memory = MemoryPlatform::default();
        for i in 1..=2 * PAGE_RECORDS as u32 {
            apply(&memory, &yaml(i), None, &note("step")).await.expect("the change is accepted");
        }
        memory.set_faults([(Fault::None, 1), (Fault::None, 1), (Fault::Down, 1)]);
        let result = apply(&memory, &yaml(500), None, &note("cut off")).await;
        assert!(matches!(result, Err(CtlError::Store(_))), "{result:?}");
        let (_, object) = read_fleet(&memory).await.expect("the object is readable");
        assert_eq!(object.audit.len(), 2 * PAGE_RECORDS);
        assert!(memory_has(&memory, &ctl::page_name(0)).await, "the page was written");
        apply(&memory, &yaml(501), None, &note("next")).await.expect("the change is accepted");
        let (_, object) = read_fleet(&memory).await.expect("the object is readable");
        let trail = history(&memory, &object, usize::MAX).await.expect("all pages are there");
        assert_eq!((trail.len(), object.audit.len()), (2 * PAGE_RECORDS + 1, PAGE_RECORDS + 1));
    });
}

/// Something else has written the page: the change fails, since it would lose records.
#[test]
fn a_foreign_page_stops_the_change() {
    run(async {
        let memory = MemoryPlatform::default();
        for i in 1..=2 * PAGE_RECORDS as u32 {
            apply(&memory, &yaml(i), None, &note("step")).await.expect("the change is accepted");
        }
        let body = "{\"audit\":[]}";
        let page = ctl::page_name(0);
        memory.put("audit", &page, Version(0), body).await.expect("it is new");
        let result = apply(&memory, &yaml(500), None, &note("next")).await;
        assert!(matches!(result, Err(CtlError::ForeignPage(_))), "{result:?}");
        assert_eq!(memory.accepted().len(), 2 * PAGE_RECORDS);
    });
}

/// The audit record of a change of 500 workspaces lists 20 fields and the number of the others.
#[test]
fn the_size_of_an_audit_record_is_bounded() {
    run(async {
        let memory = MemoryPlatform::default();
        apply(&memory, &yaml(1), None, &note("first")).await.expect("the change is accepted");
        let many: String = (0..500)
            .map(|i| format!("  - name: {}-{i}\n    weight: 2\n", "w".repeat(50)))
            .collect();
        let yaml = yaml(1).replace("workspaces:\n", &format!("workspaces:\n{many}"));
        apply(&memory, &yaml, None, &note("many")).await.expect("the change is accepted");
        let (_, object) = read_fleet(&memory).await.expect("the object is readable");
        let fields = &object.audit[1].fields;
        assert_eq!((fields.len(), fields[20].as_str()), (21, "and 480 more"));
    });
}

async fn memory_has(memory: &MemoryPlatform, page: &str) -> bool {
    memory.get("audit", page).await.expect("the object is readable").is_some()
}
