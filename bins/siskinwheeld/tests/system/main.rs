//! System tests with real processes: entry hosts, a fake platform and fake targets.

mod env;
mod failures;
mod fleet;
mod once;
mod path;

/// The configuration of the co-operative's example. The test environment fills in free ports.
const COOPERATIVE: &str = include_str!("../../../../examples/cooperative.yaml");
