//! Changes the configuration in force by conditional writes to the platform.

use base::{ChangeId, Generation, Ms, Version};
use conf::{Fleet, Plan};
use serde::Serialize;
use store::{Api, Change, StoreError, WriteOutcome};
use tokio::time::Instant;
use wire::{Audit, FleetObject, Object};

use crate::audit::move_to_pages;
use crate::{CtlError, diff};

/// Kind and name of the configuration object.
const FLEET_OBJECT: (&str, &str) = ("fleet", "fleet");
/// Maximum length of an operator's name.
const MAX_WHO_CHARS: usize = 100;
/// Maximum length of a reason.
const MAX_WHY_CHARS: usize = 500;
/// Maximum number of fields that an audit record lists; the others are only counted.
const MAX_RECORD_FIELDS: usize = 20;
/// Maximum length of one field's text in an audit record.
const MAX_FIELD_CHARS: usize = 160;
/// Start of the first line of a configuration printed by `show`; the generation follows it.
const GENERATION_HEADER: &str = "# generation: ";

/// Who makes a change, why and when.
#[derive(Clone, Debug)]
pub struct ChangeNote<'a> {
    /// The operator.
    pub who: &'a str,
    /// The reason.
    pub why: &'a str,
    /// Time by the operator's clock.
    pub at: Ms,
}

impl ChangeNote<'_> {
    /// Requires a name and a reason, each with a maximum length that keeps the audit trail small.
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
    /// The generation that the change created.
    pub generation: Generation,
    /// Id of the change, as recorded in the audit trail.
    pub change: ChangeId,
}

/// Id of one write, and how long it is retried while its outcome is unknown.
#[derive(Clone, Copy, Debug)]
pub struct WriteOptions {
    /// Id of the change, by which the writer recognizes its own write. Must be unique.
    pub change: ChangeId,
    /// Time after which no further attempt to write and read back is started.
    pub retry_for: Ms,
    /// Time between two attempts.
    pub retry_pause: Ms,
}

impl WriteOptions {
    /// A new id and retries for five seconds: long enough to outlast a short outage, short enough
    /// for an operator to wait.
    pub fn fresh() -> Self {
        Self { change: ChangeId::fresh(), retry_for: Ms::secs(5), retry_pause: Ms(250) }
    }
}

/// The current configuration object and its version. Before the first change the object is empty
/// and the version zero.
pub async fn read_fleet(api: &dyn Api) -> Result<(Version, FleetObject), CtlError> {
    match api.get(FLEET_OBJECT.0, FLEET_OBJECT.1).await? {
        Some(object) => Ok((Version(object.version), serde_json::from_str(&object.body)?)),
        None => Ok((Version(0), FleetObject::default())),
    }
}

/// The generation in the first line of a configuration, from which it was read.
pub fn header_generation(yaml: &str) -> Option<Generation> {
    let line = yaml.lines().next()?.strip_prefix(GENERATION_HEADER)?;
    line.trim().parse().ok().map(Generation)
}

/// Adds or replaces the first line of a configuration that names its generation.
pub fn with_generation_header(yaml: &str, generation: Generation) -> String {
    let rest = match header_generation(yaml) {
        Some(_) => yaml.split_once('\n').map_or("", |(_, rest)| rest),
        None => yaml,
    };
    format!("{GENERATION_HEADER}{generation}\n{rest}")
}

/// Checks `yaml` and replaces generation `from` by it, with the audit record in the same write.
pub async fn apply(
    api: &dyn Api,
    yaml: &str,
    from: Option<Generation>,
    note: &ChangeNote<'_>,
) -> Result<Applied, CtlError> {
    apply_within(api, yaml, from, note, WriteOptions::fresh()).await
}

/// Like [`apply`], with a change id and retry limits given by the caller.
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
    let write = Change {
        kind: FLEET_OBJECT.0,
        name: FLEET_OBJECT.1,
        expected: version,
        id: change,
        body: &body,
    };
    match write_with_retry(api, write, options).await? {
        WriteOutcome::Committed(_) => Ok(Applied { generation, change }),
        WriteOutcome::Unknown => Err(CtlError::OutcomeUnknown { change }),
        WriteOutcome::Conflict { current: Some(object) } => {
            Err(conflict(now, &serde_json::from_str(&object.body)?))
        }
        WriteOutcome::Conflict { current: None } => {
            let (_, object) = read_fleet(api).await?;
            Err(conflict(now, &object))
        }
    }
}

/// Writes, and retries while the outcome is unknown, until it is known or the time in `options` is
/// over.
///
/// If a lost response were reported as a failure, the operator would apply again, and the change
/// would be recorded twice in the audit trail or would overwrite a colleague's change that was
/// accepted in between. Retrying is safe: the change's id in the object distinguishes the writer's
/// own change from others, even when newer changes follow it, and each attempt is the same
/// conditional write, which can take effect only once.
pub(crate) async fn write_with_retry(
    api: &dyn Api,
    write: Change<'_>,
    options: WriteOptions,
) -> Result<WriteOutcome, StoreError> {
    let end = Instant::now() + options.retry_for.duration();
    let mut result = store::write(api, write, is_own_write).await?;
    while result == WriteOutcome::Unknown && Instant::now() < end {
        tokio::time::sleep(options.retry_pause.duration()).await;
        result = match store::write(api, write, is_own_write).await {
            // This attempt wrote nothing, but an earlier one may have: a conflict may be with the
            // earlier attempt's own write, and a platform that is down now may have accepted it
            // before.
            Ok(WriteOutcome::Conflict { current: None }) | Err(_) => WriteOutcome::Unknown,
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

/// The changed fields for an audit record, each with its old and new value, truncated if long.
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
