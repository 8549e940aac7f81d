//! Maps each key to the shard object that holds its record.

use base::{Key, Version};
use conf::JournalSettings;
use store::{Api, StoreError};
use wire::JournalLayout;

use crate::SHARD_KIND;

/// Name of the object that holds the layout, of the same kind as the shards.
const LAYOUT_NAME: &str = "layout";

/// How this host's layout compares with the fleet's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Agreement {
    Same,
    Different,
    /// Another host set the layout first, or it is unknown whether this host set it: compare again.
    Retry,
    /// The object API is unavailable.
    Unavailable,
}

/// A ring of time slots, each with `lanes` shards.
///
/// A key contains the time at which it was made. New keys therefore fall into one slot and share
/// its writes, while the shards of older slots stay unchanged until one of their keys ends. If keys
/// were spread over all shards by hash alone, each shard would get too few keys for a write to be
/// shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Layout {
    lanes: u64,
    slots: u64,
    slot_ms: u64,
}

impl Layout {
    pub(crate) fn new(settings: &JournalSettings) -> Self {
        let lanes = u64::from(settings.lanes.max(1));
        let slots = (u64::from(settings.shards) / lanes).max(1);
        // Keys are valid from `ahead_ms` before their host's clock to `ahead_ms` past the window.
        // One extra slot keeps the oldest and the newest valid keys from sharing a slot.
        let span = settings.window_ms + settings.ahead_ms + settings.ahead_ms;
        let slot_ms = span.0.div_ceil(slots.saturating_sub(1).max(1)).max(1);
        Self { lanes, slots, slot_ms }
    }

    /// The shard of a key.
    pub(crate) fn shard(&self, workspace: &str, key: Key) -> u32 {
        let lane = base::hash_parts(&[workspace.as_bytes(), key.0.as_bytes()]) % self.lanes;
        let slot = (key.time().0 / self.slot_ms) % self.slots;
        (slot * self.lanes + lane) as u32
    }

    /// Compares this layout with the fleet's; the first host to ask sets it.
    ///
    /// Two hosts with different settings would look for the same key in two objects, find it free
    /// in both, and run it twice. So a host refuses keys until it has read that its layout equals
    /// the fleet's.
    pub(crate) async fn compare_with_fleet(&self, api: &dyn Api) -> Agreement {
        let own = JournalLayout {
            shards: (self.lanes * self.slots) as u32,
            lanes: self.lanes as u32,
            slot_ms: self.slot_ms,
        };
        match api.get(SHARD_KIND, LAYOUT_NAME).await {
            Ok(Some(object)) => match serde_json::from_str::<JournalLayout>(&object.body) {
                Ok(fleet) if fleet == own => Agreement::Same,
                Ok(_) | Err(_) => Agreement::Different,
            },
            Ok(None) => {
                let body = serde_json::to_string(&own).unwrap_or_default();
                match api.put(SHARD_KIND, LAYOUT_NAME, Version(0), &body).await {
                    Ok(_) => Agreement::Same,
                    Err(StoreError::Conflict { .. } | StoreError::OutcomeUnknown) => {
                        Agreement::Retry
                    }
                    Err(_) => Agreement::Unavailable,
                }
            }
            Err(_) => Agreement::Unavailable,
        }
    }
}
