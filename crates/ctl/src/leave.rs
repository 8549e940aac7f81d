//! Marks a target as leaving, or removes the mark.

use base::{Ms, Version};
use serde::Serialize;
use std::fmt;
use store::{Api, Change, WriteOutcome};
use wire::{FleetObject, LeavingMark};

use crate::apply::write_with_retry;
use crate::source::NOT_YET_CREATED;
use crate::{ChangeNote, CtlError, WriteOptions, read_fleet};

/// Kind of the stored marks; each object is named after its target.
pub const LEAVING_KIND: &str = "leaving";

/// State of a target's mark after a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Marked {
    /// Name of the target.
    pub target: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// False if the target was in this state before.
    pub changed: bool,
    /// When it entered this state, ms since the Unix epoch.
    pub since_ms: u64,
}

impl fmt::Display for Marked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.leaving { "is leaving" } else { "takes work" };
        let how = if self.changed { "now" } else { "already" };
        write!(f, "target {} {what} {how}", self.target)
    }
}

/// Marks a declared target as leaving, or removes the mark if `leaving` is false.
///
/// A name that isn't declared is rejected: the mark would have no effect while the operator waits
/// for the target to drain.
pub async fn leave(
    api: &dyn Api,
    target: &str,
    leaving: bool,
    note: &ChangeNote<'_>,
) -> Result<Marked, CtlError> {
    note.check()?;
    let (_, object) = read_fleet(api).await?;
    check_declared(&object, target)?;
    let (version, before) = read_mark(api, target).await?;
    if before.leaving == leaving {
        let (target, since_ms) = (target.to_owned(), before.since_ms);
        return Ok(Marked { target, leaving, changed: false, since_ms });
    }
    let options = WriteOptions::fresh();
    let id = options.change;
    let mark = LeavingMark {
        target: target.to_owned(),
        // Hosts keep the mark with the highest time, so a new mark must be above the previous one
        // even if this machine's clock is behind.
        since_ms: note.at.max(Ms(before.since_ms) + Ms(1)).0,
        leaving,
        change: id.to_string(),
        who: note.who.to_owned(),
        why: note.why.to_owned(),
    };
    let body = serde_json::to_string(&mark)?;
    let change = Change { kind: LEAVING_KIND, name: target, expected: version, id, body: &body };
    match write_with_retry(api, change, options).await? {
        WriteOutcome::Committed(_) => {
            Ok(Marked { target: mark.target, leaving, changed: true, since_ms: mark.since_ms })
        }
        WriteOutcome::Conflict { .. } => Err(CtlError::MarkConflict(mark.target)),
        WriteOutcome::Unknown => Err(CtlError::OutcomeUnknown { change: id }),
    }
}

fn check_declared(object: &FleetObject, target: &str) -> Result<(), CtlError> {
    if object.generation == 0 {
        return Err(CtlError::NoConfiguration);
    }
    let fleet = conf::Fleet::parse(&object.config)?;
    match fleet.pools.iter().flat_map(|p| &p.targets).any(|t| t.name.as_str() == target) {
        true => Ok(()),
        false => Err(CtlError::NotDeclared { kind: "target", name: target.to_owned() }),
    }
}

async fn read_mark(api: &dyn Api, target: &str) -> Result<(Version, LeavingMark), CtlError> {
    match api.get(LEAVING_KIND, target).await? {
        Some(object) => Ok((Version(object.version), serde_json::from_str(&object.body)?)),
        None => Ok((NOT_YET_CREATED, LeavingMark::default())),
    }
}

/// Names of the targets that are marked as leaving, sorted.
pub async fn marked(api: &dyn Api) -> Result<Vec<String>, CtlError> {
    let mut names = Vec::new();
    for object in api.list(LEAVING_KIND).await?.objects {
        let mark: LeavingMark = serde_json::from_str(&object.body)?;
        if mark.leaving {
            names.push(mark.target);
        }
    }
    names.sort();
    Ok(names)
}
