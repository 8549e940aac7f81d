//! Changing the configuration in force.

use base::{ChangeId, Generation, Ms, Version};
use conf::{Fleet, Plan};
use serde::Serialize;
use store::{Api, Change, StoreError, Written};
use tokio::time::Instant;
use wire::{Audit, FleetObject, Object};

use crate::audit::move_to_pages;
use crate::{CtlError, diff};

/// Kind and name of the configuration's object.
const OBJECT: (&str, &str) = ("fleet", "fleet");
/// Most characters of an operator's name.
const MAX_WHO_CHARS: usize = 100;
/// Most characters of a reason.
const MAX_WHY_CHARS: usize = 500;
/// Most fields that an audit record names; a change of more is told by their count.
const MAX_RECORD_FIELDS: usize = 20;
/// Most characters of one field in an audit record.
const MAX_FIELD_CHARS: usize = 160;
/// First line of a configuration that `show` gives: the generation that it was read from.
const GENERATION_HEADER: &str = "# generation: ";

/// Who changes, why and when.
#[derive(Clone, Debug)]
pub struct ChangeNote<'a> {
    /// The operator.
    pub who: &'a str,
    /// The reason.
    pub why: &'a str,
    /// The operator's clock.
    pub at: Ms,
}

impl ChangeNote<'_> {
    /// Insists on a name and a reason, each of a length that keeps the audit trail small.
    pub(crate) fn check(&self) -> Result<(), CtlError> {
        let valid = |text: &str, most| !text.trim().is_empty() && text.chars().count() <= most;
        match () {
            () if !valid(self.who, MAX_WHO_CHARS) => {
                Err(CtlError::InvalidNote { field: "who", most: MAX_WHO_CHARS })
            }
            () if !valid(self.why, MAX_WHY_CHARS) => {
                Err(CtlError::InvalidNote { field: "why", most: MAX_WHY_CHARS })
            }
            () => Ok(()),
        }
    }
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// The generation that is now accepted.
    pub generation: Generation,
    /// The change's id, as the audit trail has it.
    pub change: ChangeId,
}

/// One write: its id, and how long it is asked after while its outcome is open.
#[derive(Clone, Copy, Debug)]
pub struct WriteOptions {
    /// The change's id, by which the writer knows its own write again. Never used twice.
    pub change: ChangeId,
    /// No new try of the write and the reading back begins after this, ms.
    pub retry_for: Ms,
    /// Time between two tries, ms.
    pub retry_pause: Ms,
}

impl WriteOptions {
    /// A fresh id and five seconds: an outage of a moment is waited out, and an operator isn't
    /// left hanging.
    pub fn fresh() -> Self {
        Self { change: ChangeId::fresh(), retry_for: Ms::secs(5), retry_pause: Ms(250) }
    }
}

/// The configuration object as it is, and its version; empty at version zero before the first.
pub async fn read_fleet(api: &dyn Api) -> Result<(Version, FleetObject), CtlError> {
    match api.get(OBJECT.0, OBJECT.1).await? {
        Some(object) => Ok((Version(object.version), serde_json::from_str(&object.body)?)),
        None => Ok((Version(0), FleetObject::default())),
    }
}

/// The generation that a configuration's first line says it was read from.
pub fn header_generation(yaml: &str) -> Option<Generation> {
    let line = yaml.lines().next()?.strip_prefix(GENERATION_HEADER)?;
    line.trim().parse().ok().map(Generation)
}

/// A configuration with a first line that says which generation it is.
pub fn with_generation_header(yaml: &str, generation: Generation) -> String {
    let rest = match header_generation(yaml) {
        Some(_) => yaml.split_once('\n').map_or("", |(_, rest)| rest),
        None => yaml,
    };
    format!("{GENERATION_HEADER}{generation}\n{rest}")
}

/// Checks `yaml` and puts it in the place of generation `from`, with its audit record in the
/// same write.
pub async fn apply(
    api: &dyn Api,
    yaml: &str,
    from: Option<Generation>,
    note: &ChangeNote<'_>,
) -> Result<Applied, CtlError> {
    apply_within(api, yaml, from, note, WriteOptions::fresh()).await
}

/// As [`apply`], with an id of the caller's and a bound on how long a lost answer is asked after.
pub async fn apply_within(
    api: &dyn Api,
    yaml: &str,
    from: Option<Generation>,
    note: &ChangeNote<'_>,
    options: WriteOptions,
) -> Result<Applied, CtlError> {
    note.check()?;
    let (version, mut object) = read_fleet(api).await?;
    let now = Generation(object.generation);
    match from {
        Some(expected) if expected < now => return Err(conflict(expected, &object)),
        Some(expected) if expected > now => return Err(CtlError::Stale { expected, now }),
        _ => {}
    }
    let generation = now.next();
    let plan = Plan::parse(generation, yaml)?;
    let change = options.change;
    move_to_pages(api, &mut object).await?;
    object.audit.push(Audit {
        from: now.0,
        to: generation.0,
        change: change.to_string(),
        who: note.who.to_owned(),
        why: note.why.to_owned(),
        at_ms: note.at.0,
        fields: changed_fields(&object.config, &plan.fleet),
    });
    object.generation = generation.0;
    object.change = change.to_string();
    object.config = yaml.to_owned();
    let body = serde_json::to_string(&object)?;
    let write =
        Change { kind: OBJECT.0, name: OBJECT.1, expected: version, id: change, body: &body };
    match write_with_retry(api, write, options).await? {
        Written::Done(_) => Ok(Applied { generation, change }),
        Written::Open => Err(CtlError::OutcomeUnknown { change }),
        Written::Lost { now: Some(object) } => {
            Err(conflict(now, &serde_json::from_str(&object.body)?))
        }
        Written::Lost { now: None } => {
            let (_, object) = read_fleet(api).await?;
            Err(conflict(now, &object))
        }
    }
}

/// Writes, and asks after a lost answer until it is found, or `settle` runs out.
///
/// Without this an operator who is told "failed" applies again, and the change stands twice in
/// the trail, or comes back over a colleague's that was accepted in between. The change's id in
/// the object tells the writer's own change from another's, also below newer ones; and each try
/// is the same conditional write, which can take effect once only.
pub(crate) async fn write_with_retry(
    api: &dyn Api,
    write: Change<'_>,
    options: WriteOptions,
) -> Result<Written, StoreError> {
    let end = Instant::now() + options.retry_for.duration();
    let mut result = store::write(api, write, is_own_write).await?;
    while result == Written::Open && Instant::now() < end {
        tokio::time::sleep(options.retry_pause.duration()).await;
        result = match store::write(api, write, is_own_write).await {
            // Nothing of this round was written. But a conflict may be with the first round's own
            // write, and a platform that is out now may have taken that one.
            Ok(Written::Lost { now: None }) | Err(_) => Written::Open,
            Ok(written) => written,
        };
    }
    Ok(result)
}

fn is_own_write(object: &Object, id: ChangeId) -> bool {
    object.body.contains(&id.to_string())
}

fn conflict(expected: Generation, object: &FleetObject) -> CtlError {
    let since = object.audit.iter().filter(|a| a.to > expected.0).cloned().collect();
    CtlError::Conflict { expected, now: Generation(object.generation), since }
}

/// What an audit record says about the fields: each with its old and new value, cut where long.
fn changed_fields(before: &str, after: &Fleet) -> Vec<String> {
    let Ok(before) = Fleet::parse(before) else { return vec!["first configuration".to_owned()] };
    let changes = diff(&before, after);
    let mut out: Vec<String> =
        changes.iter().take(MAX_RECORD_FIELDS).map(|c| shorten(&c.to_string())).collect();
    if changes.len() > MAX_RECORD_FIELDS {
        out.push(format!("and {} more", changes.len() - MAX_RECORD_FIELDS));
    }
    out
}

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_FIELD_CHARS) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text.to_owned(),
    }
}
