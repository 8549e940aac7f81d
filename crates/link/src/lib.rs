//! HTTP/1.1 client and server.
//!
//! [`Pool`] keeps connections to one address and reports exactly whether a request was handed to a
//! socket, because the field `ran` in answers to callers depends on it. [`serve`] accepts
//! connections with limits on everything that an untrusted client sends, and stops without
//! cutting off an answer.

mod body;
mod client;
mod counted;
mod error;
mod limited;
mod listen;
mod server;

pub use body::{Body, full, json, read, read_counted, stream};
pub use client::{Conn, ConnPolicy, Pool, PoolConfig, call};
pub use counted::Progress;
pub use error::{BodyError, LinkError};
pub use listen::listen;
pub use server::{Bounds, EVICT_TIMEOUT, Handler, ServeSummary, Stop, serve, serve_within};
