//! Checks that the documentation lists exactly the fields of the configuration and the settings,
//! with their defaults.

use base::Generation;
use conf::{Plan, Settings};
use serde_json::Value;
use std::collections::BTreeMap;

/// Fields and defaults from the page's first table with the columns `| field | unit | default |`.
fn rows(page: &str) -> BTreeMap<String, String> {
    let table = page.lines().skip_while(|l| !l.starts_with("| field |")).skip(2);
    let rows = table.take_while(|l| l.starts_with('|')).map(|line| {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        assert!(!cells[2].is_empty() && !cells[4].is_empty(), "unit and meaning: {line}");
        (cells[1].trim_matches('`').to_owned(), cells[3].to_owned())
    });
    rows.collect()
}

/// Collects leaf fields by path, with `[]` for entries of a list.
fn flatten(at: &str, value: &Value, out: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                flatten(&at, value, out);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().for_each(|item| flatten(&format!("{at}[]"), item, out));
        }
        Value::Array(items) if items.is_empty() => {
            out.insert(at.to_owned(), "none".to_owned());
        }
        Value::Number(n) => {
            let text = n.to_string();
            out.insert(at.to_owned(), text.strip_suffix(".0").unwrap_or(&text).to_owned());
        }
        Value::String(text) => {
            out.insert(at.to_owned(), text.clone());
        }
        value => {
            out.insert(at.to_owned(), value.to_string());
        }
    }
}

fn fields<T: serde::Serialize>(value: &T) -> BTreeMap<String, String> {
    let mut out = BTreeMap::new();
    flatten("", &serde_json::to_value(value).expect("JSON"), &mut out);
    out
}

/// Compares a page with the fields in the code. `minimal` is a file with only the required fields
/// and `minimal_fields` what it parses to; `all` lists every field.
fn compare(page: &str, minimal: &str, minimal_fields: BTreeMap<String, String>, all: Vec<String>) {
    let rows = rows(page);
    let documented: Vec<_> = rows.keys().cloned().collect();
    assert_eq!(documented, all, "fields in the page and in the code");
    let mut wrong = Vec::new();
    for (field, default) in &rows {
        let name = field.rsplit(['.', ']']).next().unwrap_or(field);
        let given = minimal
            .lines()
            .any(|l| l.trim_start_matches([' ', '-']).starts_with(&format!("{name}:")));
        match (default.as_str(), minimal_fields.get(field)) {
            ("required", Some(_)) => assert!(given, "{field} has a default"),
            // A field without a default: the page describes in words what applies.
            (_, None) => assert!(!default.is_empty()),
            (default, Some(value)) if default == value => {}
            (default, Some(value)) => wrong.push(format!("{field}: {default}, not {value}")),
        }
    }
    assert!(wrong.is_empty(), "the page gives other defaults than the code: {wrong:?}");
}

#[test]
fn every_field_of_the_configuration_is_documented() {
    const MINIMAL: &str = "\
deployment: d
cost_weight: 0.5
regions:
  - name: r
    domains:
      - name: a
pools:
  - name: p
    kind: service
    targets:
      - name: t
        domain: a
        address: 127.0.0.1:1
workspaces:
  - name: w
pipelines:
  - name: l
    stages:
      - name: s
        pool: p
";
    const ALL: &str = "\
models:
  - name: m
exceptions:
  - name: e
    reason: because
    workspace: w
    pipeline: l
    until_ms: 1
    deadline_ms: 10
    priority: low
    placement: region
    weight: 2
";
    let parse = |yaml: &str| Plan::parse(Generation(1), yaml).expect("the text is valid").fleet;
    let stage = "        pool: p\n        model: m\n";
    let all = MINIMAL
        .replace("    address: 127.0.0.1:1\n", "    address: 127.0.0.1:1\n        models: [m]\n")
        .replace("        pool: p\n", stage)
        .replace(
            "  - name: l\n",
            "  - name: l\n    deadline_ms: 10\n    priority: low\n    placement: region\n",
        );
    let mut all: Vec<_> = fields(&parse(&format!("{all}{ALL}"))).into_keys().collect();
    // The page lists lists of names without brackets at the end of the path.
    all.iter_mut().for_each(|f| *f = f.trim_end_matches("[]").to_owned());
    let minimal =
        format!("{MINIMAL}models:\n  - name: m\nexceptions:\n  - name: e\n    reason: because\n");
    let mut given = fields(&parse(&format!("{minimal}    weight: 2\n")));
    // An exception must change at least one value, but no particular one is required.
    given.remove("exceptions[].weight");
    let page = include_str!("../../../docs/configuration.md");
    compare(page, &minimal, given, all);
}

#[test]
fn every_setting_is_documented() {
    const MINIMAL: &str = "\
host: h
domain: d
region: r
listen: 127.0.0.1:1
admin: 127.0.0.1:2
peer: 127.0.0.1:3
platform: 127.0.0.1:4
";
    let parse = |yaml: &str| Settings::parse(yaml).expect("the text is valid");
    let seeds = "seeds:\n  - host: x\n    domain: d\n    address: 127.0.0.1:5\n";
    let optional = "limits: {memory_mb: 64}\n";
    let all = fields(&parse(&format!("{MINIMAL}{seeds}{optional}"))).into_keys().collect();
    let page = include_str!("../../../docs/OPERATIONS.md");
    compare(page, &format!("{MINIMAL}{seeds}"), fields(&parse(&format!("{MINIMAL}{seeds}"))), all);
}
