//! Which hosts read the platform's store when hosts are lost, cut off or disagree.

use base::{HostId, Ms};
use sched::store_reader::{ReaderFault, StoreReaders};

fn host(name: &str) -> HostId {
    name.into()
}

// Guards against callers being refused for their keys everywhere because nobody reads the store:
// the host that all others ask waits for a third one that it considers the reader. A host that is
// asked reads for that reason alone.
#[test]
fn a_host_reads_while_it_is_asked() {
    let mut readers = StoreReaders::default();
    assert!(!readers.reads(Ms(0)));
    readers.asked(Ms(1_000));
    assert!(readers.reads(Ms(3_000)));
    assert!(!readers.reads(Ms(6_000)));
}

// Guards against hundreds of hosts calling a store that is down and has to come back under this
// load, which happens if each host tries the store itself when the reader reports that it can't
// reach it.
#[test]
fn a_reader_without_the_store_makes_no_host_read_itself() {
    let mut readers = StoreReaders::default();
    for i in 0..20 {
        let now = Ms(i * 1_000);
        readers.failed(now, &host(&format!("host-{i}")), ReaderFault::Stale);
        assert!(!readers.reads(now), "after {i} hosts with stale data");
    }
}

// Guards against a host refusing all keys when it is cut off from the other hosts, but not from the
// store. When two hosts in a row can't be reached, it reads the store itself for a while.
#[test]
fn a_host_that_reaches_no_other_reads_itself() {
    let mut readers = StoreReaders::default();
    readers.failed(Ms(0), &host("a"), ReaderFault::Unreachable);
    assert!(!readers.reads(Ms(0)), "one may be lost");
    readers.failed(Ms(400), &host("b"), ReaderFault::Unreachable);
    assert!(readers.reads(Ms(400)));
    assert!(!readers.reads(Ms(4_000)), "then it asks again");
}

#[test]
fn losses_between_successful_responses_are_not_added_up() {
    let mut readers = StoreReaders::default();
    for i in 0..10 {
        readers.failed(Ms(i * 100), &host("a"), ReaderFault::Unreachable);
        readers.helped();
    }
    assert!(!readers.reads(Ms(1_000)));
}

#[test]
fn a_host_that_failed_is_skipped_for_a_while() {
    let mut readers = StoreReaders::default();
    readers.failed(Ms(0), &host("a"), ReaderFault::Unreachable);
    assert!(!readers.fits(Ms(100), &host("a")));
    assert!(readers.fits(Ms(100), &host("b")));
    assert!(readers.fits(Ms(3_000), &host("a")));
}

// Guards against hosts that give their reader up, and all read the store, because they did not run
// while it answered. It is asked once more; if that isn't heard either, it counts as lost.
#[test]
fn a_reader_that_was_not_heard_in_a_pause_is_asked_once_more() {
    let mut readers = StoreReaders::default();
    readers.failed(Ms(0), &host("a"), ReaderFault::Unheard);
    assert!(readers.fits(Ms(0), &host("a")));
    readers.helped();
    readers.failed(Ms(2_000), &host("a"), ReaderFault::Unheard);
    assert!(readers.fits(Ms(2_000), &host("a")));
    readers.failed(Ms(3_000), &host("a"), ReaderFault::Unheard);
    assert!(!readers.fits(Ms(3_000), &host("a")));
    readers.failed(Ms(4_000), &host("b"), ReaderFault::Unheard);
    assert!(readers.fits(Ms(4_000), &host("b")));
}
