//! What a host knows of the software versions at which streams began.

use base::{BuildId, PoolId};
use catalog::{Build, Builds, Position};
use logs::note;
use sched::origins::Origins;
use std::collections::BTreeSet;
use std::sync::MutexGuard;

use super::{Core, lock};

impl Core {
    /// The versions at which streams may have begun.
    pub(crate) fn builds(&self) -> MutexGuard<'_, Builds> {
        lock(&self.builds)
    }

    /// The streams whose version this host knows.
    pub(crate) fn origins(&self) -> MutexGuard<'_, Origins> {
        lock(&self.origins)
    }

    /// Applies the list of versions as it was at a position of the store.
    pub(crate) fn apply_builds(&self, position: Position, listed: Vec<Build>) {
        let mut builds = self.builds();
        let new: Vec<Build> =
            listed.iter().filter(|b| !builds.lists(&b.service, &b.id)).cloned().collect();
        let newer = builds.apply(position, listed);
        drop(builds);
        for build in &new {
            note!(
                logs::Event::BuildListed,
                service = %build.service,
                build = %build.id,
                position = %position
            );
        }
        if newer {
            self.changed.send_replace(());
        }
        if !new.is_empty() {
            self.origins_due.notify_one();
        }
    }

    /// Whether it is known at which versions streams may begin; true if callers can't take streams up.
    pub(crate) fn knows_builds(&self) -> bool {
        self.resumable_services().is_empty() || self.builds().position().is_some()
    }

    /// Versions of targets at which streams may not begin yet, because the list lacks them.
    pub(crate) fn unlisted_builds(&self) -> BTreeSet<Build> {
        let services = self.resumable_services();
        let links = self.links();
        let builds = self.builds();
        let entries = links.all().map(|link| &link.entry);
        let present = entries.filter(|e| services.contains(&e.service));
        let unlisted = present.filter(|e| !builds.lists(&e.service, &e.build));
        unlisted.map(|e| Build { service: e.service.clone(), id: e.build.clone() }).collect()
    }

    /// Whether a target of this version takes requests of a service now.
    pub(crate) fn has_build(&self, service: &PoolId, build: &BuildId) -> bool {
        self.links().of(service).iter().any(|link| link.entry.build == *build)
    }

    /// Whether other hosts must be told of the streams that this one begins: versions are mixed, or
    /// the store, whose list would tell them, may be out of reach.
    pub(crate) fn tells_origins(&self) -> bool {
        self.builds().any_mixed() || self.proof_overdue()
    }

    fn resumable_services(&self) -> BTreeSet<PoolId> {
        let catalog = self.catalog();
        catalog.map_or_else(BTreeSet::new, |catalog| catalog.resumable_services())
    }
}
