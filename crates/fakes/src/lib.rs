//! Test doubles for the services that the system depends on: the platform's object API and the
//! targets.
//!
//! They speak the same HTTP protocols as the real ones and inject faults on demand. Nothing here is
//! linked into the daemon.

mod gate;
mod mem;
mod objects;
mod platform;
mod target;
mod target_config;
mod target_guard;
mod text;

pub use gate::{Gate, GatedApi};
pub use mem::{MemApi, MemFaults, MemStore};
pub use objects::Objects;
pub use platform::{Platform, PlatformFaults, PlatformStats};
pub use target::Target;
pub use target_config::{TargetConfig, TargetFaults, TargetStats};
pub use text::{expected_output, generated, token};
