//! Calls between hosts, over tarpc.
//!
//! [`Peers`] is the calling side and [`PeerHandler`] the answering one; both are borders, so that
//! tests put hosts together in memory. [`Wire`] and [`Listener`] are the real ones.

mod api;
mod error;
mod listener;
mod size;
mod wire_peers;

pub use api::{Claims, PeerHandler, Peers, StagePeers, StageServer, View, ViewHost};
pub use error::PeerError;
pub use listener::{Bound, Listener};
pub use size::{answer_bytes, call_bytes};
pub use wire_peers::Wire;
