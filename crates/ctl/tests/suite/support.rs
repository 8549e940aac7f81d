//! A platform in memory with faults injected call by call, and small configurations.

use async_trait::async_trait;
use base::{Ms, Version};
use fakes::Objects;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use store::{Api, StoreError};
use wire::{FleetObject, Object, ObjectList};

/// A small configuration whose workspace has the given weight.
pub fn yaml(weight: u32) -> String {
    include_str!("small.yaml").replace("weight: 1", &format!("weight: {weight}"))
}

/// Fault of one call. Reads honour only `Down`, and single reads also `Stale`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The platform can't be reached.
    Down,
    /// The write takes effect, but its response is lost.
    LoseAnswer,
    /// The write is lost, and the caller can't tell whether it took effect.
    LoseRequest,
    /// The write gets no response and arrives this many milliseconds later; it takes effect if its
    /// condition holds then.
    Delayed(u64),
    /// A read returns the content before the last write.
    Stale,
}

#[derive(Default)]
struct Inner {
    objects: Objects,
    /// Content before the newest write of each object.
    before: Vec<Object>,
    /// Fault and duration of each upcoming call, ms.
    faults: VecDeque<(Fault, u64)>,
    /// Bodies of the configuration object that were accepted, in order.
    accepted: Vec<String>,
    unconditional: bool,
}

/// The platform in memory.
#[derive(Clone, Default)]
pub struct MemoryPlatform(Arc<Mutex<Inner>>);

impl MemoryPlatform {
    /// A platform that ignores the conditions of configuration writes, a fault which the tests must
    /// detect.
    pub fn unconditional() -> Self {
        let memory = Self::default();
        memory.lock().unconditional = true;
        memory
    }

    /// Sets the faults and durations, ms, of the next calls; later calls succeed.
    pub fn set_faults(&self, faults: impl IntoIterator<Item = (Fault, u64)>) {
        self.lock().faults = faults.into_iter().collect();
    }

    /// Every body that the configuration object has had, oldest first.
    pub fn accepted(&self) -> Vec<FleetObject> {
        let inner = self.lock();
        inner
            .accepted
            .iter()
            .map(|body| serde_json::from_str(body).expect("the object is readable"))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panicked with it")
    }

    async fn next(&self) -> Fault {
        let (fault, ms) = self.lock().faults.pop_front().unwrap_or((Fault::None, 1));
        tokio::time::sleep(Ms(ms).duration()).await;
        fault
    }
}

impl Inner {
    fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        let before = self.objects.get(kind, name).cloned();
        let expected = match &before {
            Some(object) if self.unconditional && kind == "fleet" => Version(object.version),
            _ => expected,
        };
        let version = self.objects.put(kind, name, expected, body)?;
        self.before.retain(|o| (o.kind.as_str(), o.name.as_str()) != (kind, name));
        self.before.extend(before);
        if kind == "fleet" {
            self.accepted.push(body.to_owned());
        }
        Ok(version)
    }
}

#[async_trait]
impl Api for MemoryPlatform {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        match self.next().await {
            Fault::Down => Err(StoreError::Down),
            Fault::Stale => {
                let inner = self.lock();
                Ok(inner.before.iter().find(|o| o.kind == kind && o.name == name).cloned())
            }
            _ => Ok(self.lock().objects.get(kind, name).cloned()),
        }
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        match self.next().await {
            Fault::Down => Err(StoreError::Down),
            _ => Ok(self.lock().objects.list(kind, Version(0))),
        }
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        match self.next().await {
            Fault::Down => Err(StoreError::Down),
            Fault::LoseRequest => Err(StoreError::OutcomeUnknown),
            Fault::LoseAnswer => {
                let _ = self.lock().put(kind, name, expected, body);
                Err(StoreError::OutcomeUnknown)
            }
            Fault::Delayed(ms) => {
                let memory = self.clone();
                let (kind, name, body) = (kind.to_owned(), name.to_owned(), body.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(Ms(ms).duration()).await;
                    let _ = memory.lock().put(&kind, &name, expected, &body);
                });
                Err(StoreError::OutcomeUnknown)
            }
            Fault::None | Fault::Stale => self.lock().put(kind, name, expected, body),
        }
    }

    async fn watch(&self, _: &str, _: Version, _: Ms) -> Result<ObjectList, StoreError> {
        Err(StoreError::Down)
    }
}

/// Runs in virtual time: sleeps end at once, in order.
pub fn run<F: Future>(future: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime");
    runtime.block_on(future)
}
