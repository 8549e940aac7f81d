//! Simulates many hosts in one thread and in virtual time. The hosts run the real reducers of crate
//! `gossip`; links, platform and targets are kept in memory and fail on demand.
//!
//! For tests and measurements only; nothing here is linked into the daemons. A fixed seed gives the
//! same run each time.

mod calls;
mod fleet;
mod host;
mod mesh;
mod platform;

pub use fleet::{FleetSize, fleet_yaml, host_config, object};
pub use host::{Learned, Target, Traffic};
pub use mesh::Mesh;
pub use platform::{Faults, Platform};
