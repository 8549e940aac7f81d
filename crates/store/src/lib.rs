//! Client of the platform's object API: versions, conditional writes, watches, and writes whose
//! answer was lost.
//!
//! [`Api`] is the interface. [`HttpApi`] implements it over HTTP, [`RateLimited`] bounds the rate
//! of calls, and [`Empty`] serves nodes that have no object API. Tests use an in-memory
//! implementation.

mod api;
mod empty;
mod error;
mod http;
mod rate_limit;
mod write;

pub use api::Api;
pub use empty::Empty;
pub use error::StoreError;
pub use http::{HttpApi, HttpConfig};
pub use rate_limit::{CallCounts, RateLimited};
pub use write::{Change, WriteOutcome, write};
