//! A fleet in one process on loopback: stand-ins and entry hosts on free ports, for trials, tests
//! and benchmarks.

mod cluster;
mod error;

pub use cluster::{Cluster, Options, RequestSpec};
pub use error::LocalError;
