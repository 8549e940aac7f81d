//! Simulation of requests with batched stages in virtual time, to compare which host should compose
//! the calls to stage targets.
//!
//! Many hosts receive requests. A few targets, each of which runs one call at a time, make the
//! pieces of the stages in calls whose fixed time outweighs the time per piece. A [`Design`] states
//! which host composes a target's calls; each composer is a [`sched::batch::Batcher`], the same
//! code as in production. The alternative designs get some things for free that would cost them
//! messages in practice: leases pass on without a message, and the host that owns a target knows
//! its queue.
//!
//! The engine after the stages is a constant time here; the rest of this crate models engines.

mod design;
mod faults;
mod path;
mod requests;
mod simulation;
mod targets;

pub use design::{Design, Fault, Load, RunStats};
pub use path::KINDS;
pub use simulation::{RUN_LENGTH, simulate};
