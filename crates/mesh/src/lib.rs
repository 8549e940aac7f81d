//! Many hosts' real reducers of crate `gossip` in one thread and virtual time, over links, a
//! platform and targets that are held in memory and fail on demand.
//!
//! For tests and measurements; nothing here is linked into the daemons. Fixed seeds give the same
//! run.

mod calls;
mod fleet;
mod host;
mod mesh;
mod platform;

pub use fleet::{FleetSize, fleet_yaml, object, rules};
pub use host::{Learned, Target, Traffic};
pub use mesh::Mesh;
pub use platform::{Faults, Platform};
