//! Streams and the software versions at which they began, as one host writes them to the platform's
//! store.

use base::{BuildId, Ms};
use std::collections::BTreeMap;

/// Streams that one host has begun within a short time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginBatch {
    /// Until when any of their callers may take one up.
    pub until: Ms,
    /// The keys of the streams by version.
    pub streams: BTreeMap<BuildId, Vec<u64>>,
}
