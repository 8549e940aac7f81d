//! At-most-once records for requests that may not be repeated.
//!
//! [`Journal`] is the border to the entry host. The record of a key is made by a conditional write
//! in the object API before anything of the request is sent.

mod book;
mod direct;
mod error;
mod journal;
mod layout;
mod message;
mod op;
mod sharded;
mod shared;
mod weigh;
mod writer;

pub use direct::Direct;
pub use error::JournalError;
pub use journal::{Claim, ClaimResult, Journal, Outcome};
pub use sharded::{Sharded, ShardedConfig};
pub use writer::SHARD_KIND;
