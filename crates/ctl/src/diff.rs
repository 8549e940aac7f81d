//! Compares two configurations field by field.

use conf::Fleet;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// One field that differs. At least one of the two values is present.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field: names of list entries joined by dots, such as
    /// `pipelines.sign-off.deadline_ms`.
    pub field: String,
    /// Old value; missing if the field was added.
    pub from: Option<Value>,
    /// New value; missing if the field was removed.
    pub to: Option<Value>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "{}: {} -> {}", self.field, Plain(from), Plain(to)),
            (None, Some(to)) => write!(f, "{}: added {}", self.field, Plain(to)),
            (Some(from), None) => write!(f, "{}: removed, was {}", self.field, Plain(from)),
            (None, None) => f.write_str(&self.field),
        }
    }
}

/// Displays a value for text output: strings without quotes, all else as JSON.
struct Plain<'a>(&'a Value);

impl fmt::Display for Plain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Value::String(text) => f.write_str(text),
            value => write!(f, "{value}"),
        }
    }
}

/// All fields that differ. Effective values are compared, so a default that is written out is not
/// a difference.
pub fn diff(from: &Fleet, to: &Fleet) -> Vec<FieldChange> {
    let mut out = Vec::new();
    // NaN can't be represented in JSON, but validation has rejected it.
    let from = serde_json::to_value(from).unwrap_or_default();
    let to = serde_json::to_value(to).unwrap_or_default();
    compare("", Some(&from), Some(&to), &mut out);
    out
}

fn compare(path: &str, from: Option<&Value>, to: Option<&Value>, out: &mut Vec<FieldChange>) {
    match (from, to) {
        (Some(a), Some(b)) if a == b => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => compare_objects(path, a, b, out),
        (Some(Value::Array(a)), Some(Value::Array(b))) if all_named(a) && all_named(b) => {
            compare_lists(path, a, b, out);
        }
        (from, to) => {
            let (from, to) = (from.cloned(), to.cloned());
            out.push(FieldChange { field: path.to_owned(), from, to });
        }
    }
}

fn compare_objects(
    path: &str,
    a: &Map<String, Value>,
    b: &Map<String, Value>,
    out: &mut Vec<FieldChange>,
) {
    let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for key in keys {
        compare(&join(path, key), a.get(key), b.get(key), out);
    }
}

/// Compares lists of named entries by name, so that a new entry at the front isn't reported as a
/// change of every entry.
fn compare_lists(path: &str, a: &[Value], b: &[Value], out: &mut Vec<FieldChange>) {
    let (before, after) = (by_name(a), by_name(b));
    for item in a {
        let key = name(item).unwrap_or_default();
        compare(&join(path, key), Some(item), after.get(key).copied(), out);
    }
    for item in b {
        let key = name(item).unwrap_or_default();
        if !before.contains_key(key) {
            compare(&join(path, key), None, Some(item), out);
        }
    }
    let order = |list: &[Value], other: &HashMap<&str, &Value>| -> Vec<Value> {
        let both = list.iter().filter_map(name).filter(|key| other.contains_key(key));
        both.map(Value::from).collect()
    };
    // The order has a meaning for stages, and for exceptions that match equally well.
    let (from, to) = (order(a, &after), order(b, &before));
    if from != to {
        let field = format!("{path} (order)");
        out.push(FieldChange { field, from: Some(from.into()), to: Some(to.into()) });
    }
}

fn by_name(list: &[Value]) -> HashMap<&str, &Value> {
    list.iter().filter_map(|v| Some((name(v)?, v))).collect()
}

fn all_named(list: &[Value]) -> bool {
    list.iter().all(|v| name(v).is_some())
}

fn name(value: &Value) -> Option<&str> {
    value.get("name")?.as_str()
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
