//! The proof that the configuration and the evacuations that a host holds are the newest: how old
//! it is, and when its age says that the store doesn't answer.

use base::Ms;
use catalog::Proof;
use std::sync::atomic::Ordering;
use tokio::sync::watch;

use super::{Core, lock};

/// Age at which a proof is overdue, in percent of the time within which a revoked key must stop
/// working. A host that reaches the store has a younger proof: this is the time of two reads, one
/// of them slow. The rest is left for asking another host.
const OVERDUE_KEYS_PERCENT: u64 = 40;
/// The same in percent of the time within which a change must be in force. The rest is left for the
/// wait of one query, and a read.
const OVERDUE_CHANGE_PERCENT: u64 = 50;
/// The same in percent of the time within which an evacuated failure domain must get no new
/// requests: the time of two lists and a slow answer.
const OVERDUE_EVACUATION_PERCENT: u64 = 70;

/// Time after a pause within which a host that reaches the store, or a host that reads it, has a
/// new proof: a few round trips.
const PROOF_TIME: Ms = Ms(200);

impl Core {
    /// Records that a linearizable read, sent at `sent`, found nothing newer than what is held.
    pub(crate) fn record_proof(&self, sent: Ms) {
        lock(&self.store).freshness.prove(sent);
        self.notify_proof();
    }

    /// Whether the store was away until a time after `since`: no host had an answer, as far as this one
    /// has heard.
    pub(crate) fn store_was_away(&self, since: Ms) -> bool {
        lock(&self.store).freshness.was_away(self.clock.now(), since)
    }

    /// Notifies of the end of a read of the configuration.
    pub(super) fn notify_proof(&self) {
        self.proofs.send_replace(());
    }

    /// Notifies when a read of the configuration has proved that it is current, or has failed.
    pub(crate) fn proofs(&self) -> watch::Receiver<()> {
        self.proofs.subscribe()
    }

    /// Whether the newest proof is older than it can be while the store, or a host that reads it,
    /// answers this host.
    pub(crate) fn proof_overdue(&self) -> bool {
        self.proof_overdue_at(self.clock.now())
    }

    /// Whether the newest proof is overdue at `at`.
    pub(crate) fn proof_overdue_at(&self, at: Ms) -> bool {
        let bounds = &self.settings().bounds;
        let overdue = |proved: Option<Ms>, most| proved.is_none_or(|proved| at - proved > most);
        let evacuation = bounds.evacuate_ms.is_some_and(|bound| {
            let most = bound.scale(OVERDUE_EVACUATION_PERCENT, 100);
            overdue(self.gate.evacuations().proved(), most)
        });
        let keys = bounds.revoke_ms.scale(OVERDUE_KEYS_PERCENT, 100);
        let change = bounds.config_ms.scale(OVERDUE_CHANGE_PERCENT, 100);
        evacuation || overdue(self.proved(), keys.min(change))
    }

    /// Whether the newest proof is overdue although this host has read the store, and has run, for
    /// long enough. If it was just paused, or begins to read only now, its proof is old for reasons
    /// of its own, and says nothing of the store.
    pub(crate) fn store_silent(&self) -> bool {
        let running = self.clock.now() - self.pauses.ended();
        self.proof_overdue() && running.min(self.reading_for()) >= PROOF_TIME
    }

    /// Time for which this host has been reading the store itself; zero while it doesn't.
    pub(crate) fn reading_for(&self) -> Ms {
        match *self.store_reader.borrow() {
            true => self.clock.now() - Ms(self.reading_since.load(Ordering::Relaxed)),
            false => Ms::ZERO,
        }
    }

    /// Whether the configuration needs no keys, or keys may be served now.
    pub(crate) fn keys_usable(&self) -> bool {
        let needed = self.catalog().is_some_and(|catalog| catalog.needs_keys());
        !needed || self.proof() == Proof::Current
    }

    /// Whether keys may be served now.
    pub(crate) fn proof(&self) -> Proof {
        lock(&self.store).freshness.check(self.clock.now())
    }

    /// Waits until the proof satisfies `current`, if this host has just been paused.
    ///
    /// After a pause the proof is old, and the read that renews it is under way. A caller that is
    /// refused at this moment could come back no sooner than that read is answered; a host that is
    /// told the old proof would look for another reader. Returns at once if the host has run long
    /// enough for a read.
    pub(crate) async fn renewed_after_pause(&self, current: impl Fn(&Self) -> bool) {
        let mut proofs = self.proofs();
        while !current(self) {
            let rest = self.pauses.ended() + PROOF_TIME - self.clock.now();
            if rest == Ms::ZERO {
                return;
            }
            // A time-out is noticed above.
            if let Ok(Err(_)) = tokio::time::timeout(rest.duration(), proofs.changed()).await {
                return;
            }
        }
    }

    /// When the last read was sent that proved the configuration; none before the first.
    pub(crate) fn proved(&self) -> Option<Ms> {
        lock(&self.store).freshness.proved()
    }

    /// Age of the last read that proved the configuration; none before the first.
    pub(crate) fn proof_age(&self) -> Option<Ms> {
        lock(&self.store).freshness.age(self.clock.now())
    }

    /// Records that a read of the configuration failed.
    pub(crate) fn record_failed_read(&self) {
        self.read_failed.store(self.clock.now().0, Ordering::Relaxed);
        self.notify_proof();
    }

    /// When a read of the configuration failed last; zero before the first failure.
    pub(crate) fn read_failed(&self) -> Ms {
        Ms(self.read_failed.load(Ordering::Relaxed))
    }
}
