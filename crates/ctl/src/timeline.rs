//! Reconstructs what happened to one request from the log lines of all hosts.

use serde::Serialize;
use serde_json::{Map, Value};
use std::fmt;

/// Fields that every line has and that a step holds in fields of its own, or the timeline as a
/// whole.
const COMMON_FIELDS: [&str; 3] = ["event", "name", "request"];

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Time of the line, by the host's clock.
    pub time: String,
    /// The host or file that the line is from.
    pub source: String,
    /// Number of the event.
    pub event: u64,
    /// Name of the event.
    pub name: String,
    /// The event's other fields.
    pub fields: Map<String, Value>,
}

/// All steps of a request, sorted by time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub request: String,
    /// The steps, sorted by time.
    pub steps: Vec<Step>,
}

/// Collects the steps of a request from log lines, given as pairs of file name and line. A line's
/// source is the last word before its JSON, such as a host name, or else the file name. Lines of
/// other requests and malformed lines are skipped.
pub fn timeline<'a>(request: &str, lines: impl Iterator<Item = (&'a str, &'a str)>) -> Timeline {
    let mut steps: Vec<Step> = lines.filter_map(|(file, line)| step(request, file, line)).collect();
    steps.sort_by(|a, b| a.time.cmp(&b.time));
    Timeline { request: request.to_owned(), steps }
}

/// Parses the JSON of a log line; text before it, such as a host name, is ignored.
pub(crate) fn json_line(line: &str) -> Option<Value> {
    serde_json::from_str(line.get(line.find('{')?..)?).ok()
}

fn step(request: &str, file: &str, line: &str) -> Option<Step> {
    let before = line.split('{').next()?;
    let line = json_line(line)?;
    let fields = line.get("fields")?.as_object()?;
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let source = match before.split_whitespace().last() {
        Some(host) => host.to_owned(),
        None => file.to_owned(),
    };
    let shown = fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    Some(Step {
        time: line.get("timestamp")?.as_str()?.to_owned(),
        source,
        event: fields.get("event")?.as_u64()?,
        name: fields.get("name")?.as_str()?.to_owned(),
        fields: shown.map(|(name, value)| (name.clone(), value.clone())).collect(),
    })
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.steps.len() {
            0 => return write!(f, "no line names request {}", self.request),
            1 => write!(f, "request {}, one step", self.request)?,
            steps => write!(f, "request {}, {steps} steps", self.request)?,
        }
        for step in &self.steps {
            let Step { time, source, event, name, fields } = step;
            write!(f, "\n  {time} {source} {event} {name}")?;
            for (name, value) in fields {
                match value.as_str() {
                    Some(text) => write!(f, " {name}={text}")?,
                    None => write!(f, " {name}={value}")?,
                }
            }
        }
        Ok(())
    }
}
