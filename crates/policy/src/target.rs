//! The state of one target as this host knows it, and the gate that all new work passes.

use base::{Ms, TargetId};

use crate::health::{self, Gate, HealthSignal, Phase, PhaseContext};
use crate::limit::Limit;
use crate::{Decision, decision::DisabledDecisions};

/// Half-life of a load report: about the duration of a call.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;
/// Age after which a load report no longer allows borrowing free slots.
const REPORT_TTL: Ms = Ms(2_000);
/// Share of a target's slots in another failure domain that may be used while there is no load
/// report from there.
const UNREPORTED_SHARE: f64 = 0.5;

/// Distance of a target from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    /// In this host's failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In another region.
    Far,
}

/// A load report of a target, or of a pool in another failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Report {
    /// Load at the target that did not come from this host's running calls.
    pub(crate) others: f64,
    /// Calls of this host that were running there when the report was received.
    pub(crate) own: f64,
    /// Fraction of the slots that is free, 0 to 1.
    pub(crate) free: f64,
    /// Time at which the report was taken.
    pub(crate) at: Ms,
}

impl Report {
    pub(crate) fn fresh(&self, now: Ms) -> bool {
        self.at > Ms::ZERO && now < self.at + REPORT_TTL
    }
}

/// Input that is the same for all targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Context {
    pub(crate) now: Ms,
    /// Number of live hosts in this failure domain.
    pub(crate) hosts: u32,
    /// Number of failure domains in the configuration.
    pub(crate) domains: u32,
    /// Duration of a ramp-up.
    pub(crate) ramp_time: Ms,
    pub(crate) disabled: DisabledDecisions,
}

impl Context {
    pub(crate) fn phase_context(&self) -> PhaseContext {
        PhaseContext { now: self.now, ramp_time: self.ramp_time }
    }
}

/// A target.
pub(crate) struct Target {
    pub(crate) name: TargetId,
    pub(crate) slots: u32,
    pub(crate) tier: Tier,
    /// Number of its failure domain.
    pub(crate) domain: u32,
    /// Number of its pool within its failure domain.
    pub(crate) domain_pool: u32,
    /// Queues that it can serve.
    pub(crate) queues: Vec<u32>,
    /// Hash of its name.
    pub(crate) hash: u64,
    /// Whether the current configuration contains it.
    pub(crate) declared: bool,
    /// Calls of this host that it is running.
    pub(crate) running: u32,
    /// How many of these calls belong to marked requests, which have been on a target that broke;
    /// see [`crate::poison`].
    pub(crate) marked: u32,
    /// Whether marked calls have overlapped since the target last ran none.
    pub(crate) marked_overlap: bool,
    pub(crate) report: Report,
    pub(crate) pool_report: Report,
    pub(crate) limit: Limit,
    /// When a call may be sent again to find out whether it is still slow.
    pub(crate) next_probe: Ms,
    pub(crate) lifecycle: health::Lifecycle,
}

impl Target {
    /// All new work passes this gate, whether it is a first attempt, a retry, a hedge, a resumed
    /// stream or a probe, so that a target that is leaving service can't get any work on another
    /// path.
    pub(crate) fn gate(&self, context: &Context) -> Gate {
        let gate = self.lifecycle.state().gate(context.phase_context());
        match gate {
            _ if !self.declared => Gate::Closed,
            Gate::Share(_) if context.disabled.contains(Decision::Ramp) => Gate::Share(1.0),
            gate => gate,
        }
    }

    /// Whether the target may return to service on its own.
    pub(crate) fn may_return(&self) -> bool {
        self.declared && matches!(self.lifecycle.state(), Phase::Suspect { .. })
    }

    /// Records the start of a call.
    pub(crate) fn begin(&mut self, marked: bool) {
        self.running += 1;
        self.marked += u32::from(marked);
        self.marked_overlap |= self.marked > 1;
    }

    /// Records the end of a call.
    pub(crate) fn end(&mut self, marked: bool) {
        self.running -= 1;
        self.marked -= u32::from(marked);
        self.marked_overlap &= self.marked > 0;
    }

    /// Number of concurrent calls that this host may run on it.
    pub(crate) fn max_calls(&self, context: &Context) -> u32 {
        match self.gate(context) {
            Gate::Closed => 0,
            Gate::Probe => 1,
            Gate::Share(_) if context.disabled.contains(Decision::Limit) => u32::MAX,
            Gate::Share(share) => self.limit.max_calls(self.slot_share(context) * share) as u32,
        }
    }

    /// Whether it can take one more call.
    pub(crate) fn has_room(&self, context: &Context) -> bool {
        self.running < self.max_calls(context)
    }

    /// Number of slots that this host may use.
    fn slot_share(&self, context: &Context) -> f64 {
        let slots = f64::from(self.slots);
        let hosts = f64::from(context.hosts.max(1));
        let domains = f64::from(context.domains.max(1));
        let remote = self.tier != Tier::Domain;
        let slot_share = match () {
            () if self.report.fresh(context.now) => {
                let sharers = if remote { hosts * domains } else { hosts };
                let borrowed = self.report.own + self.report.free * slots / sharers;
                if remote { borrowed } else { borrowed.max(slots / hosts) }
            }
            () if remote && self.pool_report.fresh(context.now) => {
                self.pool_report.own + self.pool_report.free * slots / (hosts * domains)
            }
            () if remote => slots / hosts * UNREPORTED_SHARE,
            () => slots / hosts,
        };
        slot_share.min(slots)
    }

    /// Load with one more call, relative to its slots, times its slowdown. This host's own calls
    /// are known exactly; the load of others is reported late, so its weight decays with the age of
    /// the report.
    pub(crate) fn score(&self, now: Ms) -> f64 {
        let age = (now - self.report.at).0 as f64;
        let others = if self.report.others > 0.0 {
            self.report.others * (-age / REPORT_HALF_LIFE_MS).exp2()
        } else {
            0.0
        };
        let load = f64::from(self.running) + others + 1.0;
        load / f64::from(self.slots.max(1)) * self.limit.slowdown().max(0.5)
    }

    /// Handles a load report.
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

    /// Handles a health signal.
    pub(crate) fn signal(&mut self, signal: HealthSignal, context: &Context) {
        self.lifecycle.handle_with_context(&signal, &mut context.phase_context());
    }
}
