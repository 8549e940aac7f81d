//! What the edge hosts serve: routes, services, workspaces and live targets.
//!
//! [`Catalog`] is one accepted version of the operators' declarations, checked and indexed.
//! [`Registry`] is what targets say of themselves, and [`ChangeLog`] how that changed, for hosts that
//! follow this one. [`Freshness`] tells what a host may still do by the age of what it knows. Nothing here does I/O or reads a clock.

mod entry;
mod freshness;
mod log;
mod model;
mod registry;
mod residency;

pub use entry::{Entry, TargetState};
pub use freshness::{Freshness, KEY_PROOF_SHARE, Proof};
pub use log::{ChangeLog, Delta, Update};
pub use model::{
    Backend, Batch, Catalog, CatalogError, Engine, Limits, RetrySafety, Route, Service, Stage,
    Warmup, Workspace,
};
pub use registry::{LAPSE_GRACE, Observation, Registry, RegistryEvent, Target};
pub use residency::Residency;
