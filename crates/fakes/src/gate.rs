//! Simulates paused and killed hosts in virtual time by blocking their calls.

use async_trait::async_trait;
use base::{Ms, Version};
use std::sync::Arc;
use store::{Api, StoreError};
use tokio::sync::watch;
use wire::{Object, ObjectList};

/// Blocks a host's calls while it is paused, and forever once it is dead.
///
/// Seen from outside, this is how a suspended or killed process behaves. Unlike those of a
/// suspended process, the host's timers go on.
#[derive(Debug)]
pub struct Gate(watch::Sender<HostState>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    Running,
    Paused,
    Dead,
}

impl Gate {
    /// The gate of a running host.
    pub fn new() -> Self {
        Self(watch::Sender::new(HostState::Running))
    }

    /// Waits until the host is running; never returns for a dead one.
    pub async fn pass(&self) {
        if self.0.subscribe().wait_for(|state| *state == HostState::Running).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the host is dead.
    pub async fn dead(&self) {
        // The sender is held by `self`, so the wait can't fail.
        let _ = self.0.subscribe().wait_for(|state| *state == HostState::Dead).await;
    }

    /// Whether the host is dead.
    pub fn is_dead(&self) -> bool {
        *self.0.borrow() == HostState::Dead
    }

    /// Kills the host.
    pub fn kill(&self) {
        self.0.send_replace(HostState::Dead);
    }

    /// Pauses or resumes the host; a dead one stays dead.
    pub fn pause(&self, paused: bool) {
        let to = if paused { HostState::Paused } else { HostState::Running };
        self.0.send_if_modified(|state| {
            let alive = *state != HostState::Dead;
            if alive {
                *state = to;
            }
            alive
        });
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

/// The platform's API as called by a host behind a gate.
pub struct GatedApi {
    /// The platform.
    pub inner: Arc<dyn Api>,
    /// The host's gate.
    pub gate: Arc<Gate>,
}

#[async_trait]
impl Api for GatedApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.gate.pass().await;
        let result = self.inner.get(kind, name).await;
        self.gate.pass().await;
        result
    }

    async fn list(&self, kind: &str) -> Result<ObjectList, StoreError> {
        self.gate.pass().await;
        let result = self.inner.list(kind).await;
        self.gate.pass().await;
        result
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        body: &str,
    ) -> Result<Version, StoreError> {
        self.gate.pass().await;
        let result = self.inner.put(kind, name, expected, body).await;
        self.gate.pass().await;
        result
    }

    async fn watch(&self, kind: &str, after: Version, wait: Ms) -> Result<ObjectList, StoreError> {
        self.gate.pass().await;
        let result = self.inner.watch(kind, after, wait).await;
        self.gate.pass().await;
        result
    }
}
