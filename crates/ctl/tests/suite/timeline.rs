//! The timeline of one request from the log lines of several hosts.

use ctl::timeline;

const LATER: &str = r#"{"timestamp":"2026-05-10T15:20:00.200Z","level":"INFO","fields":{"event":205,"name":"RequestServed","request":"r1","target":"i-7","took_ms":812},"target":"edge::relay"}"#;
const EARLIER: &str = r#"{"timestamp":"2026-05-10T15:20:00.100Z","level":"WARN","fields":{"event":303,"name":"AttemptFailed","request":"r1","target":"i-3","fault":"broken"},"target":"edge::relay"}"#;
const OTHER: &str = r#"{"timestamp":"2026-05-10T15:20:00.150Z","level":"INFO","fields":{"event":200,"name":"RequestRefused","request":"r2"},"target":"edge::request"}"#;

#[test]
fn steps_of_all_hosts_are_sorted_by_time() {
    let prefixed = format!("   7.0938 edge-thies-1 {EARLIER}");
    let lines = [("dakar.log", LATER), ("all.log", prefixed.as_str()), ("all.log", OTHER)];
    let output = timeline("r1", lines.into_iter()).to_string();
    let wanted = "request r1, 2 steps\n  \
                  2026-05-10T15:20:00.100Z edge-thies-1 303 AttemptFailed fault=broken target=i-3\n  \
                  2026-05-10T15:20:00.200Z dakar.log 205 RequestServed target=i-7 took_ms=812";
    assert_eq!(output, wanted);
}

#[test]
fn malformed_lines_are_skipped() {
    let lines = ["", "{", "{}", "{\"fields\":[]}", "text {\"fields\":{\"request\":\"r1\"}}"];
    let output = timeline("r1", lines.into_iter().map(|l| ("f", l)));
    assert!(output.steps.is_empty());
    assert_eq!(output.to_string(), "no line names request r1");
}
