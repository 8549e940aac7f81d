//! Adds field paths and line numbers to parse errors and faults.

use crate::source_map::SourceMap;
use crate::{Fault, FaultKind, ParseError};

impl ParseError {
    /// Converts a parser's error to a fault with field and line. The error is kept as it is if the
    /// text is not valid YAML or the field is not found.
    pub(crate) fn from_parser(err: serde_saphyr::Error, yaml: &str) -> Self {
        let Some(position) = err.location() else { return Self::Yaml(err) };
        let Some(source_map) = SourceMap::read(yaml) else { return Self::Yaml(err) };
        let Some(path) = source_map.path(position.line(), position.column()) else {
            return Self::Yaml(err);
        };
        let text = err.without_snippet().to_string();
        let message = text.rsplit_once(" at line ").map_or(text.as_str(), |(message, _)| message);
        let field = field(&path, message);
        let line = source_map.line(&field).or(Some(1));
        let kind = FaultKind::Value { text: message.to_owned(), hint: hint(message) };
        Self::Faults(vec![Fault { field, line, kind }])
    }

    /// Sets the lines of the faults, as far as they are found in `yaml`, and sorts the faults by
    /// line.
    pub(crate) fn locate(self, yaml: &str) -> Self {
        match (self, SourceMap::read(yaml)) {
            (Self::Faults(mut faults), Some(source_map)) => {
                for fault in &mut faults {
                    fault.line = source_map.line(&fault.field);
                }
                faults.sort_by_key(|fault| fault.line);
                Self::Faults(faults)
            }
            (err, _) => err,
        }
    }
}

/// Path of the field that the error is about. The parser reports a missing field at the position of
/// another field of the same map, so the last part of the path is replaced by the missing name.
fn field(path: &str, message: &str) -> String {
    let missing = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
    match (missing, path.rsplit_once('.')) {
        (Some(name), Some((parent, _))) => format!("{parent}.{name}"),
        (Some(name), None) => name.to_owned(),
        (None, _) => path.to_owned(),
    }
}

/// How to correct the value, where the parser's message doesn't tell.
fn hint(message: &str) -> &'static str {
    match () {
        () if message.starts_with("missing field") => "; add it",
        () if message.starts_with("invalid u") => "; give a whole number, zero or more",
        () if message.starts_with("invalid f") => "; give a number",
        () if message.contains("bool") => "; give true or false",
        () if message.contains("socket address") => "; give an IP number and a port",
        () => "",
    }
}
