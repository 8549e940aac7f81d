//! The design that is compared with: one log, written by whoever holds a lease.
//!
//! The log itself is the same group commit. What differs is that nobody else writes: when the
//! holder dies, its lease has to run out first.

use async_trait::async_trait;
use base::{Clock, HostId, Ms, Version};
use journal::{Claim, ClaimResult, Journal, JournalError, Outcome, Sharded, ShardedConfig};
use peer::{PeerHandler, Peers, View, ViewHost};
use std::sync::Arc;
use store::Api;
use tokio::time::sleep;
use wire::{Exchange, Finish, Grant, GrantKind, Lease, RecordState};

/// Kind of the lease's object.
pub const KIND: &str = "lease";
/// Its name.
pub const NAME: &str = "journal";
/// How long a lease holds, ms: as long as hosts of today may be paused and come back.
const TERM: Ms = Ms::secs(5);
/// Wait after a failed look at the lease.
const RETRY: Ms = Ms(50);

/// One host of the leased design.
pub struct Leased {
    me: HostId,
    api: Arc<dyn Api>,
    clock: Arc<dyn Clock>,
    peers: Arc<dyn Peers>,
    view: Arc<dyn View>,
    log: Sharded,
    known: tokio::sync::Mutex<Option<(Option<HostId>, Ms)>>,
}

/// A view in which there is nobody else, so that the log is written here.
struct Alone;

impl View for Alone {
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
        let log = Sharded::new(config, api.clone(), clock.clone(), peers.clone(), Arc::new(Alone));
        Arc::new(Self { me, api, clock, peers, view, log, known: Default::default() })
    }

    /// The holder, after a try to become it when the lease has run out.
    async fn holder(&self) -> Option<HostId> {
        let mut known = self.known.lock().await;
        let now = self.clock.now();
        if let Some((holder, until)) = known.as_ref()
            && now < *until
        {
            return holder.clone();
        }
        // A failure holds for a while, so that requests don't queue up behind each other's tries.
        *known = Some((None, now + RETRY));
        let read = self.api.get(KIND, NAME).await.ok()?;
        let version = Version(read.as_ref().map_or(0, |o| o.version));
        let lease: Lease =
            read.and_then(|o| serde_json::from_str(&o.body).ok()).unwrap_or_default();
        let until = Ms(lease.renewed_ms) + TERM;
        if now < until && lease.holder != self.me.as_str() {
            let holder = HostId::from(lease.holder);
            *known = Some((Some(holder.clone()), until));
            return Some(holder);
        }
        let lease = Lease { holder: self.me.to_string(), term_ms: TERM.0, renewed_ms: now.0 };
        let body = serde_json::to_string(&lease).ok()?;
        self.api.put(KIND, NAME, version, &body).await.ok()?;
        // Renewed by use: the next call after two thirds of the term.
        *known = Some((Some(self.me.clone()), now + TERM.scale(2, 3)));
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
                    Some(to) => self.peers.finish(to, finish(claim, &outcome)).await == Ok(true),
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

fn finish(claim: &Claim, outcome: &Outcome) -> Finish {
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
