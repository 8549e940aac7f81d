//! Attribution of late requests to causes.

use ctl::{Cause, account};

/// The log line of a served request. `times` are the end of the stages and the first event in ms,
/// and the number of runs; the line stands for `stands_for` requests.
fn served(request: &str, route: &str, times: [u64; 3], late: u64, stands_for: u64) -> String {
    let [stages, first, runs] = times;
    format!(
        r#"  7.09 edge-thies-1 {{"timestamp":"2026-05-10T15:20:0{}.200Z","level":"INFO","fields":{{"event":205,"name":"RequestServed","request":"{request}","route":"{route}","runs":{runs},"first_ms":{first},"stages_ms":{stages},"took_ms":{first},"late_ms":{late},"stands_for":{stands_for}}},"target":"edge::relay"}}"#,
        runs
    )
}

fn line(name: &str, fields: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-05-10T15:20:00.100Z","level":"INFO","fields":{{"event":1,"name":"{name}",{fields}}},"target":"t"}}"#
    )
}

fn sample_lines() -> Vec<String> {
    vec![
        served("a", "note", [900, 1_000, 1], 0, 16),
        served("b", "note", [950, 1_050, 1], 0, 16),
        served("c", "note", [2_400, 2_500, 1], 600, 0),
        served("d", "note", [900, 2_600, 1], 700, 0),
        served("e", "note", [3_000, 3_100, 1], 1_200, 0),
        served("f", "note", [900, 3_000, 2], 1_100, 1),
        line("StageRedone", r#""request":"e","stage":2"#),
        line("RequestRefused", r#""request":"g","reason":"stages""#),
        line("RequestRefused", r#""request":"h","reason":"unproved""#),
        line("StageFailed", r#""request":"g","fault":"late""#),
        line("StreamLeft", r#""request":"i""#),
        "a line of another program {".into(),
    ]
}

#[test]
fn each_late_request_has_one_cause() {
    let lines = sample_lines();
    let account = account(lines.iter().map(String::as_str));
    let note = &account.routes["note"];
    let causes: Vec<(Cause, u64)> = note.causes.iter().map(|(c, n)| (*c, *n)).collect();
    let wanted =
        [(Cause::Redone, 1), (Cause::SentAgain, 1), (Cause::Stages, 1), (Cause::Engine, 1)];
    assert_eq!(causes, wanted);
    assert_eq!((note.served, note.late), (33, 4), "sampled lines stand for others");
    assert_eq!(note.spans.values().sum::<u64>(), note.late);
}

#[test]
fn table_lists_causes_by_route() {
    let lines = sample_lines();
    insta::assert_snapshot!(account(lines.iter().map(String::as_str)).to_string());
}

#[test]
fn late_request_without_stages_is_attributed_to_its_target() {
    let fields = r#""request":"p","route":"read","took_ms":900,"late_ms":700,"stands_for":1"#;
    let lines = [line("RequestServed", fields)];
    let account = account(lines.iter().map(String::as_str));
    assert_eq!(account.routes["read"].causes[&Cause::Target], 1);
}
