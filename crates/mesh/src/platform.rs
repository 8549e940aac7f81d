//! The simulated platform: its objects, in memory, and its faults.

use base::{Ms, Version};
use gossip::{CallId, Kind};
use std::collections::BTreeMap;
use store::StoreError;
use wire::{Object, ObjectList};

/// Faults of the simulated platform.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails at once.
    pub down: bool,
    /// Delay of each answer, ms.
    pub slow: Ms,
    /// Calls are refused as busy, with a time to retry after.
    pub busy: bool,
    /// Watches time out without a result although something changed: they no longer follow their
    /// objects.
    pub stuck_watches: bool,
    /// Calls are never answered, not even with an error.
    pub unresponsive: bool,
}

/// A waiting watch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) host: usize,
    pub(crate) run: u64,
    pub(crate) call: CallId,
    pub(crate) kind: Kind,
    pub(crate) after: Version,
}

/// The platform's objects and faults.
#[derive(Debug, Default)]
pub struct Platform {
    /// The faults in effect.
    pub faults: Faults,
    /// Number of calls so far; a waiting watch counts once.
    pub calls: u64,
    version: u64,
    objects: BTreeMap<(String, String), Object>,
    frozen: Option<BTreeMap<(String, String), Object>>,
    pub(crate) waiters: Vec<Waiter>,
}

impl Platform {
    /// Writes an object if its version is `expected`.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Version,
        body: String,
    ) -> Result<Version, StoreError> {
        let key = (kind.to_owned(), name.to_owned());
        let current = Version(self.objects.get(&key).map_or(0, |o| o.version));
        if current != expected {
            return Err(StoreError::Conflict { current });
        }
        self.version += 1;
        let object = Object { kind: kind.into(), name: name.into(), version: self.version, body };
        self.objects.insert(key, object);
        Ok(Version(self.version))
    }

    /// Returns the newest content, even while reads are frozen.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Freezes what reads return at the present content; `false` ends it.
    pub fn freeze(&mut self, frozen: bool) {
        self.frozen = frozen.then(|| self.objects.clone());
    }

    /// Replaces an object by older content, as when the store is restored from a backup.
    pub fn restore(&mut self, object: Object) {
        self.objects.insert((object.kind.clone(), object.name.clone()), object);
    }

    pub(crate) fn list(&self, kind: Kind, after: Version) -> ObjectList {
        let objects = self.frozen.as_ref().unwrap_or(&self.objects);
        let objects: Vec<Object> = objects
            .values()
            .filter(|o| o.kind == kind.name() && o.version > after.0)
            .cloned()
            .collect();
        let newest = objects.iter().map(|o| o.version).max();
        ObjectList { version: newest.unwrap_or(after.0), objects }
    }

    /// Removes and returns the watches that have a result now.
    pub(crate) fn ready(&mut self) -> Vec<(Waiter, ObjectList)> {
        if self.faults.stuck_watches {
            return Vec::new();
        }
        let waiters = std::mem::take(&mut self.waiters);
        let mut ready = Vec::new();
        for waiter in waiters {
            let list = self.list(waiter.kind, waiter.after);
            match list.objects.is_empty() {
                true => self.waiters.push(waiter),
                false => ready.push((waiter, list)),
            }
        }
        ready
    }
}
