//! Load management of an entry host: which requests are admitted, queued or refused, and which
//! target runs each stage.
//!
//! A [`Reducer`] takes events and returns effects. It reads no clock, does no I/O and draws random
//! numbers only from its own seeded generator, so the same events always give the same effects.

mod admit;
mod arrive;
mod attempt;
mod budget;
mod cache;
mod decision;
mod dispatch;
mod effect;
mod event;
mod execution;
mod fair;
mod finish;
mod health;
mod hedge;
mod learn;
mod lifecycle;
mod limit;
mod naive;
mod poison;
mod queue;
mod ramp;
mod reducer;
mod request;
mod retry;
mod route;
mod state;
mod target;
mod view;
mod wait_queue;

pub use decision::Decision;
pub use effect::{Code, Effect, Ending, Refusal, Verdict};
pub use event::{Arrival, Event, Fault, Grant, Usage};
pub use execution::{Ledger, Ran};
pub use naive::Naive;
pub use reducer::{HostContext, Reducer};
pub use state::State;
