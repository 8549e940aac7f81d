//! Counts the open stages of other hosts: a stopping host finishes them.

use std::sync::Arc;

use super::Composer;

/// Counts a stage of another host as open until it is dropped.
pub(super) struct OpenGuest(Arc<Composer>);

impl Drop for OpenGuest {
    fn drop(&mut self) {
        self.0.guests.send_modify(|open| *open -= 1);
    }
}

impl Composer {
    /// Counts a stage of another host as open.
    pub(super) fn open_guest(self: &Arc<Self>) -> OpenGuest {
        self.guests.send_modify(|open| *open += 1);
        OpenGuest(self.clone())
    }

    /// Number of open stages of other hosts.
    pub(crate) fn guests(&self) -> usize {
        *self.guests.borrow()
    }

    /// Completes when no stage of another host is open.
    pub(crate) async fn guests_done(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.guests.subscribe().wait_for(|open| *open == 0).await;
    }
}
