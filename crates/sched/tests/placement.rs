//! Which target runs a request.

use base::Ms;
use sched::placement::{Candidate, Distance, engine, plain};

/// Time to copy a subject's cached prompt from another engine.
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
    let failing = Candidate { failure_rate: 0.4, ..near };
    assert_eq!(plain(&[far, failing], false), Some(0));
}

#[test]
fn a_request_that_cannot_be_retried_is_no_trial() {
    let trial = Candidate { trial: true, ..candidate("a", Distance::Domain, 0) };
    let sound = candidate("b", Distance::Far, 3);
    assert_eq!(plain(&[trial.clone(), sound.clone()], true), Some(1));
    assert_eq!(plain(&[trial, sound], false), Some(0));
}

#[test]
fn if_every_target_is_ejected_the_first_to_return_is_tried() {
    let ejected = |name, until| Candidate {
        usable: false,
        ejected_until: Ms(until),
        ..candidate(name, Distance::Domain, 0)
    };
    assert_eq!(plain(&[ejected("a", 900), ejected("b", 400)], false), Some(1));
    assert_eq!(engine(&[ejected("a", 900), ejected("b", 400)], 5, COPY), Some(1));
}

// Guards against one engine being overloaded while the others are idle, because all requests about
// a popular subject go to the engine that has its prompt in its cache. When the load exceeds the
// mean by a few requests, the subject moves to the next engine in its own order.
#[test]
fn a_popular_subject_moves_on_before_its_engine_is_overloaded() {
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

// Guards against a short question waiting half a second behind three long reports while the next
// engine is idle, although both engines have only a few requests. The time to read the prompts that
// an engine has decides, not the number of streams it generates.
#[test]
fn a_prompt_avoids_an_engine_with_a_long_backlog() {
    let idle = ["a", "b", "c"].map(|name| candidate(name, Distance::Domain, 3));
    let owner = engine(&idle, 42, COPY).unwrap();
    let mut busy = idle.clone();
    busy[owner].wait = Ms(40);
    assert_eq!(engine(&busy, 42, COPY), Some(owner), "copying the cached prompt takes longer");
    busy[owner].wait = Ms(400);
    let other = engine(&busy, 42, COPY).unwrap();
    assert_ne!(other, owner);
    busy[owner].wait = Ms(40);
    busy[other].cached = true;
    assert_eq!(engine(&busy, 42, COPY), Some(other), "it has the prompt in its cache and is idle");
}

#[test]
fn a_prompt_leaves_its_failure_domain_only_when_that_is_full() {
    let near = candidate("near", Distance::Domain, 54);
    let far = candidate("far", Distance::Far, 0);
    assert_eq!(engine(&[near.clone(), far.clone()], 1, COPY), Some(0));
    let full = Candidate { load: 60, ..near };
    assert_eq!(engine(&[full, far], 1, COPY), Some(1));
}
