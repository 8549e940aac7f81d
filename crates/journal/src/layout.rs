//! Which shard object holds a key.

use base::{Key, Version};
use conf::JournalSettings;
use store::{Api, StoreError};
use wire::JournalLayout;

use crate::SHARD_KIND;

/// Name of the object that holds the layout, among the shards.
const LAYOUT_NAME: &str = "layout";

/// Whether the fleet has the same layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Agreed {
    Yes,
    No,
    /// Another host was first to set it, or it can't be told whether this one was: ask again.
    Again,
    /// The platform can't be asked now.
    Down,
}

/// Shards in a ring of time slots, each slot `lanes` wide.
///
/// A key carries when it was made, so new keys meet in one slot and share its commits, while older
/// slots rest until a key in them ends. Spread over all shards by hash alone, each would take too
/// few keys for a commit to be shared.
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
        // Keys live from `ahead_ms` before their host's clock to `ahead_ms` past the window. One
        // slot more, so that the oldest and the newest never meet in one.
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
    /// Two hosts with different settings would look for one key in two objects, find it free in
    /// both, and run it twice. So a host refuses keys until it has read that its layout is the
    /// fleet's.
    pub(crate) async fn agree(&self, api: &dyn Api) -> Agreed {
        let own = JournalLayout {
            shards: (self.lanes * self.slots) as u32,
            lanes: self.lanes as u32,
            slot_ms: self.slot_ms,
        };
        match api.get(SHARD_KIND, LAYOUT_NAME).await {
            Ok(Some(object)) => match serde_json::from_str::<JournalLayout>(&object.body) {
                Ok(fleet) if fleet == own => Agreed::Yes,
                Ok(_) | Err(_) => Agreed::No,
            },
            Ok(None) => {
                let body = serde_json::to_string(&own).unwrap_or_default();
                match api.put(SHARD_KIND, LAYOUT_NAME, Version(0), &body).await {
                    Ok(_) => Agreed::Yes,
                    Err(StoreError::Conflict { .. } | StoreError::OutcomeUnknown) => Agreed::Again,
                    Err(_) => Agreed::Down,
                }
            }
            Err(_) => Agreed::Down,
        }
    }
}
