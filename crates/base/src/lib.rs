//! Shared ground of all crates: time in milliseconds, identifiers, and stable hashing.
//!
//! Nothing here knows about the network, files or any decision.

mod clock;
mod hash;
mod id;

pub use clock::{BootClock, Clock, ManualClock, Ms, SystemClock};
pub use hash::{hash_parts, rendezvous};
pub use id::{
    Attempt, ChangeId, DomainId, Generation, HostId, IdError, Key, ModelId, PipelineId, PoolId,
    RegionId, RequestId, StageId, TargetId, Version, WorkspaceId,
};
