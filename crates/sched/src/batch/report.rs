//! Compares the accounting of a target's memory with what the target reports.

use base::{Ms, TargetId};

use super::{Batcher, Effect, ForeignChange};

/// Shortest time between two reports of one target: a report costs the target as much as a probe.
const REPORT_INTERVAL: Ms = Ms(500);

/// What a stage target reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Free memory for results, bytes.
    pub free: u64,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls that run.
    pub busy: u32,
}

/// Memory for results at all targets of a service, as the composer accounts for it, bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomUsage {
    /// Results of its own calls, including those in flight.
    pub used: u64,
    /// Results of others.
    pub foreign: u64,
}

/// Whether a report of a target is due, and when the last one was requested.
#[derive(Debug, Default)]
pub(super) struct ReportState {
    requested: Option<Ms>,
    due: bool,
}

impl ReportState {
    /// Requests a report, as soon as one may be requested.
    pub(super) fn request(&mut self) {
        self.due = true;
    }

    /// When a report that is due may be fetched; none if none is due.
    pub(super) fn due_at(&self) -> Option<Ms> {
        let earliest = self.requested.map_or(Ms::ZERO, |at| at + REPORT_INTERVAL);
        self.due.then_some(earliest)
    }

    /// Whether to fetch a report now; then it is no longer due.
    fn take(&mut self, now: Ms) -> bool {
        let take = self.due_at().is_some_and(|at| at <= now);
        if take {
            *self = Self { requested: Some(now), due: false };
        }
        take
    }
}

impl Batcher {
    /// Requests reports of all targets: another host composed their calls until now, and its
    /// results may still be there.
    pub(super) fn taken_over(&mut self) {
        self.targets.values_mut().for_each(|t| t.report.request());
    }

    /// Takes a target's report. Without one, the accounting stays as it is.
    pub(super) fn reported(&mut self, now: Ms, id: &TargetId, report: Option<TargetReport>) {
        let (Some(target), Some(report)) = (self.targets.get_mut(id), report) else { return };
        let own = target.own(now);
        let foreign = self.config.room.saturating_sub(report.free).saturating_sub(own);
        target.foreign.report(foreign, now + self.config.result_ttl);
        if report.queued == 0 || report.busy < self.config.slots {
            target.full.end(now);
        }
    }

    /// Asks for the reports that are due.
    pub(super) fn request_reports(&mut self, now: Ms, out: &mut Vec<Effect>) {
        let waiting = self.pieces.values().any(|w| w.queued);
        let (room, slots) = (self.config.room, self.config.slots);
        for (id, target) in &mut self.targets {
            // Pieces are left although the target would take a call. As long as results of others
            // may be the cause, the room that they leave is found by further reports.
            let held_back = waiting && target.usable(now) && target.accepts(now, slots);
            if held_back && target.foreign.is_reported(now, room) {
                target.report.request();
            }
            if target.live && target.report.take(now) {
                out.push(Effect::Report(id.clone()));
            }
        }
    }

    /// Targets at which results of others have begun or ceased to occupy memory since this was last
    /// called.
    pub fn take_foreign(&mut self, now: Ms) -> Vec<ForeignChange> {
        let room = self.config.room;
        let targets = self.targets.iter_mut();
        let change = targets.map(|(id, t)| (id, t.foreign.take_change(now, room)));
        let change = change.filter_map(|(id, bytes)| {
            bytes.map(|bytes| ForeignChange { target: id.clone(), bytes })
        });
        change.collect()
    }

    /// Memory for results in use at all targets.
    pub fn usage(&self, now: Ms) -> RoomUsage {
        self.targets.values().fold(RoomUsage::default(), |sum, target| RoomUsage {
            used: sum.used + target.own(now),
            foreign: sum.foreign + target.foreign.bytes(now),
        })
    }
}
