//! Gossip between hosts: what a host learns from the platform and from other hosts, and what it
//! passes on to them.
//!
//! A [`Node`] sends [`Update`]s in order on a channel: the configuration in force, live hosts,
//! leaving targets, loads and poison marks. All decisions are made by the reducer [`State`], and
//! the node only carries them out, so tests can run the same reducer in virtual time.

mod caches;
mod config;
mod duties;
mod event;
mod exchange;
mod fleet;
mod leaving;
mod loads;
mod members;
mod node;
mod platform;
mod poison;
mod polls;
mod reader;
mod results;
mod round;
mod rumors;
mod state;
mod update;

pub use config::{GossipConfig, Safeguard};
pub use event::{CallId, Effect, Event, Kind};
pub use fleet::{Checker, Parser};
pub use node::{FLEET_KIND, FLEET_NAME, Node, NodeConfig};
pub use reader::{Counters, Reader};
pub use state::State;
pub use update::{Announcement, Update};
