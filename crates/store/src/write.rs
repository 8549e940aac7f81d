//! A conditional write that finds out whether it took effect, or reports that this is unknown.

use base::{ChangeId, Ms, Version};
use wire::Object;

use crate::{Api, StoreError};

/// A conditional write, with an id by which it is recognised when the object is read back.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// Kind of the object.
    pub kind: &'a str,
    /// Its name.
    pub name: &'a str,
    /// The version that the object must have; zero if it must not exist yet.
    pub expected: Version,
    /// Identifies this write; chosen by the writer and contained in `body`.
    pub id: ChangeId,
    /// The new content.
    pub body: &'a str,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect, and the object is at this version.
    Committed(Version),
    /// Another writer was first: this write did not take effect and never will.
    Conflict {
        /// The current object, if it could be read.
        current: Option<Object>,
    },
    /// The write may have taken effect, or may still do so later.
    Unknown,
}

/// Attempts to find out the outcome before it is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;
/// Longest back-off before the second attempt, ms; four times as long before each further one.
const BACKOFF_MS: u64 = 20;

/// Writes, and reads the object back if the response is lost, to find out what happened.
///
/// A lost response leaves open whether the write took effect. `has_change` tells whether an object
/// that is read back contains the change with this id. It must also hold for every later version
/// that builds on this write; otherwise the write would look lost after another writer's next
/// change.
///
/// While the object is still at the expected version, the write may only be delayed and take effect
/// later. The same conditional write is then sent again. It can't take effect twice, since the
/// first one to take effect raises the version. Reads may be stale: an object at the expected
/// version, or below a version that was seen, proves nothing.
pub async fn write(
    api: &dyn Api,
    change: Change<'_>,
    has_change: impl Fn(&Object, ChangeId) -> bool,
) -> Result<WriteOutcome, StoreError> {
    let Change { kind, name, expected, id, body } = change;
    let (mut unanswered, mut conflicted, mut newest_seen) = (false, false, expected.next());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(backoff(id, attempt).duration()).await;
        }
        // A version that has passed never comes back: there is nothing more to send then.
        let sent = if conflicted { None } else { Some(api.put(kind, name, expected, body).await) };
        match sent {
            None => {}
            Some(Ok(version)) => return Ok(WriteOutcome::Committed(version)),
            Some(Err(StoreError::Conflict { current })) => {
                conflicted = true;
                newest_seen = newest_seen.max(current);
            }
            Some(Err(StoreError::OutcomeUnknown)) => unanswered = true,
            Some(Err(err)) if !unanswered => return Err(err),
            Some(Err(_)) => {}
        }
        match api.get(kind, name).await {
            Ok(Some(object)) if has_change(&object, id) => {
                return Ok(WriteOutcome::Committed(Version(object.version)));
            }
            Ok(Some(object)) if object.version >= newest_seen.0 => {
                return Ok(WriteOutcome::Conflict { current: Some(object) });
            }
            Ok(_) | Err(_) => {}
        }
    }
    Ok(if conflicted && !unanswered {
        WriteOutcome::Conflict { current: None }
    } else {
        WriteOutcome::Unknown
    })
}

/// Grows with each attempt, with jitter so that writers that conflicted once don't conflict again.
/// The jitter is derived from the change's id, so that a run can be reproduced.
fn backoff(id: ChangeId, attempt: u32) -> Ms {
    let max = BACKOFF_MS << (2 * (attempt - 1));
    let jitter = base::hash_parts(&[id.0.as_bytes(), &attempt.to_le_bytes()]);
    Ms(max / 2 + jitter % (max / 2 + 1))
}
