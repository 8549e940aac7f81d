//! The borders between hosts.

use async_trait::async_trait;
use base::{DomainId, HostId, Ms};
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{
    Claim, Exchange, Finish, Grant, HostNews, StageFree, StageLoads, StageResults, StageWork,
    StoreNews, StoreQuery, SubjectQuery, SubjectReaders,
};

use crate::PeerError;

/// Calls other hosts.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Swaps what both know.
    async fn exchange(&self, to: SocketAddr, exchange: Exchange) -> Result<Exchange, PeerError>;

    /// Asks a journal shard's preferred writer to record a key.
    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError>;

    /// Asks it to record how a granted attempt ended; true when that is recorded.
    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError>;
}

/// Answers other hosts.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Takes what a peer knows and gives what it lacks.
    async fn exchange(&self, exchange: Exchange) -> Exchange;

    /// Records a key.
    async fn claim(&self, claim: Claim) -> Grant;

    /// Records how a granted attempt ended.
    async fn finish(&self, finish: Finish) -> bool;

    /// Composes stage calls; none where this host doesn't.
    fn stages(&self) -> Option<Arc<dyn StageServer>> {
        None
    }
}

/// Keeps the records of work that may not be repeated, for other hosts.
///
/// A call goes on though its caller has given up: what it writes is recorded whole or not at all.
#[async_trait]
pub trait Claims: Send + Sync {
    /// Records a key.
    async fn claim(&self, claim: Claim) -> Grant;

    /// Records how a granted attempt ended; true when that is recorded.
    async fn finish(&self, finish: Finish) -> bool;
}

/// A live host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViewHost {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it takes connections of other hosts.
    pub address: SocketAddr,
    /// Its share of a processor, in thousandths; 0 where it isn't told.
    pub capacity: u32,
}

/// Who is alive, as this host sees it. Two hosts may see it differently at any moment.
pub trait View: Send + Sync {
    /// The live hosts that aren't leaving, this one included, by name.
    fn hosts(&self) -> Arc<[ViewHost]>;
}

/// Calls the host that composes the stage calls of a service.
#[async_trait]
pub trait StagePeers: Send + Sync {
    /// Has all pieces of a stage made. Waits up to `within` for the results; dropped, the pieces
    /// are withdrawn.
    async fn submit(
        &self,
        to: SocketAddr,
        work: StageWork,
        within: Ms,
    ) -> Result<StageResults, PeerError>;

    /// Asks for the loads of the services whose calls it composes. Also shows that it lives.
    async fn loads(&self, to: SocketAddr) -> Result<StageLoads, PeerError>;

    /// Gives results up.
    async fn free(&self, to: SocketAddr, free: StageFree) -> Result<(), PeerError>;

    /// Tells what other hosts should know at once.
    async fn news(&self, to: SocketAddr, news: HostNews) -> Result<(), PeerError>;

    /// Asks the host that keeps the list which engines have read a subject.
    async fn readers(
        &self,
        to: SocketAddr,
        query: SubjectQuery,
    ) -> Result<SubjectReaders, PeerError>;

    /// Asks what a host knows of the platform's store. It answers once it has news, and after
    /// `query.wait_ms` at the latest.
    async fn store(&self, to: SocketAddr, query: StoreQuery) -> Result<StoreNews, PeerError>;
}

/// Composes stage calls for other hosts.
#[async_trait]
pub trait StageServer: Send + Sync {
    /// Makes all pieces of a stage. Dropped, the pieces are withdrawn.
    async fn submit(&self, work: StageWork) -> StageResults;

    /// The loads of the services whose calls this host composes.
    async fn loads(&self) -> StageLoads;

    /// Results are given up.
    async fn free(&self, free: StageFree);

    /// What another host found out.
    async fn news(&self, news: HostNews);

    /// Engines that have read a subject.
    async fn readers(&self, query: SubjectQuery) -> SubjectReaders;

    /// What this host knows of the platform's store, once there is something that the asker
    /// lacks, and after `query.wait_ms` at the latest.
    async fn store(&self, query: StoreQuery) -> StoreNews;
}
