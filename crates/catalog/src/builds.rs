//! The list of software versions at which streams may have begun, kept in the platform's store.
//!
//! A stream may go on only at the version that began it, and the host that knows the version may
//! have ended. So a host begins a stream that can be taken up only at a version that the list names,
//! and adds a new one first. Therefore a service with one version in the list has begun all its
//! streams there, whoever began them: no host need be told of any, and a fleet that was restarted as
//! a whole still knows.
//!
//! Registrations can't prove that: a version may have left since a stream began. A version leaves
//! the list once it has had no target for longer than any caller comes back.

use base::{BuildId, Ms, PoolId};
use std::collections::{BTreeMap, BTreeSet};

use crate::Position;

/// Longest time for which a caller may come back to its stream.
pub const MAX_STREAM_LIFETIME: Ms = Ms::secs(600);

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
    /// The versions of each service, and until when one counts that the store no longer lists.
    services: BTreeMap<PoolId, BTreeMap<BuildId, Option<Ms>>>,
}

impl Builds {
    /// Applies the list as it was read at a position of the store. Returns whether that was newer
    /// than what is known.
    ///
    /// A version that is no longer listed counts for [`MAX_STREAM_LIFETIME`] more: a store that came
    /// back from an older copy may lack it although streams have begun there.
    pub fn apply(&mut self, now: Ms, read: Position, listed: &BTreeSet<Build>) -> bool {
        if self.position.is_some_and(|known| read <= known) {
            return false;
        }
        self.position = Some(read);
        let until = now + MAX_STREAM_LIFETIME;
        for builds in self.services.values_mut().flat_map(BTreeMap::values_mut) {
            builds.get_or_insert(until);
        }
        for Build { service, id } in listed {
            self.services.entry(service.clone()).or_default().insert(id.clone(), None);
        }
        true
    }

    /// Forgets the versions that no longer count. To be called regularly.
    pub fn expire(&mut self, now: Ms) {
        for builds in self.services.values_mut() {
            builds.retain(|_, until| until.is_none_or(|until| now < until));
        }
        self.services.retain(|_, builds| !builds.is_empty());
    }

    /// The position up to which the list is known; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Whether streams may begin at a version.
    pub fn lists(&self, service: &PoolId, build: &BuildId) -> bool {
        self.services.get(service).and_then(|builds| builds.get(build)) == Some(&None)
    }

    /// The version at which all streams of a service began; none if there are several, or none yet.
    pub fn only(&self, service: &PoolId) -> Option<&BuildId> {
        let mut builds = self.services.get(service)?.keys();
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

    /// All versions that the store lists.
    pub fn listed(&self) -> BTreeSet<Build> {
        let all = self.services.iter().flat_map(|(service, builds)| {
            let listed = builds.iter().filter(|(_, until)| until.is_none());
            listed.map(|(id, _)| Build { service: service.clone(), id: id.clone() })
        });
        all.collect()
    }
}

/// Since when listed versions have had no target, as one host has seen.
#[derive(Debug, Default)]
pub struct UnusedBuilds(BTreeMap<Build, Ms>);

impl UnusedBuilds {
    /// Notes which versions are listed and which have targets, and returns those that may leave the
    /// list: nobody can take up their streams any more.
    pub fn observe(
        &mut self,
        now: Ms,
        listed: &BTreeSet<Build>,
        present: &BTreeSet<Build>,
    ) -> Vec<Build> {
        self.0.retain(|build, _| listed.contains(build) && !present.contains(build));
        for build in listed.difference(present) {
            self.0.entry(build.clone()).or_insert(now);
        }
        let due = self.0.iter().filter(|(_, since)| now - **since >= MAX_STREAM_LIFETIME);
        due.map(|(build, _)| build.clone()).collect()
    }
}
