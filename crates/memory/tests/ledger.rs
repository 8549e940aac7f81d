//! Who gets bytes and who yields, in virtual time.

use base::Ms;
use memory::{
    BLOCKED_BYTES, CONNECTION_BYTES, Class, Group, Ledger, Phase, Purpose, STALL_TIME, Verdict,
};

const MB: u64 = 1 << 20;
const LIMIT: u64 = 64 * MB;

fn ledger(connections: usize) -> (Ledger, Group) {
    let mut ledger = Ledger::new(LIMIT);
    let group = ledger.add_group(Class::Callers, connections);
    (ledger, group)
}

/// Opens connections that each hold `bytes` of a request that is being read.
fn readers(ledger: &mut Ledger, group: Group, count: usize, bytes: u64, now: Ms) -> Vec<u64> {
    let mut open = |_| {
        let id = ledger.open(group, now).unwrap();
        assert_eq!(ledger.reserve(id, bytes, Purpose::Request, now), Verdict::Granted);
        id
    };
    (0..count).map(&mut open).collect()
}

// Guards against a sum of legal requests over the budget.
#[test]
fn requests_never_hold_more_than_the_budget() {
    let (mut ledger, group) = ledger(1_000);
    readers(&mut ledger, group, 2, MB, Ms(0));
    for _ in 0..200 {
        let Some(id) = ledger.open(group, Ms(0)) else { break };
        while ledger.reserve(id, MB / 4, Purpose::Request, Ms(0)) == Verdict::Granted {
            assert!(ledger.used() <= LIMIT, "{}", ledger.used());
        }
    }
}

// Guards against ordinary requests that wait behind large ones which have stopped.
#[test]
fn the_connection_that_holds_most_for_longest_without_progress_yields() {
    let (mut ledger, group) = ledger(1_000);
    let large = readers(&mut ledger, group, 50, MB, Ms(0));
    let late = STALL_TIME + Ms(10);
    // One of them goes on, the others have stopped; one has stopped for less long.
    ledger.moved(large[3], MB, late);
    let id = ledger.open(group, late).unwrap();
    assert_eq!(ledger.reserve(id, 8 * MB, Purpose::Request, late), Verdict::Granted);
    let evicted = ledger.take_evicted();
    assert!(!evicted.is_empty() && !evicted.contains(&large[3]), "{evicted:?}");
}

// Guards against small requests that find no room because large ones hold all of it.
#[test]
fn a_part_is_kept_for_small_requests() {
    let (mut ledger, group) = ledger(1_000);
    let first = ledger.open(group, Ms(0)).unwrap();
    readers(&mut ledger, group, 50, MB, Ms(0));
    while ledger.reserve(first, MB, Purpose::Request, Ms(0)) == Verdict::Granted {}
    let small = ledger.open(group, Ms(0)).unwrap();
    assert_eq!(ledger.reserve(small, 4_096, Purpose::Request, Ms(0)), Verdict::Granted);
    assert!(ledger.take_evicted().is_empty());
}

// Guards against requests that wait for each other's bytes for ever.
#[test]
fn of_requests_that_wait_the_oldest_stays() {
    let (mut ledger, group) = ledger(1_000);
    let held = readers(&mut ledger, group, 52, MB, Ms(0));
    let ask = |ledger: &mut Ledger, id| ledger.reserve(id, 2 * MB, Purpose::Request, Ms(1));
    assert_eq!(ask(&mut ledger, held[7]), Verdict::Wait);
    assert_eq!(ask(&mut ledger, held[9]), Verdict::Refused, "a younger one is refused");
    // An older one has the younger one yield.
    assert_eq!(ask(&mut ledger, held[2]), Verdict::Granted);
    assert_eq!(ledger.take_evicted(), [held[7]]);
}

// Guards against an answer that is lost, after its request has run, for requests that are still read.
#[test]
fn requests_yield_to_answers() {
    let (mut ledger, group) = ledger(1_000);
    let runs = readers(&mut ledger, group, 1, MB, Ms(0))[0];
    ledger.set_phase(runs, Phase::Serving, Ms(0));
    readers(&mut ledger, group, 50, MB, Ms(0));
    assert_eq!(ledger.reserve(runs, 16 * MB, Purpose::Answer, Ms(1)), Verdict::Granted);
    assert!(ledger.used() <= LIMIT && !ledger.take_evicted().contains(&runs));
}

// Guards against a request at its target that is taken for a client which has stopped.
#[test]
fn a_request_at_its_target_does_not_yield() {
    let (mut ledger, group) = ledger(2);
    for id in readers(&mut ledger, group, 2, MB, Ms(0)) {
        ledger.set_phase(id, Phase::Serving, Ms(0));
    }
    assert_eq!(ledger.open(group, Ms::secs(60)), None);
}

// Guards against clients that hold every place, and against idle connections that yield before clients which
// have stopped within a request.
#[test]
fn the_place_of_a_request_that_has_stopped_goes_to_a_new_connection() {
    let (mut ledger, group) = ledger(2);
    let (idle, stopped) = (ledger.open(group, Ms(0)).unwrap(), ledger.open(group, Ms(0)).unwrap());
    ledger.set_phase(idle, Phase::Idle, Ms(1));
    assert_eq!(ledger.open(group, Ms(500)), None, "nobody has stalled");
    let late = STALL_TIME.scale(3, 1);
    assert!(ledger.open(group, late).is_some());
    assert_eq!(ledger.take_evicted(), [stopped]);
    assert!(ledger.open(group, late).is_some());
    assert_eq!(ledger.take_evicted(), [idle]);
}

// Guards against a client that sends or reads one byte now and then and so never counts as stalled.
#[test]
fn a_byte_now_and_then_is_no_progress() {
    let (mut ledger, group) = ledger(1);
    let slow = ledger.open(group, Ms(0)).unwrap();
    (1..20).for_each(|n| ledger.moved(slow, 1, Ms(n * 100)));
    assert!(ledger.open(group, Ms(2_000)).is_some());
    assert_eq!(ledger.take_evicted(), [slow]);
}

// Guards against a configuration whose largest body is over the budget: nobody could send one.
#[test]
fn one_large_request_is_served_over_the_budget() {
    let (mut ledger, group) = ledger(10);
    let id = readers(&mut ledger, group, 3, 1_000, Ms(0))[0];
    assert_eq!(ledger.reserve(id, LIMIT, Purpose::Request, Ms(0)), Verdict::Granted);
    let other = ledger.open(group, Ms(0));
    assert!(
        other.is_none_or(|id| {
            ledger.reserve(id, MB, Purpose::Request, Ms(0)) != Verdict::Granted
        })
    );
}

// Guards against bytes that stay charged after their connection is gone.
#[test]
fn what_is_closed_or_released_is_free() {
    let (mut ledger, group) = ledger(10);
    let ids = readers(&mut ledger, group, 10, MB, Ms(0));
    ledger.release(ids[0], MB);
    assert_eq!(ledger.used(), 9 * MB + 10 * CONNECTION_BYTES);
    ids.iter().for_each(|&id| ledger.close(id));
    assert_eq!((ledger.used(), ledger.connections(group)), (0, 0));
}

// Guards against a host that is taken for dead because callers hold all that it may hold.
#[test]
fn the_platform_and_other_hosts_are_let_in_beyond_the_budget() {
    let (mut ledger, group) = ledger(10_000);
    let internal = ledger.add_group(Class::Internal, 2);
    while ledger.open(group, Ms(0)).is_some() {}
    let probe = ledger.open(internal, Ms(0)).unwrap();
    assert_eq!(ledger.reserve(probe, 8 << 10, Purpose::Request, Ms(0)), Verdict::Granted);
    assert_ne!(ledger.reserve(probe, MB, Purpose::Request, Ms(0)), Verdict::Granted);
    assert!(ledger.open(internal, Ms(0)).is_some());
    assert_eq!(ledger.open(internal, Ms(0)), None, "no more than its places");
}

// Guards against streams of callers that don't read, of which each holds a little.
#[test]
fn callers_that_read_nothing_never_hold_more_than_the_budget() {
    let (mut ledger, group) = ledger(10_000);
    for _ in 0..2_000 {
        let Some(id) = ledger.open(group, Ms(0)) else { break };
        ledger.set_phase(id, Phase::Serving, Ms(0));
        ledger.set_phase(id, Phase::Blocked, Ms(0));
        assert!(ledger.used() <= LIMIT, "{}", ledger.used());
    }
    let (mut ledger, group) = self::ledger(1);
    let id = ledger.open(group, Ms(0)).unwrap();
    ledger.set_phase(id, Phase::Blocked, Ms(0));
    assert_eq!(ledger.used(), CONNECTION_BYTES + BLOCKED_BYTES);
    ledger.set_phase(id, Phase::Serving, Ms(0));
    assert_eq!(ledger.used(), CONNECTION_BYTES);
}
