//! Checks that no input makes the parser or the checks panic, and that every accepted configuration
//! can be serialized and parsed again.

use base::{Generation, Ms};
use conf::{FileKind, Fleet, Plan, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const FLEET: &str = include_str!("../../../examples/cooperative.yaml");
const HOST: &str = include_str!("../../../examples/host.yaml");

/// Fragments that a typing error, a failed merge or a wrong tool can leave in a file.
const FRAGMENTS: &[&str] = &[
    "\n",
    " ",
    "  ",
    "- ",
    ": ",
    ":",
    "[",
    "]",
    "{",
    "}",
    "&a ",
    "*a",
    "<<: ",
    "? ",
    "!!int ",
    "'",
    "\"",
    "#",
    "|",
    ">",
    "---\n",
    "\t",
    "0",
    "-1",
    "1e308",
    "1e999",
    ".nan",
    ".inf",
    "18446744073709551615",
    "18446744073709551616",
    "null",
    "~",
    "true",
    "ÿ",
    "\u{0}",
    "\u{feff}",
    "name",
    "least_ms: 18446744073709551615\n",
    "/",
    "..",
];

/// A mutation: cut or duplicate a span, insert a fragment, cut or duplicate a line, or change a
/// digit.
#[derive(Clone, Debug)]
enum Edit {
    Cut(usize, usize),
    Insert(usize, &'static str),
    Duplicate(usize, usize),
    CutLine(usize),
    DuplicateLine(usize),
    Digit(usize, char),
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        (any::<usize>(), 0usize..40).prop_map(|(at, n)| Edit::Cut(at, n)),
        (any::<usize>(), prop::sample::select(FRAGMENTS)).prop_map(|(at, s)| Edit::Insert(at, s)),
        (any::<usize>(), 0usize..200).prop_map(|(at, n)| Edit::Duplicate(at, n)),
        any::<usize>().prop_map(Edit::CutLine),
        any::<usize>().prop_map(Edit::DuplicateLine),
        (any::<usize>(), prop::char::range('0', '9')).prop_map(|(at, c)| Edit::Digit(at, c)),
        (any::<usize>(), prop::char::range('0', '9')).prop_map(|(at, c)| Edit::Digit(at, c)),
    ]
}

fn apply(text: &str, edits: &[Edit]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for edit in edits {
        let len = chars.len();
        let span = |at: usize, n: usize| {
            let start = at % (len + 1);
            start..(start + n).min(len)
        };
        match edit {
            Edit::Cut(at, n) => {
                chars.drain(span(*at, *n));
            }
            Edit::Insert(at, s) => {
                let at = at % (len + 1);
                chars.splice(at..at, s.chars());
            }
            Edit::Duplicate(at, n) => {
                let span = span(*at, *n);
                let copy: Vec<char> = chars[span.clone()].to_vec();
                chars.splice(span.start..span.start, copy);
            }
            Edit::CutLine(at) => {
                chars.drain(line(&chars, *at));
            }
            Edit::DuplicateLine(at) => {
                let span = line(&chars, *at);
                let copy: Vec<char> = chars[span.clone()].to_vec();
                chars.splice(span.start..span.start, copy);
            }
            Edit::Digit(at, c) => {
                let digits = || chars.iter().enumerate().filter(|(_, c)| c.is_ascii_digit());
                let n = digits().count().max(1);
                if let Some(at) = digits().nth(at % n).map(|(i, _)| i) {
                    chars[at] = *c;
                }
            }
        }
    }
    chars.into_iter().collect()
}

/// The range of the line around a position, including its line break.
fn line(chars: &[char], at: usize) -> std::ops::Range<usize> {
    let at = at % (chars.len() + 1);
    let start = chars[..at].iter().rposition(|c| *c == '\n').map_or(0, |i| i + 1);
    let end = chars[at..].iter().position(|c| *c == '\n').map_or(chars.len(), |i| at + i + 1);
    start..end
}

fn config(cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// Runs every parser on the text; returns whether it is a valid configuration.
fn parse_all(text: &str) -> bool {
    let _ = FileKind::of(text);
    let _ = Settings::parse(text).map_err(|err| (err.to_string(), err.line()));
    match Plan::parse(Generation(1), text) {
        Ok(plan) => {
            let _ = conf::warnings(&plan, text, Ms(1));
            let again = Fleet::parse(&plan.fleet.to_yaml())
                .expect("a serialized configuration can be parsed");
            assert_eq!(again, plan.fleet);
            true
        }
        Err(err) => {
            let _ = (err.to_string(), err.line());
            false
        }
    }
}

proptest! {
    #![proptest_config(config(3000))]

    #[test]
    fn a_mutated_configuration_never_panics(edits in prop::collection::vec(edit(), 1..6)) {
        parse_all(&apply(FLEET, &edits));
    }

    #[test]
    fn mutated_settings_never_panic(edits in prop::collection::vec(edit(), 1..6)) {
        parse_all(&apply(HOST, &edits));
    }

    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        parse_all(&text);
    }

    #[test]
    fn yaml_fragments_never_panic(parts in prop::collection::vec(prop::sample::select(FRAGMENTS), 0..60)) {
        parse_all(&parts.concat());
    }
}

/// The mutations are useful only if some of the resulting texts are valid and some are not.
#[test]
fn some_mutations_pass() {
    use proptest::strategy::ValueTree;
    let mut runner = proptest::test_runner::TestRunner::new(config(1));
    let strategy = prop::collection::vec(edit(), 1..3);
    let mut texts = (0..300).map(|_| {
        let edits = strategy.new_tree(&mut runner).expect("a value").current();
        apply(FLEET, &edits)
    });
    let passed = texts.by_ref().filter(|text| parse_all(text)).count();
    assert!((20..280).contains(&passed), "{passed} of 300 pass");
}
