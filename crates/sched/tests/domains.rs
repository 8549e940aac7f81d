//! Targets of one region in several failure domains.

mod common;

use base::{DomainId, Ms};
use common::{Bench, config};
use sched::batch::Piece;

fn at(domain: &'static str) -> impl Fn(&mut Piece) {
    move |p| p.home = Some(DomainId::from(domain))
}

// Guards against half of all results crossing failure domains, which operators pay for, because the
// stages of a request go to any free target of the region. A piece goes to a free target in the
// domain of its inputs.
#[test]
fn pieces_go_to_the_free_target_in_the_domain_of_their_inputs() {
    let mut bench = Bench::new(config(), &["a:east", "b:west"]);
    for _ in 0..3 {
        let call = bench.calls.len();
        bench.submit("w", 3, at("west"));
        bench.submit("e", 3, at("east"));
        let targets: Vec<&str> = bench.calls[call..].iter().map(|c| c.1.as_str()).collect();
        assert_eq!(targets, ["b", "a"]);
        bench.finish(call, Ms(270));
        bench.finish(call + 1, Ms(0));
    }
}

// No target stays idle for this: a burst in one domain is served by the targets of both.
#[test]
fn a_burst_in_one_domain_fills_the_targets_of_both() {
    let mut bench = Bench::new(config(), &["a:east", "b:west"]);
    bench.submit("r1", 8, at("west"));
    bench.submit("r2", 8, at("west"));
    let targets: Vec<&str> = bench.calls.iter().map(|c| c.1.as_str()).collect();
    assert_eq!(targets, ["b", "a"]);
}

// Guards against pieces whose own domain has lost its targets waiting behind all pieces of the
// other one. They wait for one call more than those, and no longer.
#[test]
fn pieces_of_a_domain_without_targets_are_not_starved() {
    let mut bench = Bench::new(config(), &["a:east"]);
    bench.submit("first", 8, at("east"));
    bench.submit("west", 8, at("west"));
    for call in 0..4 {
        bench.submit(&format!("east{call}"), 8, at("east"));
        bench.finish(call, Ms(320));
    }
    let west = (0..bench.calls.len()).position(|call| bench.requests(call) == ["west"]);
    assert!(west.is_some_and(|call| call <= 3), "{west:?}");
}

/// Guards against results crossing domains, paid for by volume, to save time that nobody needs.
#[test]
fn pieces_with_large_inputs_wait_for_their_domain_while_on_time() {
    let large_inputs = |p: &mut Piece| {
        p.home = Some(DomainId::from("west"));
        p.reads = 1_000_000;
    };
    let mut bench = Bench::new(config(), &["a:east", "b:west"]);
    bench.submit("first", 8, at("west"));
    bench.submit("second", 8, large_inputs);
    assert_eq!(bench.calls.len(), 1, "the target in the east stays idle");
    bench.finish(0, Ms(320));
    assert_eq!((bench.calls[1].1.as_str(), bench.requests(1)), ("b", vec!["second"]));
}

/// Guards against callers waiting for the sake of saved bytes: pieces with no time left go
/// anywhere.
#[test]
fn pieces_with_large_inputs_go_anywhere_if_their_domain_would_be_late() {
    let mut bench = Bench::new(config(), &["a:east", "b:west"]);
    bench.submit("first", 8, at("west"));
    let due = bench.now + Ms(400);
    bench.submit("second", 8, |p| {
        p.home = Some(DomainId::from("west"));
        p.reads = 1_000_000;
        p.due = due;
    });
    assert_eq!((bench.calls[1].1.as_str(), bench.requests(1)), ("a", vec!["second"]));
}

/// Guards against reserved targets of another region, which only restricted requests may use,
/// hiding how long all other requests wait. Hopeless work would be accepted, and none offloaded.
#[test]
fn reserved_targets_do_not_shorten_the_wait() {
    let mut bench = Bench::new(config(), &["a:east", "!far:west"]);
    bench.submit("first", 8, at("east"));
    assert_eq!(bench.calls.len(), 1);
    assert!(bench.batcher.wait(bench.now) > Some(Ms(200)));
}
