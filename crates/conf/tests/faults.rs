//! Checks that each fault of a configuration is reported with its field, its line and how to correct
//! it.

use base::{Generation, Ms};
use conf::{ParseError, Plan, Settings};

/// A small valid configuration. Each test case breaks one part of it.
const FLEET: &str = "\
deployment: small
cost_weight: 0.5
defaults:
  deadline_ms: 9000
  placement: anywhere
  retry_share: 0.1
  hedge_share: 0.05
regions:
  - name: west
    domains:
      - name: west-a
      - name: west-b
models:
  - name: org/writer:8b
    cost_in: 0.5
pools:
  - name: engines
    kind: engine
    targets:
      - name: engine-1
        domain: west-a
        address: 127.0.0.1:21001
        models: [org/writer:8b]
      - name: engine-2
        domain: west-b
        address: 127.0.0.1:21002
  - name: register
    kind: service
    cost_call: 0.1
    targets:
      - name: register-1
        domain: west-a
        address: 127.0.0.1:21003
        slots: 4
workspaces:
  - name: painters
    weight: 2
pipelines:
  - name: sign-off
    deadline_ms: 6000
    stages:
      - name: write
        pool: engines
        model: org/writer:8b
        typical_ms: 400
        least_ms: 100
      - name: sign
        pool: register
        repeatable: false
        typical_ms: 20
        least_ms: 20
exceptions:
  - name: sun
    reason: Paint dries.
    workspace: painters
    deadline_ms: 3000
";

/// All faults after the first occurrence of `from` is replaced by `to`.
fn faults(from: &str, to: &str) -> String {
    assert!(FLEET.contains(from), "{from}");
    match Plan::parse(Generation(1), &FLEET.replacen(from, to, 1)) {
        Ok(_) => "none".to_owned(),
        Err(err @ ParseError::Faults(_)) => err.to_string(),
        Err(ParseError::Yaml(err)) => err.without_snippet().to_string(),
    }
}

#[test]
fn the_small_configuration_is_valid() {
    assert_eq!(faults("small", "small"), "none");
}

#[test]
fn what_cannot_work_is_refused_with_its_line() {
    let cases = [
        ("deployment: small", "deployment: ''"),
        ("cost_weight: 0.5", "cost_weight: 1.5"),
        ("cost_weight: 0.5", "cost_weight: .nan"),
        ("retry_share: 0.1", "retry_share: -0.1"),
        ("retry_share: 0.1", "retry_share: 0.96"),
        ("hedge_share: 0.05", "hedge_share: .inf"),
        ("deadline_ms: 9000", "deadline_ms: 0"),
        ("deadline_ms: 9000", "deadline_ms: 18446744073709551615"),
        ("placement: anywhere", "queue_len: 0"),
        ("- name: west-b", "- name: west-a"),
        ("- name: west\n", "- name: ../west\n"),
        ("- name: org/writer:8b", "- name: org/writer"),
        ("cost_in: 0.5", "cost_in: -1"),
        ("cost_call: 0.1", "cost_call: .nan"),
        ("- name: engine-2", "- name: engine-1"),
        ("domain: west-b", "domain: east"),
        ("127.0.0.1:21002", "127.0.0.1:21001"),
        ("127.0.0.1:21002", "engine-2.example:80"),
        ("127.0.0.1:21002", "127.0.0.1:0"),
        ("slots: 4", "slots: 0"),
        ("models: [org/writer:8b]", "slots: 1"),
        ("- name: painters", "- name: the painters"),
        ("- name: painters", "- name: ''"),
        ("weight: 2", "weight: 0"),
        ("weight: 2", "weight: .inf"),
        ("- name: sign-off", "- name: sign/off"),
        ("deadline_ms: 6000", "deadline_ms: 119"),
        ("pool: register", "pool: registers"),
        ("model: org/writer:8b", "model: other"),
        ("least_ms: 100", "least_ms: 401"),
        ("- name: sign\n", "- name: write\n"),
        ("repeatable: false", "max_tokens: 0"),
        ("reason: Paint dries.", "reason: ' '"),
        ("    reason: Paint dries.\n", ""),
        ("workspace: painters", "workspace: painter"),
        ("workspace: painters", "pipeline: sign-on"),
        ("    deadline_ms: 3000\n", ""),
        ("deadline_ms: 3000", "deadline_ms: 100"),
        ("deadline_ms: 3000", "weight: -1"),
        ("deadline_ms: 3000", "deadline: 3000"),
        ("deadline_ms: 3000", "deadline_ms: soon"),
        ("deadline_ms: 3000", "priority: urgent"),
        ("repeatable: false", "repeatable: maybe"),
        ("weight: 2", "weight: heavy"),
        ("        domain: west-b\n", ""),
        ("deployment: small\n", ""),
        ("deployment: small", "deployment: small: ["),
    ];
    let messages: Vec<_> =
        cases.iter().map(|(from, to)| format!("{to:?}\n{}\n", faults(from, to))).collect();
    insta::assert_snapshot!(messages.join("\n"));
}

#[test]
fn all_faults_are_reported_not_only_the_first() {
    let yaml = FLEET.replace("weight: 2", "weight: 0").replace("slots: 4", "slots: 0");
    let Err(ParseError::Faults(faults)) = Plan::parse(Generation(1), &yaml) else {
        panic!("two faults are expected");
    };
    let lines: Vec<_> = faults.iter().map(|f| f.line).collect();
    assert_eq!(lines, [Some(34), Some(37)]);
}

#[test]
fn a_stage_without_targets_is_refused() {
    let messages = faults("        models: [org/writer:8b]\n", "");
    assert_eq!(
        messages,
        "line 41: pipelines.sign-off.stages[0]: no target of pool 'engines' can run this stage; \
         add one or give one the model"
    );
}

/// Expired exceptions and tight deadlines are reported as warnings only. A host that restarts must
/// still accept the configuration that was accepted the day before.
#[test]
fn warnings_do_not_refuse() {
    let yaml = FLEET
        .replace("deadline_ms: 3000", "deadline_ms: 3000\n    until_ms: 1000")
        .replace("deadline_ms: 6000", "deadline_ms: 300")
        .replace("placement: anywhere", "placement: domain");
    let plan = Plan::parse(Generation(1), &yaml).expect("warnings only");
    let messages: Vec<_> =
        conf::warnings(&plan, &yaml, Ms(1000)).iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(messages.join("\n"));
    assert_eq!(conf::warnings(&plan, &yaml, Ms(999)).len(), messages.len() - 1);
}

#[test]
fn settings_are_refused_with_field_and_line() {
    const HOST: &str = "host: a\ndomain: b\nregion: c\nlisten: 127.0.0.1:1\nadmin: 127.0.0.1:2\n\
                        peer: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";
    assert!(Settings::parse(HOST).is_ok());
    let cases = [
        "drain: 5\n",
        "limits:\n  header_bytes: 1\n",
        "limits:\n  connexions: 1\n",
        "journal:\n  window_ms: 1\n  shards: 0\n",
        "rates:\n  gossip_ms: 1000\n  suspect_ms: 1000\n",
        "silence: {peer_ms: 0}\n",
        "seeds: [{host: x}]\n",
        "seeds: [{host: x, domain: b, address: x:1}]\n",
        "drain_ms: -1\n",
        "host: b\n",
    ];
    let messages: Vec<_> = cases
        .iter()
        .map(|more| {
            let err = Settings::parse(&format!("{HOST}{more}")).expect_err("it is refused");
            let err = match err {
                ParseError::Yaml(err) => err.without_snippet().to_string(),
                err => err.to_string(),
            };
            // The list of known fields is covered by the test of the documentation.
            let err = err.split(", expected one of").next().unwrap_or_default();
            format!("{more}{err}\n")
        })
        .collect();
    insta::assert_snapshot!(messages.join("\n"));
}
