//! The entry host: accepts callers' requests, runs them stage by stage on targets, and returns to
//! each caller a whole answer or a refusal with an error code.
//!
//! Path of a request: `caller` parses it; `core` submits it to the policy's reducer and executes
//! the effects (`effects`); `attempt` runs a stage on a target; `results` matches what the target
//! returns with the request; and the replies go back to the caller through its
//! `reply::ReplyReceiver`.

mod active;
mod admin;
mod attempt;
mod caller;
mod claims;
mod connector;
mod core;
mod effects;
mod error;
mod host;
mod http_connector;
mod metrics;
mod news;
mod outbox;
mod probe;
mod problem;
mod reply;
mod results;

pub use self::core::{CheckedRequest, Core, CoreDeps};
pub use connector::{CallLimits, Connection, Connector, ProbeResult};
pub use error::{CallerError, HostError};
pub use host::{Host, Stopped};
pub use reply::{Reply, ReplyReceiver};
