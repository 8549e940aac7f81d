//! Drops targets whose registrations have lapsed in an outage of the store as soon as their time is
//! over. A target that left meanwhile would get requests until then.

use std::sync::Arc;

use crate::core::Core;

/// Drops lapsed targets when they are due.
pub(crate) async fn follow(core: Arc<Core>) {
    loop {
        match core.next_expiry() {
            Some(at) => tokio::time::sleep((at - core.clock.now()).duration()).await,
            None => core.lapses.notified().await,
        }
        core.expire();
    }
}
