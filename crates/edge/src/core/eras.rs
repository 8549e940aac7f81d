//! Notices that the platform's store has come back from an older copy.

use catalog::{LAPSE_GRACE, Position};
use logs::note;
use std::sync::atomic::Ordering;
use tokio::sync::watch;

use super::{Core, lock};

impl Core {
    /// Takes note of the era of an answer of the store, or of one that another host passes on.
    /// Returns whether it is the newest known; what an older one tells is out of date.
    ///
    /// A rise means that the store has come back from an older copy. Registrations made since the
    /// copy are missing until their targets renew them, as after an outage; registrations removed
    /// since are listed again until they lapse.
    pub(crate) fn note_era(&self, era: u64) -> bool {
        let mut view = lock(&self.store);
        match view.era {
            Some(before) if era <= before => return era == before,
            Some(before) => {
                let now = self.clock.now();
                view.lapse = view.lapse.max(now + LAPSE_GRACE);
                view.registry.restored(now + self.rejoin_time());
                let held = view.log.position().unwrap_or_default();
                note!(logs::Event::StoreRestored, era, before, held = %held);
                self.metrics.store_restored();
                self.eras.send_replace(era);
            }
            None => {}
        }
        view.era = Some(era);
        self.metrics.store_era(era);
        true
    }

    /// The newest era of the store that this host has heard of; none before the first answer.
    pub(crate) fn era(&self) -> Option<u64> {
        lock(&self.store).era
    }

    /// Records that other hosts were asked for the newest configuration, where that was needed.
    pub(crate) fn set_newest_asked(&self) {
        self.newest_asked.store(true, Ordering::Relaxed);
    }

    /// Whether this host holds the newest configuration that any host can know.
    pub(crate) fn holds_newest(&self) -> bool {
        self.newest_asked.load(Ordering::Relaxed)
    }

    /// Whether a position is in the newest era of the store that this host has heard of.
    pub(crate) fn in_newest_era(&self, position: Position) -> bool {
        lock(&self.store).era.is_none_or(|era| position.era >= era)
    }

    /// Notifies when the store has come back from an older copy.
    pub(crate) fn eras(&self) -> watch::Receiver<u64> {
        self.eras.subscribe()
    }
}
