//! Connections for a second run of a request whose first target is slow.

use std::sync::Arc;

use super::{Found, declared, selection, share, take_at};
use crate::choose::choose;
use crate::core::Core;
use crate::links::Link;
use crate::request::Call;

/// Takes a target with a free slot, and a connection to it, if no other request waits for one. None
/// otherwise: in an overloaded service, a second run would only keep others from their first.
pub(crate) fn acquire_spare(core: &Arc<Core>, call: &Call, tried: &[Arc<Link>]) -> Option<Found> {
    let link = choose(core, call, selection(call), tried).ok()?;
    if link.expected_load(core.clock.now()) >= link.entry.slots {
        return None;
    }
    let Some(declared) = declared(call) else { return Some((link, None)) };
    let queue = core.queues.of(&call.service);
    if queue.len() > 0 {
        return None;
    }
    share(core, call, declared);
    take_at(core, call, tried, &queue, link)
}
