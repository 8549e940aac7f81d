//! Calls between hosts, over tarpc.
//!
//! [`Peers`] is the calling side and [`PeerHandler`] the answering one; both are borders, so that
//! tests put hosts together in memory. [`PeerClient`] and [`Listener`] are the real ones.

mod api;
mod client;
mod error;
mod listener;
mod size;

pub use api::{Claims, PeerHandler, Peers, StagePeers, StageServer, View, ViewHost};
pub use client::PeerClient;
pub use error::PeerError;
pub use listener::{Bound, Listener};
pub use size::{answer_bytes, call_bytes};
