//! The served systems in virtual time, to measure decisions without a network or a clock.
//!
//! A [`Script`] says what callers send and what fails; [`run`] plays it against entry hosts that
//! each hold a [`policy::Reducer`], and small queues that stand for targets. The same script,
//! seed and policy give the same [`Outcome`].

mod cache;
mod callers;
pub mod cold;
mod deploy;

mod faults;
mod figures;
mod job;
mod load;
mod news;
mod outcome;
mod pattern;
mod policies;
mod queue;
mod replay;
mod script;
mod serve;
mod server;
pub mod stages;
mod synth;
mod world;

pub use deploy::{Deployment, Model, Times};
pub use figures::Percentiles;
pub use outcome::{Broken, Group, Outcome, StageCost};
pub use pattern::Pattern;
pub use policies::Policy;
pub use replay::{Line, ReplayError, replay};
pub use script::{Change, Poisoned, Resend, Script};
pub use synth::{Size, synthetic};
pub use world::{Run, run};
