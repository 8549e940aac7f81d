//! Faults in the middle of a run.

use base::Ms;
use std::collections::HashSet;

use super::design::{Design, Fault};
use super::path::TARGETS;
use super::simulation::{SimEvent, World};
use super::targets::Target;

/// Start and end of the fault.
pub(super) const FAULT_PERIOD: (Ms, Ms) = (Ms(6_000), Ms(14_000));
/// Time until the hosts detect the loss of a composer, and of a target.
pub(super) const DETECTION: (Ms, Ms) = (Ms(400), Ms(3_000));
/// Factor by which a slow target takes longer.
const SLOW_FACTOR: u64 = 5;

impl World {
    pub(super) fn begin_fault(&mut self) {
        self.fault_active = true;
        let first = |service: usize| service * TARGETS;
        match self.load.fault {
            Fault::None | Fault::Split => {}
            Fault::Slow => (0..3).for_each(|s| self.targets[first(s)].slow = SLOW_FACTOR),
            Fault::Lost => (0..3).for_each(|s| self.targets[first(s)].lost = true),
            Fault::Host => self.lose_host(),
        }
    }

    /// Removes the composers of the lost host. Their unfinished pieces are submitted again to the
    /// successors once the loss is detected.
    pub(super) fn lose_host(&mut self) {
        let gone: Vec<usize> = match self.design {
            Design::Single => return,
            Design::PerHost | Design::Window | Design::Lease => {
                (0..3).map(|s| s * self.load.hosts).collect()
            }
            Design::PerTarget => (0..3).map(|s| s * TARGETS).collect(),
            Design::Composer => (0..3).map(|s| s * 2).collect(),
        };
        let of = |composer: &usize| gone.contains(composer);
        self.pending.retain(|(composer, _)| !gone.contains(composer));
        let left: HashSet<(u64, usize)> =
            self.pieces.values().filter(|(.., u)| of(u)).map(|(r, s, _)| (*r, *s)).collect();
        self.pieces.retain(|_, (_, _, composer)| !gone.contains(composer));
        let mut left: Vec<_> = left.into_iter().collect();
        left.sort();
        for (request, stage) in left {
            self.schedule(self.now + DETECTION.0, SimEvent::Submit(request, stage));
        }
        for composer in gone {
            self.composers[composer].dead = true;
            let (service, assigned) =
                (self.composers[composer].service, self.composers[composer].assigned.clone());
            let successor = match self.design {
                Design::Composer => composer + 1,
                _ => self.add_composer(service, &assigned),
            };
            self.successors.insert(composer, successor);
        }
    }

    /// Tells the composers which targets remain after a loss.
    pub(super) fn notice(&mut self) {
        if self.load.fault != Fault::Lost || matches!(self.design, Design::Lease | Design::Single) {
            return;
        }
        for composer in 0..self.composers.len() {
            let mut left = self.composers[composer].assigned.clone();
            left.retain(|t| !self.targets[*t].lost);
            self.set_targets(composer, &left);
        }
    }

    pub(super) fn end_fault(&mut self) {
        self.fault_active = false;
        let lost = self.targets.iter().any(|t| t.lost);
        for target in &mut self.targets {
            let service = target.service;
            if target.lost || target.slow > 1 {
                *target = Target::new(service);
            }
        }
        if lost && !matches!(self.design, Design::Lease | Design::Single) {
            for composer in 0..self.composers.len() {
                let all = self.composers[composer].assigned.clone();
                self.set_targets(composer, &all);
            }
        }
    }
}
