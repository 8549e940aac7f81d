//! Permits for connections, and the proof of new connections.

use base::Ms;
use catalog::Residency;
use link::{Conn, LinkError, full, read};
use std::sync::Arc;

use super::{ServiceQueue, Taken, record_reset};
use crate::core::Core;
use crate::dial::{Dialed, dial};
use crate::links::Link;
use crate::send::SendFault;

/// Time in which a target resets a connection that is too much, after the round trip of the first
/// write on it. A target that breaks a connection later had begun to run the request.
const RESET_TIME: Ms = Ms(15);
/// Time-out of a health check.
const PROOF_TIMEOUT: Ms = Ms(300);
/// Largest response to a health check that is read, bytes.
const MAX_PROOF_BYTES: usize = 64 << 10;

/// The right to use one connection to a target. It is returned when it is dropped.
pub(crate) struct Permit {
    core: Arc<Core>,
    link: Arc<Link>,
    queue: Arc<ServiceQueue>,
    /// What is left to use of it.
    taken: Taken,
    /// Whether the request is unsafe to retry.
    risky: bool,
    /// Until when the end of a connection that has carried no request yet is a reset.
    reset_until: Option<Ms>,
    begun: Ms,
    answered: bool,
}

impl Permit {
    pub(super) fn new(
        core: &Arc<Core>,
        link: &Arc<Link>,
        queue: &Arc<ServiceQueue>,
        taken: Taken,
        risky: bool,
    ) -> Self {
        Self {
            core: core.clone(),
            link: link.clone(),
            queue: queue.clone(),
            taken,
            risky,
            reset_until: None,
            begun: core.clock.now(),
            answered: false,
        }
    }

    /// Uses a new connection in place of an idle one, unless targets of the service reset new ones.
    pub(crate) fn renew(&mut self) {
        if !self.queue.hold().is_active(self.core.clock.now()) {
            self.taken = Taken::New;
        }
    }

    /// The idle connection that was taken, or a new one.
    pub(crate) async fn connect(&mut self, residency: &Residency) -> Result<Dialed, SendFault> {
        match std::mem::replace(&mut self.taken, Taken::New) {
            Taken::Idle(conn) => Ok(Dialed { conn, poolable: true }),
            Taken::New => self.open(residency).await,
        }
    }

    /// Opens a connection. If the target may reset it, and the request is unsafe to retry, the
    /// connection proves itself first.
    pub(crate) async fn open(&mut self, residency: &Residency) -> Result<Dialed, SendFault> {
        let begun = self.core.clock.now();
        let dialed = dial(&self.core, &self.link, residency).await?;
        let now = self.core.clock.now();
        // Opening a connection takes a round trip.
        let reset_until = now + (now - begun) + RESET_TIME;
        if self.risky && self.needs_proof(now) {
            return prove(&self.core, &self.link, dialed, reset_until).await;
        }
        self.reset_until = Some(reset_until);
        Ok(dialed)
    }

    /// Records how a send on the connection ended.
    pub(crate) fn record(&mut self, result: Result<(), &LinkError>) {
        self.answered = result.is_ok();
        if self.answered {
            self.link.connections.state().quota.answered();
        }
        let Some(until) = self.reset_until.take() else { return };
        let soon = self.core.clock.now() <= until;
        match result {
            Ok(()) => self.link.connections.state().quota.proved(),
            Err(LinkError::Broken { .. } | LinkError::Unsent) if soon => {
                record_reset(&self.core, &self.link);
            }
            Err(_) => {}
        }
    }

    /// Whether the connection may be kept for other requests.
    pub(crate) fn may_keep(&self) -> bool {
        self.link.connections.may_keep(&self.link.pool)
    }

    fn needs_proof(&self, now: Ms) -> bool {
        // In a burst the targets of a service are alike: what one has reset, the next one will.
        let resets = self.queue.hold().is_active(now);
        let state = self.link.connections.state();
        resets || state.quota.needs_proof(state.in_use)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.link.connections.state().in_use -= 1;
        if self.answered {
            self.queue.served(self.core.clock.now() - self.begun);
        }
        self.queue.wake_first();
    }
}

/// Makes a health check on a new connection.
async fn prove(
    core: &Core,
    link: &Link,
    mut dialed: Dialed,
    reset_until: Ms,
) -> Result<Dialed, SendFault> {
    let service = link.entry.service.as_str();
    match check(core, link, &mut dialed.conn).await {
        Ok(()) => {
            core.metrics.connection_proof(service, "proved");
            link.connections.state().quota.proved();
            Ok(dialed)
        }
        Err(err) => {
            core.metrics.connection_proof(service, "failed");
            let broken = matches!(err, LinkError::Broken { .. } | LinkError::Unsent);
            if !broken || core.clock.now() > reset_until {
                // The target is down, as far as this connection shows.
                return Err(SendFault::NoConnection);
            }
            record_reset(core, link);
            Err(SendFault::Unproved)
        }
    }
}

/// Whether the target answers a health check on a new connection, which is closed then.
pub(crate) async fn answers_anew(core: &Arc<Core>, link: &Arc<Link>) -> bool {
    match dial(core, link, &Residency::Anywhere).await {
        Ok(mut dialed) => check(core, link, &mut dialed.conn).await.is_ok(),
        Err(_) => false,
    }
}

async fn check(core: &Core, link: &Link, conn: &mut Conn) -> Result<(), LinkError> {
    let catalog = core.catalog();
    let service = catalog.as_ref().and_then(|c| c.service(&link.entry.service));
    let path = service.map_or("/", |s| s.health.as_str());
    let request = core.dialect.health_call(link.name(), path);
    // Any response shows that the target has accepted the connection.
    let response = conn.send(request.map(full), PROOF_TIMEOUT).await?;
    let body = read(response.into_body(), MAX_PROOF_BYTES);
    let read = tokio::time::timeout(PROOF_TIMEOUT.duration(), body).await;
    read.map_err(|_| LinkError::Silent)?.map(drop)
}
