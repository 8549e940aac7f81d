//! Who reads the platform's store when hosts are lost, cut off or of different minds.

use base::{HostId, Ms};
use sched::store_reader::{ReaderFault, StoreReaders};

fn host(name: &str) -> HostId {
    name.into()
}

// Callers are refused for their keys everywhere: the host that all follow waits for a third one
// that it takes for the reader, and nobody reads. A host that is asked reads by that alone.
#[test]
fn a_host_that_is_asked_reads_until_it_is_not_asked_any_more() {
    let mut sources = StoreReaders::default();
    assert!(!sources.reads(Ms(0)));
    sources.asked(Ms(1_000));
    assert!(sources.reads(Ms(3_000)));
    assert!(!sources.reads(Ms(6_000)));
}

// Hundreds of hosts call a store that is away, and it comes back under their load: each takes the
// reader's word that the store can't be reached for a reason to try itself.
#[test]
fn a_reader_without_the_store_sends_nobody_there() {
    let mut sources = StoreReaders::default();
    for i in 0..20 {
        let now = Ms(i * 1_000);
        sources.failed(now, &host(&format!("host-{i}")), ReaderFault::Stale);
        assert!(!sources.reads(now), "after {i} blind hosts");
    }
}

// A host that is cut off from the others, and not from the store, refuses all keys.
// When two in a row can't be reached it reads itself, for a while.
#[test]
fn a_host_that_reaches_no_other_reads_itself() {
    let mut sources = StoreReaders::default();
    sources.failed(Ms(0), &host("a"), ReaderFault::Unreachable);
    assert!(!sources.reads(Ms(0)), "one may be lost");
    sources.failed(Ms(400), &host("b"), ReaderFault::Unreachable);
    assert!(sources.reads(Ms(400)));
    assert!(!sources.reads(Ms(4_000)), "then it asks again");
}

#[test]
fn single_losses_between_good_answers_do_not_count_together() {
    let mut sources = StoreReaders::default();
    for i in 0..10 {
        sources.failed(Ms(i * 100), &host("a"), ReaderFault::Unreachable);
        sources.helped();
    }
    assert!(!sources.reads(Ms(1_000)));
}

#[test]
fn a_host_that_failed_is_passed_over_for_a_while() {
    let mut sources = StoreReaders::default();
    sources.failed(Ms(0), &host("a"), ReaderFault::Unreachable);
    assert!(!sources.fits(Ms(100), &host("a")));
    assert!(sources.fits(Ms(100), &host("b")));
    assert!(sources.fits(Ms(3_000), &host("a")));
}
