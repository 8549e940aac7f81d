//! Calls between hosts, over tarpc.
//!
//! [`Peers`] is the calling side and [`PeerHandler`] the answering one; both are traits, so that
//! tests can connect hosts in memory. [`PeerClient`] and [`Listener`] implement them over TCP.

mod api;
mod client;
mod error;
mod listener;
mod meter;
mod size;
mod tunnel;

pub use api::{Claims, PeerHandler, Peers, StagePeers, StageServer, View, ViewHost};
pub use client::PeerClient;
pub use error::PeerError;
pub use listener::{BoundListener, Listener};
pub use size::{answer_bytes, call_bytes};
pub use tunnel::Tunnel;
