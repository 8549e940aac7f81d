//! Explains which declaration determines each effective value, and why.

use base::{Generation, Ms};
use conf::{Exception, Plan, Source as Decider};
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt;

use crate::{CtlError, format_utc};

/// Effective values for one workspace and pipeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explained {
    /// Generation of the configuration; zero for a file.
    pub generation: Generation,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the pipeline.
    pub pipeline: String,
    /// Each field with the declaration that sets it.
    pub fields: Vec<Decided>,
}

/// One field with the declaration that sets it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Decided {
    /// Name of the field.
    pub field: &'static str,
    /// Effective value.
    pub value: Value,
    /// What sets the value: `default`, `pipeline`, `workspace` or `exception`.
    pub by: &'static str,
    /// The exception's name.
    pub exception: Option<String>,
    /// The exception's reason.
    pub reason: Option<String>,
    /// When the exception ends, ms since the Unix epoch.
    pub until_ms: Option<u64>,
}

/// Determines which default or exception sets each value at `now`.
pub fn explain(
    plan: &Plan,
    workspace: &str,
    pipeline: &str,
    now: Ms,
) -> Result<Explained, CtlError> {
    let unknown = |kind, name: &str| CtlError::NotDeclared { kind, name: name.to_owned() };
    let workspace_decl =
        plan.workspace(workspace).ok_or_else(|| unknown("workspace", workspace))?;
    let pipeline_decl = plan.pipeline(pipeline).ok_or_else(|| unknown("pipeline", pipeline))?;
    let effective = plan.effective(workspace_decl, pipeline_decl, now);
    let exceptions = &plan.fleet.exceptions;
    let fields = vec![
        decided(
            "deadline_ms",
            json!(effective.deadline_ms.0),
            &effective.deadline_ms.1,
            exceptions,
        ),
        decided("priority", json!(effective.priority.0), &effective.priority.1, exceptions),
        decided("placement", json!(effective.placement.0), &effective.placement.1, exceptions),
        decided("weight", json!(effective.weight.0), &effective.weight.1, exceptions),
    ];
    Ok(Explained {
        generation: plan.generation,
        workspace: workspace.to_owned(),
        pipeline: pipeline.to_owned(),
        fields,
    })
}

fn decided(field: &'static str, value: Value, by: &Decider, exceptions: &[Exception]) -> Decided {
    let (by, name) = match by {
        Decider::Default => ("default", None),
        Decider::Pipeline => ("pipeline", None),
        Decider::Workspace => ("workspace", None),
        Decider::Exception(name) => ("exception", Some(name)),
    };
    let exception = name.and_then(|name| exceptions.iter().find(|e| e.name == *name));
    Decided {
        field,
        value,
        by,
        exception: name.cloned(),
        reason: exception.map(|e| e.reason.clone()),
        until_ms: exception.and_then(|e| e.until_ms).map(|until| until.0),
    }
}

impl fmt::Display for Explained {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "workspace {}, pipeline {}", self.workspace, self.pipeline)?;
        match self.generation {
            Generation(0) => {}
            generation => write!(f, ", generation {generation}")?,
        }
        for d in &self.fields {
            write!(f, "\n  {}: {}", d.field, d.value.to_string().trim_matches('"'))?;
            match (&d.exception, &d.reason) {
                (Some(name), Some(reason)) => write!(f, ", by exception {name}: {reason}")?,
                _ => write!(f, ", by {}", d.by)?,
            }
            if let Some(until) = d.until_ms {
                write!(f, " (until {})", format_utc(Ms(until)))?;
            }
        }
        Ok(())
    }
}
