//! Parses and checks a host's settings and the fleet's configuration.
//!
//! [`Settings`] belong to one process and are read once from a YAML file. [`Fleet`] is what
//! operators declare for all hosts: pipelines, defaults and exceptions. [`Plan`] is a checked
//! `Fleet`, indexed for lookups at run time.

mod check;
mod defaults;
mod error;
mod fleet;
mod kind;
mod names;
mod parse_fault;
mod plan;
mod settings;
mod source_map;
mod warn;

pub use defaults::{Defaults, Placement, Priority};
pub use error::{Fault, FaultKind, ParseError};
pub use fleet::{
    Domain, Exception, Fleet, Model, Pipeline, Pool, PoolKind, Region, Stage, Target, Workspace,
};
pub use kind::FileKind;
pub use plan::{Effective, Plan, PlanStage, PlanTarget, Source};
pub use settings::{JournalSettings, Limits, Peer, Rates, Settings, Silence};
pub use warn::warnings;
