//! The list of software versions at which streams may have begun, kept in the platform's store.
//!
//! A stream may go on only at the version that began it, and the host that knows the version may
//! have ended. So a host begins a stream that can be taken up only at a version that the list names,
//! and adds a new one first. Therefore a service with one version in the list has begun all its
//! streams there, whoever began them: no host need be told of any, and a fleet that was restarted as
//! a whole still knows.
//!
//! Registrations can't prove that: a version may have left since a stream began.

use base::{BuildId, PoolId};
use std::collections::{BTreeMap, BTreeSet};

use crate::Position;

/// One version of a service's software.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Build {
    /// The service.
    pub service: PoolId,
    /// The version of its targets' software.
    pub id: BuildId,
}

/// The list, as this host knows it.
#[derive(Debug, Default)]
pub struct Builds {
    position: Option<Position>,
    services: BTreeMap<PoolId, BTreeSet<BuildId>>,
}

impl Builds {
    /// Applies the list as it was read at a position of the store. Returns whether that was newer
    /// than what is known.
    ///
    /// Versions are only ever added. A store that came back from an older copy may lack some that
    /// this host knows; they stay known here until they are listed again.
    pub fn apply(&mut self, read: Position, listed: impl IntoIterator<Item = Build>) -> bool {
        let newer = self.position.is_none_or(|known| read > known);
        self.position = self.position.max(Some(read));
        for build in listed {
            self.services.entry(build.service).or_default().insert(build.id);
        }
        newer
    }

    /// The position up to which the list is known; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Whether streams may begin at a version.
    pub fn lists(&self, service: &PoolId, build: &BuildId) -> bool {
        self.services.get(service).is_some_and(|builds| builds.contains(build))
    }

    /// The version at which all streams of a service began; none if there are several, or none yet.
    pub fn only(&self, service: &PoolId) -> Option<&BuildId> {
        let mut builds = self.services.get(service)?.iter();
        builds.next().filter(|_| builds.next().is_none())
    }

    /// Whether streams of a service may have begun at several versions.
    pub fn is_mixed(&self, service: &PoolId) -> bool {
        self.services.get(service).is_some_and(|builds| builds.len() > 1)
    }

    /// Whether that holds for any service.
    pub fn any_mixed(&self) -> bool {
        self.services.values().any(|builds| builds.len() > 1)
    }

    /// All versions listed.
    pub fn all(&self) -> impl Iterator<Item = Build> + '_ {
        let of = |(service, builds): (&PoolId, &BTreeSet<BuildId>)| {
            let service = service.clone();
            let build = move |id: &BuildId| Build { service: service.clone(), id: id.clone() };
            builds.iter().map(build).collect::<Vec<_>>()
        };
        self.services.iter().flat_map(of)
    }
}
