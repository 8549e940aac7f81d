//! Traits for calls between hosts, one for each side of a call.

use async_trait::async_trait;
use base::{DomainId, HostId, Ms};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use wire::{
    Claim, Exchange, Finish, Grant, Holder, HostNews, OriginAnswer, OriginQuery, PartAnswer,
    PartQuery, StageFree, StageLoads, StageResults, StageWork, StoreNews, StoreQuery, SubjectQuery,
    SubjectReaders,
};

use crate::{PeerError, Tunnel};

/// Calls other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Exchanges gossip state: each side sends what it knows and gets what it lacks.
    async fn exchange(&self, to: SocketAddr, exchange: Exchange) -> Result<Exchange, PeerError>;

    /// Asks a journal shard's preferred writer to record a key.
    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError>;

    /// Asks that writer to record how a granted attempt ended. Returns true once that is recorded.
    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError>;
}

/// Handles calls from other hosts.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Merges what a peer sent and returns what the peer lacks.
    async fn exchange(&self, exchange: Exchange) -> Exchange;

    /// Records a key.
    async fn claim(&self, claim: Claim) -> Grant;

    /// Records how a granted attempt ended.
    async fn finish(&self, finish: Finish) -> bool;

    /// The handler for stage calls, or `None` where this host doesn't compose them.
    fn stages(&self) -> Option<Arc<dyn StageServer>> {
        None
    }
}

/// Records, for other hosts, which work must not be repeated.
///
/// A call runs to its end even if its caller has given up, so that a write is recorded either
/// completely or not at all.
#[async_trait]
pub trait Claims: Send + Sync {
    /// Records a key.
    async fn claim(&self, claim: Claim) -> Grant;

    /// Records how a granted attempt ended. Returns true once that is recorded.
    async fn finish(&self, finish: Finish) -> bool;
}

/// A live host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewHost {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address at which it accepts connections from other hosts.
    pub address: SocketAddr,
    /// CPU share in thousandths, or 0 if unknown.
    pub capacity: u32,
}

/// The live hosts as seen by this host. Two hosts may have different views at any moment.
pub trait View: Send + Sync {
    /// The live hosts that aren't leaving, including this one, sorted by name.
    fn hosts(&self) -> Arc<[ViewHost]>;

    /// The incarnation of a host, which differs between its starts. None if the host is dead or was
    /// never heard of. A host that is leaving still has one.
    fn incarnation(&self, _host: &HostId) -> Option<u64> {
        None
    }
}

/// Calls the host that composes (batches) the stage calls of a service.
#[async_trait]
pub trait StagePeers: Send + Sync {
    /// Submits all pieces of a stage and waits up to `within` for the results. Dropping the future
    /// withdraws the pieces.
    async fn submit(
        &self,
        to: SocketAddr,
        work: StageWork,
        within: Ms,
    ) -> Result<StageResults, PeerError>;

    /// Asks for the loads of the services whose calls that host composes. An answer also shows that
    /// the host is alive.
    async fn loads(&self, to: SocketAddr) -> Result<StageLoads, PeerError>;

    /// Releases results that are no longer needed.
    async fn free(&self, to: SocketAddr, free: StageFree) -> Result<(), PeerError>;

    /// Sends information that other hosts should have at once.
    async fn news(&self, to: SocketAddr, news: HostNews) -> Result<(), PeerError>;

    /// Asks the host that keeps the list which engines have read a subject.
    async fn readers(
        &self,
        to: SocketAddr,
        query: SubjectQuery,
    ) -> Result<SubjectReaders, PeerError>;

    /// Asks what a host knows of the platform's store. The answer comes once there is something
    /// new, and after `query.wait_ms` at the latest.
    async fn store(&self, to: SocketAddr, query: StoreQuery) -> Result<StoreNews, PeerError>;

    /// Asks a host at which software version a stream began.
    async fn origin(&self, to: SocketAddr, query: OriginQuery) -> Result<OriginAnswer, PeerError>;

    /// Asks what a host has seen of parts of prompts that are suspected to end engines.
    async fn parts(&self, to: SocketAddr, query: PartQuery) -> Result<PartAnswer, PeerError>;

    /// Asks a host for a connection to a target, given by the id of its incarnation, within the time
    /// that a call may take.
    async fn tunnel(&self, to: SocketAddr, target: &str) -> Result<Tunnel, PeerError>;
}

/// Composes stage calls for other hosts.
#[async_trait]
pub trait StageServer: Send + Sync {
    /// Runs all pieces of a stage. Dropping the future withdraws the pieces.
    async fn submit(&self, work: StageWork) -> StageResults;

    /// Returns the loads of the services whose calls this host composes.
    async fn loads(&self) -> StageLoads;

    /// Takes note that the connection on which a host submitted work was closed.
    async fn disconnected(&self, _holder: Holder) {}

    /// Releases results that are no longer needed.
    async fn free(&self, free: StageFree);

    /// Takes information that another host sent.
    async fn news(&self, news: HostNews);

    /// Returns the engines that have read a subject.
    async fn readers(&self, query: SubjectQuery) -> SubjectReaders;

    /// Returns what this host knows of the platform's store, once there is something that the
    /// caller lacks, and after `query.wait_ms` at the latest.
    async fn store(&self, query: StoreQuery) -> StoreNews;

    /// Returns the software version at which a stream began, if this host knows it.
    async fn origin(&self, query: OriginQuery) -> OriginAnswer;

    /// Returns what this host has seen of parts of prompts.
    async fn parts(&self, query: PartQuery) -> PartAnswer;

    /// Opens a connection to a target for another host that can't reach it. None if this host can't
    /// reach it either, or doesn't know this incarnation.
    async fn connect(&self, target: &str) -> Option<TcpStream>;
}
