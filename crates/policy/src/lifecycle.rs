//! The lifecycle of a request: registering, waiting, running, ended.

use statig::prelude::*;

/// Events in the lifecycle of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// Its idempotency key is being recorded.
    Register,
    /// A stage is queued for a target.
    Wait,
    /// A stage was sent.
    Send,
    /// The request was answered.
    End,
}

/// Storage of the state machine. A request has no state here other than its phase.
#[derive(Debug, Default)]
pub(crate) struct Request;

/// The state machine of one request.
pub(crate) type Lifecycle = InitializedStateMachine<Request>;

/// Creates the state machine of a request that was admitted, with nothing registered or sent yet.
pub(crate) fn start() -> Lifecycle {
    Request.uninitialized_state_machine().init()
}

#[state_machine(
    initial = "Phase::admitted()",
    state(name = "Phase", derive(Debug, Clone, Copy, PartialEq, Eq)),
    event_identifier = "step"
)]
impl Request {
    #[state(superstate = "open")]
    fn admitted(step: &Step) -> Outcome<Phase> {
        match step {
            Step::Register => Transition(Phase::registering()),
            Step::Wait => Transition(Phase::waiting()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn registering(step: &Step) -> Outcome<Phase> {
        match step {
            Step::Wait => Transition(Phase::waiting()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn waiting(step: &Step) -> Outcome<Phase> {
        match step {
            Step::Send => Transition(Phase::running()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn running(step: &Step) -> Outcome<Phase> {
        match step {
            Step::Wait => Transition(Phase::waiting()),
            _ => Super,
        }
    }

    #[state]
    fn ended() -> Outcome<Phase> {
        Handled
    }

    #[superstate]
    fn open(step: &Step) -> Outcome<Phase> {
        match step {
            Step::End => Transition(Phase::ended()),
            _ => Handled,
        }
    }
}
