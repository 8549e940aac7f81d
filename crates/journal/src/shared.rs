//! State shared by all shard writers of a host.

use base::{Clock, Ms};
use logs::{Event, note};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use store::Api;

use crate::layout::{Agreement, Layout};
use crate::records::Holder;

/// A host may have joined so recently that it isn't in the view yet: for this long after its
/// attempt started, a host outside the view counts as alive.
const JOIN_GRACE_MS: Ms = Ms::secs(5);

/// State shared by all shard writers of a host.
pub(crate) struct Shared {
    pub(crate) api: Arc<dyn Api>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: Arc<dyn peer::View>,
    pub(crate) own_holder: Holder,
    pub(crate) rules: conf::JournalSettings,
    pub(crate) layout: Layout,
    /// Set once the layout was found to equal the fleet's, which doesn't change while a host runs.
    pub(crate) layout_confirmed: AtomicBool,
}

impl Shared {
    /// Compares this host's layout with the fleet's, until they were found to be the same.
    pub(crate) async fn check_layout(&self) -> Agreement {
        if self.layout_confirmed.load(Ordering::Relaxed) {
            return Agreement::Same;
        }
        let agreement = self.layout.compare_with_fleet(self.api.as_ref()).await;
        match agreement {
            Agreement::Same => self.layout_confirmed.store(true, Ordering::Relaxed),
            Agreement::Different => note!(Event::JournalLayout),
            Agreement::Retry | Agreement::Unavailable => {}
        }
        agreement
    }

    /// Whether an attempt that was started may still be running, as far as this host knows.
    pub(crate) fn may_be_running(&self, holder: &Holder, started: Ms) -> bool {
        let age = self.clock.now() - started;
        let in_view = || self.view.hosts().iter().any(|h| h.host.as_str() == holder.host);
        match () {
            () if age >= self.rules.running_ms => false,
            () if holder.host == self.own_holder.host => {
                holder.incarnation == self.own_holder.incarnation
            }
            () => age < JOIN_GRACE_MS || in_view(),
        }
    }
}
