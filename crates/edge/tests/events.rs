//! Event streams over several runs: no event is lost, duplicated or truncated.

use bytes::Bytes;
use edge::{EventStream, Parsed};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: w{id}\n\n")
}

fn push(stream: &mut EventStream, text: &str) -> Parsed {
    stream.push(Bytes::copy_from_slice(text.as_bytes()))
}

fn events(text: &str) -> Parsed {
    Parsed::Events(Bytes::copy_from_slice(text.as_bytes()))
}

#[test]
fn complete_events_pass_and_partial_ones_wait() {
    let mut stream = EventStream::new(None);
    let text = event(1) + &event(2);
    let (front, back) = text.split_at(event(1).len() + 5);
    assert_eq!(push(&mut stream, front), events(&event(1)));
    assert!(stream.is_partial());
    assert_eq!(push(&mut stream, back), events(&event(2)));
    assert!(!stream.is_partial());
    assert_eq!(stream.last(), Some(2));
}

#[test]
fn every_split_of_a_stream_gives_the_same_events() {
    let text: String = (1..=4).map(event).collect::<String>().replace('\n', "\r\n") + &event(5);
    for at in 0..text.len() {
        let mut stream = EventStream::new(None);
        let mut out = Vec::new();
        for part in [&text[..at], &text[at..]] {
            match push(&mut stream, part) {
                Parsed::Events(bytes) => out.extend_from_slice(&bytes),
                Parsed::Broken => panic!("broken at {at}"),
            }
        }
        assert_eq!(String::from_utf8(out).unwrap(), text, "split at {at}");
    }
}

// Guards against a reader seeing a word twice or missing one. It comes about when another engine
// continues the stream at another event than the one where the first engine stopped.
#[test]
fn a_run_that_continues_elsewhere_adds_only_the_missing_events() {
    let mut stream = EventStream::new(None);
    push(&mut stream, &(event(1) + &event(2) + "id: 3\nda"));
    stream.restart();
    assert_eq!(push(&mut stream, &(event(2) + &event(3))), events(&event(3)));
    assert_eq!(push(&mut stream, &event(5)), Parsed::Broken);
}

// Guards against events that nobody passes on: those that come in one piece with a broken one.
#[test]
fn events_before_a_broken_one_are_asked_for_again() {
    let mut stream = EventStream::new(Some(4));
    assert_eq!(push(&mut stream, &(event(5) + &event(6) + &event(8))), Parsed::Broken);
    assert_eq!(stream.last(), Some(4));
}

#[test]
fn a_caller_that_resumes_gets_only_later_events() {
    let mut stream = EventStream::new(Some(7));
    assert_eq!(push(&mut stream, &(event(7) + &event(8))), events(&event(8)));
}

#[test]
fn an_event_without_end_is_broken() {
    let mut stream = EventStream::new(None);
    let mut last = Parsed::Events(Bytes::new());
    for _ in 0..20 {
        last = push(&mut stream, &"x".repeat(100_000));
    }
    assert_eq!(last, Parsed::Broken);
}
