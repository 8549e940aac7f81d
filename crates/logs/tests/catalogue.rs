//! Checks that `docs/EVENTS.md` and the catalogue in the code list the same events.

use logs::Event;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn row(event: Event) -> String {
    let (number, name, text) = (event.number(), event.name(), event.text());
    format!("| {number} | {name} | {:?} | {text} |", event.level())
}

#[test]
fn page_lists_every_event() {
    let numbered =
        |l: &&str| l.starts_with("| ") && l[2..].starts_with(|c: char| c.is_ascii_digit());
    let rows: Vec<&str> = PAGE.lines().filter(numbered).collect();
    let expected: Vec<String> = Event::ALL.iter().map(|e| row(*e)).collect();
    assert_eq!(rows, expected, "docs/EVENTS.md must have exactly these rows, by number");
}

#[test]
fn numbers_are_ascending() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|e| e.number()).collect();
    assert!(numbers.windows(2).all(|w| w[0] < w[1]), "{numbers:?}");
}
