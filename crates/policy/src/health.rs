//! The life of a target: open, climbing, suspect, leaving.

use base::Ms;
use statig::prelude::*;

use crate::Fault;
use crate::ramp::RampUp;

/// Faults in a row that make a target suspect. One may be the request's.
const FAULTS: u32 = 3;
/// First time out, doubled with each further one.
const OUT: Ms = Ms(500);
/// Longest time out: a target that is back is found within it.
const OUT_MOST: Ms = Ms(8_000);

/// What is learned of a target's health.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthSignal {
    /// It gave a result.
    Good,
    /// It failed.
    Bad(Fault),
    /// It is leaving.
    Leaving,
    /// It is new.
    Fresh,
    /// It has come back.
    Back,
}

/// When a signal came, and how long a climb takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct When {
    pub(crate) now: Ms,
    pub(crate) span: Ms,
}

/// How much of its load a target may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Gate {
    /// Nothing.
    Shut,
    /// One call, to see whether it is well.
    Probe,
    /// This share, above 0 to 1.
    Share(f64),
}

/// What outlives the phases.
#[derive(Debug, Default)]
pub(crate) struct Health {
    faults: u32,
    outs: u32,
}

/// The life itself.
pub(crate) type Life = InitializedStateMachine<Health>;

/// Starts a target's life in full use.
pub(crate) fn life() -> Life {
    Health::default()
        .uninitialized_state_machine()
        .init_with_context(&mut When { now: Ms::ZERO, span: Ms::ZERO })
}

impl Phase {
    /// What a target in this phase may get.
    pub(crate) fn gate(&self, when: When) -> Gate {
        match self {
            Self::Open {} => Gate::Share(1.0),
            Self::Climbing { climb } => {
                Gate::Share(climb.share(when.now, when.span).unwrap_or(1.0))
            }
            Self::Suspect { until } if when.now >= *until => Gate::Probe,
            Self::Suspect { .. } | Self::Leaving {} => Gate::Shut,
        }
    }
}

#[state_machine(
    initial = "Phase::open()",
    state(name = "Phase", derive(Debug, Clone, Copy, PartialEq)),
    event_identifier = "signal",
    context_identifier = "when"
)]
impl Health {
    #[state(superstate = "serving")]
    fn open(when: &mut When, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Fresh => Transition(Phase::climbing(RampUp::new(when.now))),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn climbing(climb: &mut RampUp, when: &mut When, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Good if climb.share(when.now, when.span).is_none() => {
                Transition(Phase::open())
            }
            HealthSignal::Bad(_) => {
                *climb = climb.hold(when.now, when.span);
                Super
            }
            _ => Super,
        }
    }

    #[state]
    fn suspect(
        &mut self,
        until: &mut Ms,
        when: &mut When,
        signal: &HealthSignal,
    ) -> Outcome<Phase> {
        match signal {
            HealthSignal::Good => {
                self.faults = 0;
                Transition(Phase::climbing(RampUp::last(when.now, when.span)))
            }
            // Calls sent before it became suspect still fail; only a probe's fault counts.
            HealthSignal::Bad(_) if when.now >= *until => {
                *until = when.now + self.out();
                Handled
            }
            HealthSignal::Bad(_) => Handled,
            HealthSignal::Leaving => Transition(Phase::leaving()),
            HealthSignal::Fresh | HealthSignal::Back => {
                Transition(Phase::climbing(RampUp::new(when.now)))
            }
        }
    }

    #[state]
    fn leaving(when: &mut When, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Back => Transition(Phase::climbing(RampUp::new(when.now))),
            _ => Handled,
        }
    }

    #[superstate]
    fn serving(&mut self, when: &mut When, signal: &HealthSignal) -> Outcome<Phase> {
        match signal {
            HealthSignal::Good => {
                self.faults = 0;
                self.outs = 0;
                Handled
            }
            HealthSignal::Bad(fault) => {
                self.faults += 1;
                let enough = self.faults >= FAULTS || matches!(fault, Fault::Dead | Fault::Broken);
                match enough {
                    true => Transition(Phase::suspect(when.now + self.out())),
                    false => Handled,
                }
            }
            HealthSignal::Leaving => Transition(Phase::leaving()),
            HealthSignal::Fresh | HealthSignal::Back => Handled,
        }
    }

    fn out(&mut self) -> Ms {
        let out = Ms(OUT.0 << self.outs.min(8)).min(OUT_MOST);
        self.outs += 1;
        out
    }
}
