//! Requests with stages made in batches, in virtual time: who fills the calls of stage targets.
//!
//! Many hosts get requests; a few targets with one place each make the pieces of their stages, in
//! calls whose fixed time outweighs that of a piece. A [`Design`] says which host composes a
//! target's calls; each composer is a [`sched::batch::Batcher`] as the product runs it. Other
//! designs are given what they would have to earn: leases pass without a message, and who owns a
//! target knows its queue.
//!
//! The engine after the stages is a constant time here: the rest of this crate models engines.

mod design;
mod faults;
mod path;
mod play;
mod requests;
mod targets;

pub use design::{Design, Fault, Load, RunStats};
pub use path::KINDS;
pub use play::{RUN_LENGTH, simulate};
