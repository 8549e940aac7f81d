//! What the edge hosts serve: routes, services, workspaces and live targets.
//!
//! [`Catalog`] is one accepted version of the operators' declarations, validated and indexed.
//! [`Registry`] holds the targets' registrations, and [`ChangeLog`] records how they changed, for
//! the hosts that follow this one, by [`Position`] in the store's history. [`Freshness`] decides whether a host may still accept API keys,
//! by the age of its last confirmed read. [`Builds`] lists the software versions at which streams may
//! have begun, and [`Quarantine`] what ends targets. Nothing here does I/O or reads a clock.

mod builds;
mod entry;
mod freshness;
mod log;
mod model;
mod origins;
mod position;
mod quarantine;
mod registry;
mod residency;

pub use builds::{Build, Builds, MAX_STREAM_LIFETIME, UnusedBuilds};
pub use entry::{Entry, TargetState};
pub use freshness::{Freshness, KEY_PROOF_PERCENT, Proof};
pub use log::{ChangeLog, Delta, Update};
pub use model::{
    Backend, Batch, Catalog, CatalogError, Engine, Limits, MAX_RANK, RetrySafety, Route, Service,
    Stage, Warmup, Workspace,
};
pub use origins::OriginBatch;
pub use position::Position;
pub use quarantine::{Finding, MAX_QUARANTINED, Quarantine, QuarantineChanges, QuarantineList};
pub use registry::{LAPSE_GRACE, Observation, Registry, RegistryEvent, Target};
pub use residency::Residency;
