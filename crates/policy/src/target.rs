//! What this host knows of one target, and the one gate before it.

use base::{Ms, TargetId};

use crate::health::{self, Gate, HealthSignal, Phase, When};
use crate::limit::Limit;
use crate::{Decision, decision::Without};

/// Time in which a load report loses half of its weight: about what calls take.
const HALF_MS: f64 = 1_000.0;
/// Time after which a report lends nothing any more.
const STALE: Ms = Ms(2_000);
/// Part of another failure domain's targets that may be used while nothing is known of their load.
const AWAY: f64 = 0.5;

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// In the host's failure domain.
    Domain,
    /// In another one of its region.
    Region,
    /// In another region.
    Far,
}

/// A load report: of a target, or of a pool in another failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    /// Requests there of which this host didn't know.
    pub(crate) others: f64,
    /// Calls of this host that ran there when the report came.
    pub(crate) own: f64,
    /// Share of the slots that is free, 0 to 1.
    pub(crate) free: f64,
    /// When it was true.
    pub(crate) at: Ms,
}

impl Report {
    pub(crate) fn fresh(&self, now: Ms) -> bool {
        self.at > Ms::ZERO && now < self.at + STALE
    }
}

/// What all targets are judged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    pub(crate) now: Ms,
    /// Live hosts of the failure domain.
    pub(crate) hosts: u32,
    /// Failure domains in the configuration.
    pub(crate) domains: u32,
    /// How long a climb takes.
    pub(crate) span: Ms,
    pub(crate) without: Without,
}

impl Context {
    pub(crate) fn when(&self) -> When {
        When { now: self.now, span: self.span }
    }
}

/// A target.
pub(crate) struct Target {
    pub(crate) name: TargetId,
    pub(crate) slots: u32,
    pub(crate) tier: Tier,
    /// Its failure domain.
    pub(crate) domain: u32,
    /// Its pool in its failure domain.
    pub(crate) zone: u32,
    /// Lines that it may serve.
    pub(crate) lines: Vec<u32>,
    /// Hash of its name.
    pub(crate) hash: u64,
    /// Whether the configuration in force has it.
    pub(crate) declared: bool,
    /// Calls of this host that run there.
    pub(crate) running: u32,
    /// Those of requests that were on a target that broke.
    pub(crate) marked: u32,
    /// Two of those ran there at once since there was none.
    pub(crate) mixed: bool,
    pub(crate) report: Report,
    pub(crate) zone_report: Report,
    pub(crate) limit: Limit,
    /// When it may be tried again though it is slow.
    pub(crate) retry: Ms,
    pub(crate) life: health::Life,
}

impl Target {
    /// The one gate: new work of any kind, be it first, retry, hedge, resume or probe, goes to a
    /// target only through here, so that one that is leaving can't get any by a side way.
    pub(crate) fn gate(&self, context: &Context) -> Gate {
        let gate = self.life.state().gate(context.when());
        match gate {
            _ if !self.declared => Gate::Shut,
            Gate::Share(_) if context.without.has(Decision::Ramp) => Gate::Share(1.0),
            gate => gate,
        }
    }

    /// Whether it may serve again without anybody's doing.
    pub(crate) fn may_return(&self) -> bool {
        self.declared && matches!(self.life.state(), Phase::Suspect { .. })
    }

    /// Counts a call in.
    pub(crate) fn begin(&mut self, marked: bool) {
        self.running += 1;
        self.marked += u32::from(marked);
        self.mixed |= self.marked > 1;
    }

    /// Counts a call out.
    pub(crate) fn end(&mut self, marked: bool) {
        self.running -= 1;
        self.marked -= u32::from(marked);
        self.mixed &= self.marked > 0;
    }

    /// Calls of this host that it may run at once.
    pub(crate) fn calls(&self, context: &Context) -> u32 {
        match self.gate(context) {
            Gate::Shut => 0,
            Gate::Probe => 1,
            Gate::Share(_) if context.without.has(Decision::Limit) => u32::MAX,
            Gate::Share(share) => self.limit.calls(self.part(context) * share) as u32,
        }
    }

    /// Whether it may get one more call.
    pub(crate) fn room(&self, context: &Context) -> bool {
        self.running < self.calls(context)
    }

    /// Slots that this host may use.
    fn part(&self, context: &Context) -> f64 {
        let slots = f64::from(self.slots);
        let hosts = f64::from(context.hosts.max(1));
        let domains = f64::from(context.domains.max(1));
        let away = self.tier != Tier::Domain;
        let part = match () {
            () if self.report.fresh(context.now) => {
                let sharers = if away { hosts * domains } else { hosts };
                let lent = self.report.own + self.report.free * slots / sharers;
                if away { lent } else { lent.max(slots / hosts) }
            }
            () if away && self.zone_report.fresh(context.now) => {
                self.zone_report.own + self.zone_report.free * slots / (hosts * domains)
            }
            () if away => slots / hosts * AWAY,
            () => slots / hosts,
        };
        part.min(slots)
    }

    /// How loaded it looks with one more call, 1 being full, times how slow it is: own calls are
    /// known, others' come late and fade.
    pub(crate) fn score(&self, now: Ms) -> f64 {
        let age = (now - self.report.at).0 as f64;
        let others = if self.report.others > 0.0 {
            self.report.others * (-age / HALF_MS).exp2()
        } else {
            0.0
        };
        let load = f64::from(self.running) + others + 1.0;
        load / f64::from(self.slots.max(1)) * self.limit.pace().max(0.5)
    }

    /// Takes a load report.
    pub(crate) fn load(&mut self, running: u32, queued: u32, at: Ms) {
        if at < self.report.at {
            return;
        }
        let total = f64::from(running) + f64::from(queued);
        let slots = f64::from(self.slots.max(1));
        let free = ((slots - total) / slots).max(0.0);
        let own = f64::from(self.running);
        self.report = Report { others: (total - own).max(0.0), own, free, at };
    }

    /// Takes a signal of its health.
    pub(crate) fn signal(&mut self, signal: HealthSignal, context: &Context) {
        self.life.handle_with_context(&signal, &mut context.when());
    }
}
