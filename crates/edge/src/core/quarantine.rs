//! What a host knows of parts of prompts and requests that end targets.

use base::{Ms, Suspect, TargetId};
use catalog::{Finding, Quarantine, QuarantineList};
use logs::note;
use sched::sound::SoundParts;
use sched::suspects::{Diagnosis, Ends};
use std::sync::MutexGuard;
use tokio::sync::watch;

use super::{Core, lock};
use crate::dialect::RequestHead;
use crate::gate::BlockReason;
use crate::suspects::Suspects;

/// Longest wait for a verdict that is open.
const VERDICT_WAIT: Ms = Ms(500);

impl Core {
    /// What ends targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// The parts of this host's sound answers.
    pub(crate) fn sound_parts(&self) -> MutexGuard<'_, SoundParts> {
        lock(&self.sound_parts)
    }

    /// The keys of the requests that had sound answers at this host.
    pub(crate) fn sound_requests(&self) -> MutexGuard<'_, SoundParts> {
        lock(&self.sound_requests)
    }

    /// The ends of targets that this host was told of.
    pub(crate) fn ends(&self) -> MutexGuard<'_, Ends> {
        lock(&self.ends)
    }

    /// Whether the list of what ends targets has been read.
    pub(crate) fn knows_quarantine(&self) -> bool {
        self.quarantine().position().is_some()
    }

    /// Whether a shared part of a prompt ends engines. Tells before the request has been read.
    pub(crate) fn has_poison_part(&self, head: &RequestHead) -> bool {
        let known = self.quarantine();
        head.shared_parts().iter().any(|part| known.contains(Suspect::Part(part.id)))
    }

    /// Why a request must not be sent, if it or a part of its prompt ends targets.
    pub(crate) fn poison(&self, suspects: &Suspects) -> Option<BlockReason> {
        let known = self.quarantine();
        let found = suspects.iter().find(|suspect| known.contains(*suspect))?;
        Some(match found {
            Suspect::Part(_) => BlockReason::PoisonPart,
            Suspect::Request(_) => BlockReason::Poison,
        })
    }

    /// Waits until a request, or a part of its prompt, is known to end targets.
    pub(crate) async fn poisoned(&self, suspects: &Suspects) -> BlockReason {
        let mut found = self.suspects_found.subscribe();
        loop {
            if let Some(reason) = self.poison(suspects) {
                return reason;
            }
            // The sender lives as long as the host.
            if found.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Waits while it may be found at any moment that a request ends targets, as far as this host
    /// knows. Without this each repeat in that time would end another one.
    pub(crate) async fn verdict(&self, suspects: &Suspects) {
        let keys = suspects.iter().filter_map(Suspect::request);
        let now = self.clock.now();
        let open = keys.filter_map(|key| self.ends().open_until(now, key)).max();
        let Some(until) = open else { return };
        let wait = (until - now).min(VERDICT_WAIT);
        // Whoever waits asks again before it sends.
        let _ = tokio::time::timeout(wait.duration(), self.poisoned(suspects)).await;
    }

    /// Notifies when something was found.
    pub(crate) fn suspects_found(&self) -> watch::Receiver<()> {
        self.suspects_found.subscribe()
    }

    /// Refuses requests with this part, or this request, from now on, as this host or another has
    /// found. Returns whether that is new.
    pub(crate) fn put_in_quarantine(&self, suspect: Suspect) -> bool {
        // Also if the table is full: the same ends would quarantine it again and again.
        self.ends().quarantined(suspect);
        match self.quarantine().found(suspect) {
            Finding::New => {}
            Finding::Known => return false,
            Finding::TableFull => {
                note!(logs::Event::PartsFull, suspect = %suspect);
                return false;
            }
        }
        self.refuse(suspect);
        true
    }

    /// Applies the list as it was at a position of the store. Returns what it lacks though nobody is known
    /// to have removed it.
    pub(crate) fn apply_quarantine(&self, read: QuarantineList<'_>) -> Vec<Suspect> {
        let position = read.position;
        let Some(changes) = self.quarantine().apply(read) else { return Vec::new() };
        for suspect in &changes.added {
            self.ends().quarantined(*suspect);
            self.refuse(*suspect);
        }
        for suspect in &changes.lifted {
            self.ends().lifted(*suspect);
            note!(logs::Event::PartLifted, suspect = %suspect, position = %position);
        }
        for suspect in &changes.missing {
            note!(logs::Event::PartMissing, suspect = %suspect, position = %position);
        }
        self.record_quarantined();
        self.changed.send_replace(());
        // Whoever reads the store writes them again.
        self.suspects_found.send_replace(());
        changes.missing
    }

    fn refuse(&self, suspect: Suspect) {
        note!(logs::Event::PartRefused, suspect = %suspect);
        self.record_quarantined();
        self.suspects_found.send_replace(());
    }

    fn record_quarantined(&self) {
        let (parts, requests) = self.quarantine().count();
        self.metrics.quarantined(parts, requests);
    }

    /// Logs why something is refused, at the host that found it.
    pub(crate) fn note_diagnosis(&self, diagnosis: &Diagnosis, others: u64) {
        let targets: Vec<&str> = diagnosis.targets.iter().map(TargetId::as_str).collect();
        note!(
            logs::Event::PartFound,
            suspect = %diagnosis.suspect,
            targets = targets.join(","),
            episodes = diagnosis.episodes,
            known = diagnosis.known,
            others
        );
    }
}
