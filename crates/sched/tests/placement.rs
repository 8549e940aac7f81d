//! Which target runs a request.

use base::Ms;
use sched::placement::{Candidate, Distance, engine, plain};

/// Time to copy a subject's memory from another engine.
const COPY: Ms = Ms(50);

fn candidate(name: &str, distance: Distance, load: u32) -> Candidate<'_> {
    Candidate {
        name,
        distance,
        slots: 64,
        load,
        latency: None,
        failure_rate: 0.0,
        usable: true,
        ejected_until: Ms::ZERO,
        trial: false,
        wait: Ms::ZERO,
        cached: false,
    }
}

#[test]
fn a_plain_request_stays_near_until_the_near_target_fails() {
    let near = candidate("near", Distance::Domain, 0);
    let far = candidate("far", Distance::Far, 0);
    assert_eq!(plain(&[far.clone(), near.clone()], false), Some(1));
    let grey = Candidate { failure_rate: 0.4, ..near };
    assert_eq!(plain(&[far, grey], false), Some(0));
}

#[test]
fn a_send_that_cannot_be_made_up_for_is_no_trial() {
    let trial = Candidate { trial: true, ..candidate("a", Distance::Domain, 0) };
    let sound = candidate("b", Distance::Far, 3);
    assert_eq!(plain(&[trial.clone(), sound.clone()], true), Some(1));
    assert_eq!(plain(&[trial, sound], false), Some(0));
}

#[test]
fn with_every_target_ejected_the_one_that_returns_first_is_tried() {
    let ejected = |name, until| Candidate {
        usable: false,
        ejected_until: Ms(until),
        ..candidate(name, Distance::Domain, 0)
    };
    assert_eq!(plain(&[ejected("a", 900), ejected("b", 400)], false), Some(1));
    assert_eq!(engine(&[ejected("a", 900), ejected("b", 400)], 5, COPY), Some(1));
}

// One engine drowns while its neighbours idle: a subject is in fashion, and all its requests go
// where its prompt is kept.
// Beyond a few requests more than the mean it moves to the next engine of its own order.
#[test]
fn a_subject_in_fashion_moves_on_before_its_engine_drowns() {
    let idle = ["a", "b", "c", "d"].map(|name| candidate(name, Distance::Domain, 0));
    let first = engine(&idle, 42, COPY).unwrap();
    let mut busy = idle.clone();
    busy[first].load = 5;
    assert_eq!(engine(&busy, 42, COPY), Some(first), "reading it again costs more");
    busy[first].load = 20;
    let second = engine(&busy, 42, COPY).unwrap();
    assert_ne!(second, first);
    assert_eq!(engine(&busy, 42, COPY), Some(second), "all hosts move it to the same one");
}

// A short question waits half a second behind three long reports, while the engine beside idles:
// both count as a few requests.
// What an engine has yet to read decides, not how many streams it writes.
#[test]
fn a_prompt_passes_an_engine_with_much_to_read() {
    let idle = ["a", "b", "c"].map(|name| candidate(name, Distance::Domain, 3));
    let owner = engine(&idle, 42, COPY).unwrap();
    let mut busy = idle.clone();
    busy[owner].wait = Ms(40);
    assert_eq!(engine(&busy, 42, COPY), Some(owner), "copying its memory takes longer");
    busy[owner].wait = Ms(400);
    let other = engine(&busy, 42, COPY).unwrap();
    assert_ne!(other, owner);
    busy[owner].wait = Ms(40);
    busy[other].cached = true;
    assert_eq!(engine(&busy, 42, COPY), Some(other), "it has read the subject and idles");
}

#[test]
fn a_prompt_leaves_its_failure_domain_only_when_that_is_full() {
    let near = candidate("near", Distance::Domain, 54);
    let far = candidate("far", Distance::Far, 0);
    assert_eq!(engine(&[near.clone(), far.clone()], 1, COPY), Some(0));
    let full = Candidate { load: 60, ..near };
    assert_eq!(engine(&[full, far], 1, COPY), Some(1));
}
