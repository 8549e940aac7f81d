//! Guards for what a call holds of its target, released when the call ends in any way.

use std::sync::Arc;
use wire::StageReply;

use crate::target::{Call, State};

/// Number of ended calls whose results are kept for later queries.
const MAX_ENDED_CALLS: usize = 1024;

/// Counts a call as running; counts it as cancelled if it is dropped before [`Self::end`].
pub(crate) struct RunGuard {
    pub(crate) state: Arc<State>,
    pub(crate) id: String,
    pub(crate) ended: bool,
}

impl RunGuard {
    pub(crate) fn progress(&self, tokens: u32) {
        self.state.lock().calls.insert(self.id.clone(), Call::Running { tokens });
    }

    pub(crate) fn end(&mut self, reply: Option<StageReply>) {
        self.ended = true;
        let mut inner = self.state.lock();
        inner.stats.done += 1;
        inner.calls.insert(self.id.clone(), Call::Done { reply });
        inner.ended.push_back(self.id.clone());
        if inner.ended.len() > MAX_ENDED_CALLS {
            let old = inner.ended.pop_front().unwrap_or_default();
            inner.calls.remove(&old);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.running -= 1;
        if !self.ended {
            inner.stats.cancelled += 1;
            inner.calls.remove(&self.id);
        }
    }
}

/// A place in the queue, released on drop.
pub(crate) struct QueueGuard(pub(crate) Arc<State>);

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.0.lock().queued -= 1;
    }
}

/// A slot, released on drop.
pub(crate) struct SlotGuard(pub(crate) Arc<State>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.slots.add_permits(1);
    }
}
