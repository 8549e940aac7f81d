//! What proofs tell of the store.

use base::Ms;
use catalog::Freshness;

/// A host whose proofs are these, ms.
fn proved(at: impl IntoIterator<Item = u64>) -> Freshness {
    let mut freshness = Freshness::new(None);
    at.into_iter().for_each(|at| freshness.prove(Ms(at)));
    freshness
}

// Guards against targets that are kept as lapsed because one host's calls failed: others had answers
// meanwhile, and passed their proofs on.
#[test]
fn failed_calls_of_one_host_are_no_outage() {
    let freshness = proved((0..10_000).step_by(900));
    assert!(!freshness.was_away(Ms(10_000), Ms(4_000)));
}

// Guards against targets that are dropped after an outage in which their registrations lapsed.
#[test]
fn a_time_without_any_answer_is_an_outage_until_its_end_and_for_who_asks_about_it() {
    let down = proved([0, 1_000]);
    assert!(down.was_away(Ms(4_000), Ms(1_500)));
    let back = proved([0, 1_000, 4_000, 4_900]);
    assert!(back.was_away(Ms(5_000), Ms(1_500)));
    assert!(!back.was_away(Ms(6_000), Ms(4_500)));
}
