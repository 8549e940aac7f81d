//! Checks a file before it is applied.

use base::{Generation, Ms};
use conf::{Fault, FileKind, ParseError, Plan, Settings};
use serde::Serialize;
use std::fmt;

use crate::CtlError;

/// Result of a check that found no faults.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Checked {
    /// Short summary of what the file declares.
    pub summary: String,
    /// Declarations that are valid but probably unintended.
    pub warnings: Vec<Finding>,
}

/// A fault or warning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Path of the field; empty if the text is not YAML or doesn't have the expected structure.
    pub field: String,
    /// Line in the file, counted from 1, if known.
    pub line: Option<u64>,
    /// Description of the fault and how to fix it.
    pub text: String,
}

impl From<&Fault> for Finding {
    fn from(fault: &Fault) -> Self {
        Self { field: fault.field.clone(), line: fault.line, text: fault.kind.to_string() }
    }
}

/// All faults of a file.
pub fn findings(err: &ParseError) -> Vec<Finding> {
    match err {
        ParseError::Faults(faults) => faults.iter().map(Finding::from).collect(),
        ParseError::Yaml(text) => {
            let text = text.without_snippet().to_string();
            vec![Finding { field: String::new(), line: err.line(), text }]
        }
    }
}

/// Checks a file of the given kind, or else of the kind that its fields show. Exceptions that have
/// ended at `now` give warnings.
pub fn check(yaml: &str, kind: Option<FileKind>, now: Ms) -> Result<Checked, CtlError> {
    match kind.or_else(|| FileKind::of(yaml)) {
        Some(FileKind::Settings) => {
            let settings = Settings::parse(yaml)?;
            let summary = format!("settings of host {} in {}", settings.host, settings.domain);
            Ok(Checked { summary, warnings: Vec::new() })
        }
        Some(FileKind::Fleet) => {
            let plan = Plan::parse(Generation(0), yaml)?;
            let warnings = conf::warnings(&plan, yaml, now).iter().map(Finding::from).collect();
            Ok(Checked { summary: summary(&plan), warnings })
        }
        // The parser's error has the line at which the text stops being valid YAML.
        None => match conf::Fleet::parse(yaml) {
            Err(err) if !is_yaml(yaml) => Err(err.into()),
            _ => Err(CtlError::FileKind),
        },
    }
}

fn is_yaml(yaml: &str) -> bool {
    serde_saphyr::from_str::<serde::de::IgnoredAny>(yaml).is_ok()
}

fn summary(plan: &Plan) -> String {
    let fleet = &plan.fleet;
    format!(
        "configuration of {}: pools {}, targets {}, workspaces {}, pipelines {}, exceptions {}",
        fleet.deployment,
        fleet.pools.len(),
        plan.targets.len(),
        fleet.workspaces.len(),
        fleet.pipelines.len(),
        fleet.exceptions.len(),
    )
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ok: {}", self.summary)?;
        for w in &self.warnings {
            match w.line {
                Some(line) => write!(f, "\nwarning: line {line}: {}: {}", w.field, w.text)?,
                None => write!(f, "\nwarning: {}: {}", w.field, w.text)?,
            }
        }
        Ok(())
    }
}
