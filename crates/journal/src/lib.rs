//! At-most-once execution of requests that must not be repeated.
//!
//! [`Journal`] is the interface to the entry host. A key is recorded by a conditional write in the
//! object API before anything of its request is sent to a target.

mod apply;
mod direct;
mod error;
mod journal;
mod layout;
mod message;
mod op;
mod records;
mod sharded;
mod shared;
mod writer;

pub use direct::Direct;
pub use error::JournalError;
pub use journal::{Claim, ClaimResult, Journal, Outcome};
pub use sharded::{Sharded, ShardedConfig};
pub use writer::SHARD_KIND;
