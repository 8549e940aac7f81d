//! The lifecycle of a target: healthy, ramping, suspect, leaving.

use base::Ms;
use statig::prelude::*;

use crate::Fault;
use crate::ramp::RampUp;

/// Number of consecutive faults that make a target suspect. A single fault may be caused by the
/// request.
const SUSPECT_FAULTS: u32 = 3;
/// Duration of the first backoff. It doubles with each further one.
const FIRST_BACKOFF: Ms = Ms(500);
/// Longest backoff. A target that has recovered is detected within this time.
const MAX_BACKOFF: Ms = Ms(8_000);

/// Events that affect a target's health.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthSignal {
    /// It returned a result.
    Success,
    /// It failed.
    Failure(Fault),
    /// It is being taken out of service.
    Leaving,
    /// It was added by a configuration.
    Added,
    /// It has returned to service.
    Returned,
}

/// Time of a signal, and the duration of a ramp-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PhaseContext {
    pub(crate) now: Ms,
    pub(crate) ramp_time: Ms,
}

/// How much of its load a target may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Gate {
    /// Nothing.
    Closed,
    /// A single call, to find out whether it has recovered.
    Probe,
    /// This share of its load, above 0 and up to 1.
    Share(f64),
}

/// State that is kept across the phases.
#[derive(Debug, Default)]
pub(crate) struct Health {
    faults: u32,
    outages: u32,
}

/// The state machine of one target.
pub(crate) type Lifecycle = InitializedStateMachine<Health>;

/// Creates the state machine of a target that gets its full load.
pub(crate) fn start() -> Lifecycle {
    Health::default()
        .uninitialized_state_machine()
        .init_with_context(&mut PhaseContext { now: Ms::ZERO, ramp_time: Ms::ZERO })
}

impl Phase {
    /// How much load a target in this phase may get.
    pub(crate) fn gate(&self, context: PhaseContext) -> Gate {
        match self {
            Self::Healthy {} => Gate::Share(1.0),
            Self::Ramping { ramp } => {
                Gate::Share(ramp.share(context.now, context.ramp_time).unwrap_or(1.0))
            }
            Self::Suspect { until } if context.now >= *until => Gate::Probe,
            Self::Suspect { .. } | Self::Leaving {} => Gate::Closed,
        }
    }
}

#[state_machine(
    initial = "Phase::healthy()",
    state(name = "Phase", derive(Debug, Clone, Copy, PartialEq)),
    event_identifier = "signal",
    context_identifier = "context"
)]
impl Health {
    #[state(superstate = "serving")]
    fn healthy(context: &mut PhaseContext, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Added => Transition(Phase::ramping(RampUp::new(context.now))),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn ramping(
        ramp: &mut RampUp,
        context: &mut PhaseContext,
        signal: &HealthSignal,
    ) -> Outcome<Phase> {
        match signal {
            HealthSignal::Success if ramp.share(context.now, context.ramp_time).is_none() => {
                Transition(Phase::healthy())
            }
            HealthSignal::Failure(_) => {
                *ramp = ramp.restart_step(context.now, context.ramp_time);
                Super
            }
            _ => Super,
        }
    }

    #[state]
    fn suspect(
        &mut self,
        until: &mut Ms,
        context: &mut PhaseContext,
        signal: &HealthSignal,
    ) -> Outcome<Phase> {
        match signal {
            HealthSignal::Success => {
                self.faults = 0;
                Transition(Phase::ramping(RampUp::at_last_step(context.now, context.ramp_time)))
            }
            // Calls sent before the target became suspect may still fail. Only the fault of a probe
            // counts.
            HealthSignal::Failure(_) if context.now >= *until => {
                *until = context.now + self.backoff();
                Handled
            }
            HealthSignal::Failure(_) => Handled,
            HealthSignal::Leaving => Transition(Phase::leaving()),
            HealthSignal::Added | HealthSignal::Returned => {
                Transition(Phase::ramping(RampUp::new(context.now)))
            }
        }
    }

    #[state]
    fn leaving(context: &mut PhaseContext, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Returned => Transition(Phase::ramping(RampUp::new(context.now))),
            _ => Handled,
        }
    }

    #[superstate]
    fn serving(&mut self, context: &mut PhaseContext, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Success => {
                self.faults = 0;
                self.outages = 0;
                Handled
            }
            HealthSignal::Failure(fault) => {
                self.faults += 1;
                let enough =
                    self.faults >= SUSPECT_FAULTS || matches!(fault, Fault::Dead | Fault::Broken);
                match enough {
                    true => Transition(Phase::suspect(context.now + self.backoff())),
                    false => Handled,
                }
            }
            HealthSignal::Leaving => Transition(Phase::leaving()),
            HealthSignal::Added | HealthSignal::Returned => Handled,
        }
    }

    fn backoff(&mut self) -> Ms {
        let backoff = Ms(FIRST_BACKOFF.0 << self.outages.min(8)).min(MAX_BACKOFF);
        self.outages += 1;
        backoff
    }
}
