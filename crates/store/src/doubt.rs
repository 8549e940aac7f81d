//! A write whose outcome is always told, or told to be open.

use base::{ChangeId, Ms, Version};
use wire::Object;

use crate::{Api, StoreError};

/// One conditional write that knows itself again.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// Kind of the object.
    pub kind: &'a str,
    /// Its name.
    pub name: &'a str,
    /// The version that it must be at.
    pub expected: Version,
    /// Chosen by the writer and contained in `body`.
    pub id: ChangeId,
    /// What to write.
    pub body: &'a str,
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect, and the object is at this version.
    Committed(Version),
    /// Another writer was first; nothing of this write took effect or ever will.
    Conflict {
        /// The object as it is now, if it could be read.
        current: Option<Object>,
    },
    /// It can't be told: the write may have taken effect, or may still.
    Unknown,
}

/// Tries to learn the outcome before it is left open.
const TURNS: u32 = 3;
/// Wait before the second try, ms; four times as long before each further one.
const WAIT_MS: u64 = 20;

/// Writes, and on a lost answer reads back to learn what happened.
///
/// A lost answer hides whether the write took effect. `has_change` says whether an object read
/// back carries this change's id; it must hold for every later version that was built on this
/// write too, or another writer's next change would make it look lost.
///
/// At the expected version still, the write may be delayed and yet land: the same conditional
/// write is sent again, which can't take effect twice, since the first to land raises the version.
/// A read may lag: one at the expected version, or below a version that was seen, proves nothing.
pub async fn write(
    api: &dyn Api,
    change: Change<'_>,
    has_change: impl Fn(&Object, ChangeId) -> bool,
) -> Result<WriteOutcome, StoreError> {
    let Change { kind, name, expected, id, body } = change;
    let (mut doubt, mut raced, mut seen) = (false, false, expected.next());
    for turn in 0..TURNS {
        if turn > 0 {
            tokio::time::sleep(wait(id, turn).duration()).await;
        }
        // A version that has passed never comes back: there is nothing more to send then.
        let sent = if raced { None } else { Some(api.put(kind, name, expected, body).await) };
        match sent {
            None => {}
            Some(Ok(version)) => return Ok(WriteOutcome::Committed(version)),
            Some(Err(StoreError::Conflict { current })) => {
                raced = true;
                seen = seen.max(current);
            }
            Some(Err(StoreError::OutcomeUnknown)) => doubt = true,
            Some(Err(err)) if !doubt => return Err(err),
            Some(Err(_)) => {}
        }
        match api.get(kind, name).await {
            Ok(Some(object)) if has_change(&object, id) => {
                return Ok(WriteOutcome::Committed(Version(object.version)));
            }
            Ok(Some(object)) if object.version >= seen.0 => {
                return Ok(WriteOutcome::Conflict { current: Some(object) });
            }
            Ok(_) | Err(_) => {}
        }
    }
    Ok(if raced && !doubt {
        WriteOutcome::Conflict { current: None }
    } else {
        WriteOutcome::Unknown
    })
}

/// Grows, and differs between writers, so that those who met once don't meet again. Drawn from the
/// change's id, so that a run can be repeated.
fn wait(id: ChangeId, turn: u32) -> Ms {
    let most = WAIT_MS << (2 * (turn - 1));
    let draw = base::hash_parts(&[id.0.as_bytes(), &turn.to_le_bytes()]);
    Ms(most / 2 + draw % (most / 2 + 1))
}
