//! A design for comparison: a single log that only the holder of a lease writes.
//!
//! The log uses the same group commit as the sharded journal. The difference is that no other host
//! writes: when the holder dies, its lease has to expire before another host can take over.

use async_trait::async_trait;
use base::{Clock, HostId, Ms, Version};
use journal::{Claim, ClaimResult, Journal, JournalError, Outcome, Sharded, ShardedConfig};
use peer::{PeerHandler, Peers, View, ViewHost};
use std::sync::Arc;
use store::Api;
use tokio::time::sleep;
use wire::{Exchange, Finish, Grant, GrantKind, Lease, RecordState};

/// Object kind of the lease.
pub const LEASE_KIND: &str = "lease";
/// Object name of the lease.
pub const LEASE_NAME: &str = "journal";
/// Term of a lease: as long as a host of the current system may be paused and still come back.
const LEASE_TERM: Ms = Ms::secs(5);
/// Wait after a failed read or write of the lease.
const RETRY_DELAY: Ms = Ms(50);

/// One host of the leased design.
pub struct Leased {
    me: HostId,
    api: Arc<dyn Api>,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn Peers>,
    view: Arc<dyn View>,
    log: Sharded,
    /// Holder that was last seen, and until when this is taken for valid.
    cached_holder: tokio::sync::Mutex<Option<(Option<HostId>, Ms)>>,
}

/// A view without other hosts, so that this host writes the log itself.
struct NoOtherHosts;

impl View for NoOtherHosts {
    fn hosts(&self) -> Arc<[ViewHost]> {
        Arc::from([])
    }
}

impl Leased {
    pub fn new(
        config: ShardedConfig,
        api: Arc<dyn Api>,
        clock: Arc<dyn Clock>,
        peers: Arc<dyn Peers>,
        view: Arc<dyn View>,
    ) -> Arc<Self> {
        let me = config.host.clone();
        let log =
            Sharded::new(config, api.clone(), clock.clone(), peers.clone(), Arc::new(NoOtherHosts));
        Arc::new(Self { me, api, clock, peers, view, log, cached_holder: Default::default() })
    }

    /// Returns the holder of the lease; tries to acquire the lease if it has expired.
    async fn holder(&self) -> Option<HostId> {
        let mut cached = self.cached_holder.lock().await;
        let now = self.clock.now();
        if let Some((holder, until)) = cached.as_ref()
            && now < *until
        {
            return holder.clone();
        }
        // A failure is cached for `RETRY_DELAY`, so that requests do not queue behind each other's
        // attempts.
        *cached = Some((None, now + RETRY_DELAY));
        let read = self.api.get(LEASE_KIND, LEASE_NAME).await.ok()?;
        let version = Version(read.as_ref().map_or(0, |o| o.version));
        let lease: Lease =
            read.and_then(|o| serde_json::from_str(&o.body).ok()).unwrap_or_default();
        let until = Ms(lease.renewed_ms) + LEASE_TERM;
        if now < until && lease.holder != self.me.as_str() {
            let holder = HostId::from(lease.holder);
            *cached = Some((Some(holder.clone()), until));
            return Some(holder);
        }
        let lease = Lease { holder: self.me.to_string(), term_ms: LEASE_TERM.0, renewed_ms: now.0 };
        let body = serde_json::to_string(&lease).ok()?;
        self.api.put(LEASE_KIND, LEASE_NAME, version, &body).await.ok()?;
        // The holder renews the lease on use: at the first call after two thirds of the term.
        *cached = Some((Some(self.me.clone()), now + LEASE_TERM.scale(2, 3)));
        Some(self.me.clone())
    }

    fn address(&self, holder: &HostId) -> Option<std::net::SocketAddr> {
        self.view.hosts().iter().find(|h| h.host == *holder).map(|h| h.address)
    }
}

#[async_trait]
impl Journal for Leased {
    async fn register(&self, claim: &Claim) -> ClaimResult {
        let Some(holder) = self.holder().await else { return ClaimResult::Unavailable };
        if holder == self.me {
            return self.log.register(claim).await;
        }
        let Some(to) = self.address(&holder) else { return ClaimResult::Unavailable };
        let message = wire::Claim {
            workspace: claim.workspace.to_string(),
            key: claim.key.to_string(),
            attempt: claim.attempt.to_string(),
            host: self.me.to_string(),
            incarnation: 1,
        };
        let Ok(grant) = self.peers.claim(to, message).await else {
            return ClaimResult::Unavailable;
        };
        match (grant.kind(), grant.answer) {
            (GrantKind::Granted, _) => ClaimResult::Granted,
            (GrantKind::Answered, Some(answer)) => ClaimResult::Answered(answer),
            (GrantKind::Running, _) => ClaimResult::Running,
            (GrantKind::Unavailable, _) => ClaimResult::Unavailable,
            (GrantKind::Expired, _) => ClaimResult::Expired,
            (GrantKind::Answered | GrantKind::GrantUnknown, _) => ClaimResult::Unknown,
        }
    }

    async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), JournalError> {
        for _ in 0..40 {
            let holder = self.holder().await;
            let recorded = match holder {
                Some(holder) if holder == self.me => {
                    return self.log.finish(claim, outcome).await;
                }
                Some(holder) => match self.address(&holder) {
                    Some(to) => {
                        self.peers.finish(to, finish_message(claim, &outcome)).await == Ok(true)
                    }
                    None => false,
                },
                None => false,
            };
            if recorded {
                return Ok(());
            }
            sleep(Ms(500).duration()).await;
        }
        Err(JournalError::Unavailable)
    }

    async fn close(&self) {
        self.log.close().await;
    }
}

#[async_trait]
impl PeerHandler for Leased {
    async fn exchange(&self, _: Exchange) -> Exchange {
        Exchange::default()
    }

    async fn claim(&self, claim: wire::Claim) -> Grant {
        match self.holder().await {
            Some(holder) if holder == self.me => self.log.serve_claim(claim).await,
            _ => Grant::default(),
        }
    }

    async fn finish(&self, finish: Finish) -> bool {
        match self.holder().await {
            Some(holder) if holder == self.me => self.log.serve_finish(finish).await,
            _ => false,
        }
    }
}

fn finish_message(claim: &Claim, outcome: &Outcome) -> Finish {
    let (state, answer) = match outcome {
        Outcome::Done(answer) => (RecordState::Done, Some(answer.clone())),
        Outcome::Released => (RecordState::Released, None),
        Outcome::Lost => (RecordState::Lost, None),
    };
    Finish {
        workspace: claim.workspace.to_string(),
        key: claim.key.to_string(),
        attempt: claim.attempt.to_string(),
        state: state.into(),
        answer,
    }
}
