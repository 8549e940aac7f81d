//! The regions in which a request may be served, cached and stored.

use base::RegionId;
use std::sync::Arc;

/// The regions in which a request may be served, cached and stored: those that its route and its
/// workspace both allow.
///
/// Computed once when a request is admitted, and carried with the request and its stages, so that
/// all later decisions (retries, resumed streams, stage work passed to another region) follow the
/// same restriction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Residency {
    /// Any region.
    #[default]
    Anywhere,
    /// Only these regions; an empty list if two declarations have no region in common.
    Within(Arc<[RegionId]>),
}

impl Residency {
    /// Creates it from declared regions; an empty declaration restricts nothing.
    pub fn declared(regions: impl IntoIterator<Item = RegionId>) -> Self {
        let regions: Arc<[RegionId]> = regions.into_iter().collect();
        match regions.is_empty() {
            true => Self::Anywhere,
            false => Self::Within(regions),
        }
    }

    /// The regions that both allow.
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

    /// Whether a location is allowed whose region may be unknown. An unknown region counts as none
    /// of the named ones.
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
