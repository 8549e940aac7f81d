//! A fleet in one process on loopback, for trials, tests and benchmarks: a fake platform, fake
//! targets and entry hosts on free ports.

mod cluster;
mod error;

pub use cluster::{Cluster, Options, RequestSpec};
pub use error::LocalError;
