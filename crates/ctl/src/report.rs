//! Reports that commands print, as text or as JSON with the same content.

use base::Generation;
use conf::{Fleet, Plan};
use serde::Serialize;
use std::fmt;
use wire::{Audit, FleetObject};

use crate::audit::format_records;
use crate::check::{Finding, findings};
use crate::{Applied, CtlError, Exit, FieldChange, Rollout, diff, with_generation_header};

/// Differences between a file and the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Differences {
    /// Generation that the file was compared with; zero if none is in force yet.
    pub generation: Generation,
    /// Each field that differs.
    pub changes: Vec<FieldChange>,
}

impl Differences {
    /// Checks `yaml` and compares it with `object`.
    pub fn of(yaml: &str, object: &FleetObject) -> Result<Self, CtlError> {
        let plan = Plan::parse(Generation(object.generation), yaml)?;
        let changes = match plan.generation {
            Generation(0) => Vec::new(),
            _ => diff(&Fleet::parse(&object.config)?, &plan.fleet),
        };
        Ok(Self { generation: plan.generation, changes })
    }

    /// Whether there is nothing to apply.
    pub fn is_empty(&self) -> bool {
        self.generation != Generation(0) && self.changes.is_empty()
    }
}

impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.generation, self.changes.len()) {
            (Generation(0), _) => return write!(f, "nothing is in force yet; all of it is new"),
            (generation, 0) => write!(f, "no differences from generation {generation}"),
            (generation, 1) => write!(f, "one difference from generation {generation}:"),
            (generation, n) => write!(f, "{n} differences from generation {generation}:"),
        }?;
        self.changes.iter().try_for_each(|change| write!(f, "\n  {change}"))
    }
}

/// Result of applying a file, and on how many hosts it is in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Accepted {
    /// The change; missing if the file equals the configuration in force, so that nothing was
    /// written.
    pub applied: Option<Applied>,
    /// The fields that it changed.
    pub differences: Differences,
    /// On how many hosts it is in force; missing if the command didn't wait for that.
    pub reach: Option<Rollout>,
}

impl Accepted {
    /// The generation whose content equals the file.
    pub fn generation(&self) -> Generation {
        self.applied.as_ref().map_or(self.differences.generation, |a| a.generation)
    }
}

impl fmt::Display for Accepted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.differences)?;
        match &self.applied {
            Some(a) => write!(f, "\ngeneration {} accepted, change {}", a.generation, a.change)?,
            None => write!(f, "\nnothing was written")?,
        }
        match &self.reach {
            Some(reach) => write!(f, "\n{reach}"),
            None => Ok(()),
        }
    }
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shown {
    /// Its generation.
    pub generation: Generation,
    /// Id of the change that created it.
    pub change: String,
    /// The YAML.
    pub config: String,
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(with_generation_header(&self.config, self.generation).trim_end())
    }
}

/// The audit trail.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct History {
    /// Records, newest first.
    pub records: Vec<Audit>,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_records(&self.records))
    }
}

/// A failed command, as printed with `--json`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// What failed and how to proceed.
    pub error: String,
    /// Faults of the file.
    pub faults: Vec<Finding>,
    /// Changes that other operators made in the meantime, oldest first.
    pub since: Vec<Audit>,
}

impl Failure {
    /// A failure outside this library, such as a file that can't be read.
    pub fn plain(error: String) -> Self {
        Self { exit: Exit::Failed, error, faults: Vec::new(), since: Vec::new() }
    }
}

impl From<&CtlError> for Failure {
    fn from(err: &CtlError) -> Self {
        let faults = match err {
            CtlError::Parse(err) => findings(err),
            _ => Vec::new(),
        };
        let since = match err {
            CtlError::Conflict { since, .. } => since.clone(),
            _ => Vec::new(),
        };
        Self { exit: err.exit(), error: err.to_string(), faults, since }
    }
}
