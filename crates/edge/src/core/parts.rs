//! What a host knows of parts of prompts that end engines.

use base::TargetId;
use catalog::{Finding, PoisonParts, Position};
use logs::note;
use sched::sound::SoundParts;
use sched::suspects::{Diagnosis, Ends};
use std::sync::MutexGuard;
use tokio::sync::watch;

use super::{Core, lock};
use crate::dialect::RequestHead;

impl Core {
    /// The parts that end engines.
    pub(crate) fn poison_parts(&self) -> MutexGuard<'_, PoisonParts> {
        lock(&self.poison_parts)
    }

    /// The parts of this host's sound answers.
    pub(crate) fn sound_parts(&self) -> MutexGuard<'_, SoundParts> {
        lock(&self.sound_parts)
    }

    /// The ends of engines that this host was told of.
    pub(crate) fn ends(&self) -> MutexGuard<'_, Ends> {
        lock(&self.ends)
    }

    /// Whether the list of parts that end engines has been read.
    pub(crate) fn knows_parts(&self) -> bool {
        self.poison_parts().position().is_some()
    }

    /// The shared part of a prompt that ends engines, if there is one.
    pub(crate) fn poison_part(&self, head: &RequestHead) -> Option<u64> {
        let known = self.poison_parts();
        head.shared_parts().iter().map(|part| part.id).find(|part| known.contains(*part))
    }

    /// Waits until a shared part of a prompt is known to end engines.
    pub(crate) async fn poisoned(&self, head: &RequestHead) {
        let mut found = self.parts_found.subscribe();
        while self.poison_part(head).is_none() {
            // The sender lives as long as the host.
            if found.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Notifies when a part was found.
    pub(crate) fn parts_found(&self) -> watch::Receiver<()> {
        self.parts_found.subscribe()
    }

    /// Refuses requests with a part from now on, as this host or another has found. Returns whether
    /// that is new.
    pub(crate) fn quarantine(&self, part: u64, targets: &[TargetId]) -> bool {
        // Also if the table is full: the same ends would quarantine it again and again.
        self.ends().quarantined(part);
        match self.poison_parts().found(part) {
            Finding::New => {}
            Finding::Known => return false,
            Finding::TableFull => {
                note!(logs::Event::PartsFull, part = format!("{part:x}"));
                return false;
            }
        }
        // Requests that were on these engines have not ended them.
        let mut poison = self.poison();
        targets.iter().for_each(|target| poison.forgive(target));
        drop(poison);
        self.part_found(part);
        true
    }

    /// Applies the list as it was at a position of the store.
    pub(crate) fn apply_parts(&self, position: Position, listed: &[u64]) {
        let Some(changes) = self.poison_parts().apply(position, listed) else { return };
        for part in &changes.added {
            self.ends().quarantined(*part);
            self.part_found(*part);
        }
        for part in &changes.lifted {
            self.ends().lifted(*part);
            note!(logs::Event::PartLifted, part = format!("{part:x}"), position = %position);
        }
        self.metrics.poison_parts(self.poison_parts().len());
        self.changed.send_replace(());
    }

    fn part_found(&self, part: u64) {
        note!(logs::Event::PartRefused, part = format!("{part:x}"));
        self.metrics.poison_parts(self.poison_parts().len());
        self.parts_found.send_replace(());
    }

    /// Logs why a part is refused, at the host that found it.
    pub(crate) fn note_diagnosis(&self, diagnosis: &Diagnosis, others: u64) {
        let targets: Vec<&str> = diagnosis.targets.iter().map(TargetId::as_str).collect();
        note!(
            logs::Event::PartFound,
            part = format!("{:x}", diagnosis.part),
            targets = targets.join(","),
            episodes = diagnosis.episodes,
            known = diagnosis.known,
            others
        );
    }
}
