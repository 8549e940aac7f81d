//! What a host knows of the software versions at which streams began.

use base::{BuildId, PoolId};
use catalog::{Build, Builds, Position};
use logs::note;
use sched::origins::Origins;
use std::collections::BTreeSet;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;

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
    pub(crate) fn apply_builds(&self, position: Position, listed: &BTreeSet<Build>) {
        let mut builds = self.builds();
        let before = builds.listed();
        if !builds.apply(self.clock.now(), position, listed) {
            return;
        }
        drop(builds);
        for build in listed.difference(&before) {
            note!(
                logs::Event::BuildListed,
                service = %build.service,
                build = %build.id,
                position = %position
            );
        }
        for build in before.difference(listed) {
            note!(
                logs::Event::BuildUnlisted,
                service = %build.service,
                build = %build.id,
                position = %position
            );
        }
        if *listed != before {
            self.changed.send_replace(());
            self.origins_due.notify_one();
        }
    }

    /// Whether it is known at which versions streams may begin; true if callers can't take streams up.
    pub(crate) fn knows_builds(&self) -> bool {
        self.resumable_services().is_empty() || self.builds().position().is_some()
    }

    /// Versions that targets have, of services with streams that callers may take up.
    pub(crate) fn present_builds(&self) -> BTreeSet<Build> {
        let services = self.resumable_services();
        let links = self.links();
        let entries = links.all().map(|link| &link.entry);
        let present = entries.filter(|e| services.contains(&e.service));
        present.map(|e| Build { service: e.service.clone(), id: e.build.clone() }).collect()
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

    /// Whether callers can take up streams of a service.
    pub(crate) fn can_take_up(&self, service: &PoolId) -> bool {
        self.resumable_services().contains(service)
    }

    /// Records that it was tried to read where streams began that earlier hosts have begun.
    pub(crate) fn set_origins_read(&self) {
        self.origins_read.store(true, Ordering::Relaxed);
    }

    /// Whether that was tried; true if callers can't take streams up.
    pub(super) fn origins_read(&self) -> bool {
        self.origins_read.load(Ordering::Relaxed) || self.resumable_services().is_empty()
    }

    fn resumable_services(&self) -> BTreeSet<PoolId> {
        let catalog = self.catalog();
        catalog.map_or_else(BTreeSet::new, |catalog| catalog.resumable_services())
    }
}
