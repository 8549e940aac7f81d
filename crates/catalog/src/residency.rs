//! Regions in which a request may be served, cached and stored.

use base::RegionId;
use std::sync::Arc;

/// Where a request may be: what its route and its workspace allow together.
///
/// Computed once when a request is admitted and carried with it and with its stages, so that each
/// later choice (second sends, resumed streams, stage work passed to another region) asks the same
/// answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Residency {
    /// Any region.
    #[default]
    Anywhere,
    /// These regions only; an empty list when two declarations exclude each other.
    Within(Arc<[RegionId]>),
}

impl Residency {
    /// From declared regions; an empty declaration restricts nothing.
    pub fn declared(regions: impl IntoIterator<Item = RegionId>) -> Self {
        let regions: Arc<[RegionId]> = regions.into_iter().collect();
        match regions.is_empty() {
            true => Self::Anywhere,
            false => Self::Within(regions),
        }
    }

    /// What both allow.
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, limit) | (limit, Self::Anywhere) => limit.clone(),
            (Self::Within(regions), limit) => {
                Self::Within(regions.iter().filter(|r| limit.allows(r)).cloned().collect())
            }
        }
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &RegionId) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Within(regions) => regions.contains(region),
        }
    }

    /// Whether a place is allowed whose region may be unknown: an unknown region is none of those
    /// that are named.
    pub fn allows_place(&self, region: Option<&RegionId>) -> bool {
        match region {
            Some(region) => self.allows(region),
            None => *self == Self::Anywhere,
        }
    }

    /// Whether no region is allowed at all.
    pub fn is_nowhere(&self) -> bool {
        matches!(self, Self::Within(regions) if regions.is_empty())
    }

    /// The named regions; empty when any region is allowed.
    pub fn regions(&self) -> &[RegionId] {
        match self {
            Self::Anywhere => &[],
            Self::Within(regions) => regions,
        }
    }
}
