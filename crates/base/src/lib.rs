//! Types shared by all crates: time in milliseconds, identifiers, and stable hashing.
//!
//! This crate does no network or file I/O and holds no policy.

mod clock;
mod hash;
mod id;
mod pause;
mod suspect;

pub use clock::{BootClock, Clock, ManualClock, Ms, SystemClock};
pub use hash::{hash_parts, rendezvous};
pub use id::{
    Attempt, BuildId, ChangeId, DomainId, Generation, HostId, IdError, Key, ModelId, PipelineId,
    PoolId, RegionId, RequestId, StageId, TargetId, Version, WorkspaceId,
};
pub use pause::{PauseMeter, TURN_INTERVAL};
pub use suspect::Suspect;
