//! What fails in the middle of a day.

use base::Ms;
use std::collections::HashSet;

use super::design::{Design, Fault};
use super::path::TARGETS;
use super::play::{What, World};
use super::targets::Target;

/// When a fault begins and ends.
pub(super) const FAULT: (Ms, Ms) = (Ms(6_000), Ms(14_000));
/// Time until the hosts notice that a composer is gone, or a target.
pub(super) const NOTICE: (Ms, Ms) = (Ms(400), Ms(3_000));
/// A slow target takes this many times as long.
const SLOW: u64 = 5;

impl World {
    pub(super) fn begin_fault(&mut self) {
        self.faulty = true;
        let first = |service: usize| service * TARGETS;
        match self.load.fault {
            Fault::None | Fault::Split => {}
            Fault::Slow => (0..3).for_each(|s| self.targets[first(s)].slow = SLOW),
            Fault::Lost => (0..3).for_each(|s| self.targets[first(s)].lost = true),
            Fault::Host => self.lose_host(),
        }
    }

    /// What the lost host's composers had is handed in again, where the others compose.
    pub(super) fn lose_host(&mut self) {
        let gone: Vec<usize> = match self.design {
            Design::Single => return,
            Design::PerHost | Design::Window | Design::Lease => {
                (0..3).map(|s| s * self.load.hosts).collect()
            }
            Design::PerTarget => (0..3).map(|s| s * TARGETS).collect(),
            Design::Composer => (0..3).map(|s| s * 2).collect(),
        };
        let of = |unit: &usize| gone.contains(unit);
        self.pending.retain(|(unit, _)| !gone.contains(unit));
        let left: HashSet<(u64, usize)> =
            self.pieces.values().filter(|(.., u)| of(u)).map(|(r, s, _)| (*r, *s)).collect();
        self.pieces.retain(|_, (_, _, unit)| !gone.contains(unit));
        let mut left: Vec<_> = left.into_iter().collect();
        left.sort();
        for (request, stage) in left {
            self.at(self.now + NOTICE.0, What::Submit(request, stage));
        }
        for unit in gone {
            self.units[unit].dead = true;
            let (service, places) = (self.units[unit].service, self.units[unit].places.clone());
            let follower = match self.design {
                Design::Composer => unit + 1,
                _ => self.add_unit(service, &places),
            };
            self.followers.insert(unit, follower);
        }
    }

    /// The hosts hear which targets are left.
    pub(super) fn notice(&mut self) {
        if self.load.fault != Fault::Lost || matches!(self.design, Design::Lease | Design::Single) {
            return;
        }
        for unit in 0..self.units.len() {
            let mut left = self.units[unit].places.clone();
            left.retain(|t| !self.targets[*t].lost);
            self.tell_targets(unit, &left);
        }
    }

    pub(super) fn end_fault(&mut self) {
        self.faulty = false;
        let lost = self.targets.iter().any(|t| t.lost);
        for target in &mut self.targets {
            let service = target.service;
            if target.lost || target.slow > 1 {
                *target = Target::new(service);
            }
        }
        if lost && !matches!(self.design, Design::Lease | Design::Single) {
            for unit in 0..self.units.len() {
                let all = self.units[unit].places.clone();
                self.tell_targets(unit, &all);
            }
        }
    }
}
