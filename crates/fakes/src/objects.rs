//! Content of the object API: versioned objects with conditional writes.

use base::Version;
use std::collections::{BTreeMap, HashMap};
use store::StoreError;
use wire::{Object, ObjectList};

/// Size limit of the platform for one object's body, bytes.
const VALUE_BYTES: usize = 1 << 20;

/// Objects by kind and name. One counter assigns all versions, so versions order all writes.
#[derive(Debug, Default)]
pub struct Objects {
    version: u64,
    objects: BTreeMap<(String, String), Object>,
}

impl Objects {
    /// Reads one object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// A snapshot of all objects, for stale reads.
    pub fn all(&self) -> HashMap<(String, String), Object> {
        self.objects.clone().into_iter().collect()
    }

    /// All objects of a kind that are newer than `after`.
    pub fn list(&self, kind: &str, after: Version) -> ObjectList {
        let objects = self.objects.values().filter(|o| o.kind == kind && o.version > after.0);
        ObjectList { version: self.version, objects: objects.cloned().collect() }
    }

    /// Writes an object if its version is `expected`; zero means that it must not exist.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        let current = Version(self.get(kind, name).map_or(0, |o| o.version));
        match () {
            () if body.len() > VALUE_BYTES => Err(StoreError::TooLarge),
            () if current != expected => Err(StoreError::Conflict { current }),
            () => {
                self.version += 1;
                let object = Object {
                    kind: kind.to_owned(),
                    name: name.to_owned(),
                    version: self.version,
                    body: body.to_owned(),
                };
                self.objects.insert((kind.to_owned(), name.to_owned()), object);
                Ok(Version(self.version))
            }
        }
    }
}
