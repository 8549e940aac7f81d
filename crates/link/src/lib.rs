//! HTTP/1.1 on both sides, as this system needs it.
//!
//! [`Pool`] keeps connections to one address and tells exactly whether a request was handed to a
//! socket, because what callers are told about `ran` rests on it. [`serve`] takes connections
//! with bounds on everything that a stranger sends, and stops without cutting an answer.

mod body;
mod client;
mod error;
mod server;

pub use body::{Body, full, json, read, stream};
pub use client::{Conn, ConnPolicy, Pool, PoolConfig, call};
pub use error::LinkError;
pub use server::{Bounds, Handler, ServeSummary, Stop, serve};
