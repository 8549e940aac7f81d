//! The decisions under load of an entry host: what is let in, what waits, what is turned away,
//! and where each stage runs.
//!
//! A [`Reducer`] takes events and gives effects. It reads no clock, does no I/O and draws random
//! numbers only from a seeded generator of its own, so the same events give the same effects.

mod admit;
mod arrive;
mod budget;
mod cache;
mod decision;
mod effect;
mod event;
mod fair;
mod finish;
mod health;
mod hedge;
mod learn;
mod life;
mod limit;
mod naive;
mod open;
mod place;
mod poison;
mod queue;
mod ramp;
mod ran;
mod reducer;
mod retry;
mod route;
mod run;
mod state;
mod target;
mod view;
mod wait_queue;

pub use decision::Decision;
pub use effect::{Code, Effect, Ending, Refusal, Verdict};
pub use event::{Arrival, Event, Fault, Grant, Usage};
pub use naive::Naive;
pub use ran::{Ledger, Ran};
pub use reducer::{HostContext, Reducer};
pub use state::State;
