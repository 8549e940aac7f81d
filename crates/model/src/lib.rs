//! Discrete-event simulation of the served deployments, to evaluate policy decisions in virtual
//! time without a network or a real clock.
//!
//! A [`Script`] describes the load and the faults; [`run`] executes it against simulated entry
//! hosts, each with a [`policy::Reducer`], and targets that are modelled as small queues. The same
//! script, seed and policy give the same [`Outcome`].

mod cache;
mod callers;
pub mod cold;
mod deploy;

mod faults;
mod figures;
mod job;
mod load;
pub mod origins;
mod outcome;
pub mod parts;
mod pattern;
mod policies;
mod queue;
mod replay;
mod reports;
mod script;
mod serve;
mod server;
pub mod stages;
mod synth;
mod world;

pub use deploy::{Deployment, Model, Times};
pub use figures::Percentiles;
pub use outcome::{BrokenPromise, Group, Outcome, StageCost};
pub use pattern::Pattern;
pub use policies::Policy;
pub use replay::{Line, ReplayError, replay};
pub use script::{Change, Poisoned, Resend, Script};
pub use synth::{Size, synthetic};
pub use world::{Run, run};
