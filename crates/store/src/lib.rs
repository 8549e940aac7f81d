//! Client of the platform's object API: versions, conditional writes, watches, and writes whose
//! answer was lost.
//!
//! [`Api`] is the border. [`HttpApi`] speaks to the platform, [`RateLimited`] limits how often; tests
//! put an in-memory one in its place, and [`Empty`] stands where there is none.

mod api;
mod bounded;
mod doubt;
mod empty;
mod error;
mod http;

pub use api::Api;
pub use bounded::{CallCounts, RateLimited};
pub use doubt::{Change, WriteOutcome, write};
pub use empty::Empty;
pub use error::StoreError;
pub use http::{HttpApi, HttpConfig};
