//! Calls to other hosts over tarpc, a kept connection for each.

use async_trait::async_trait;
use base::Ms;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tarpc::client::RpcError;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use wire::{
    Claim, Exchange, Finish, Grant, HostNews, StageFree, StageLoads, StageResults, StageWork,
    StoreNews, StoreQuery, SubjectQuery, SubjectReaders,
};

use crate::listener::{FRAME_BYTES, PeerServiceClient};
use crate::{PeerError, Peers, StagePeers};

/// A connection without a call for this long isn't used again, ms: what lies between the two
/// ends may have lost track of it, and the first call on it would be lost. A host talks to each
/// of 400 peers every few minutes, so most connections are let go between calls.
const IDLE_MS: Ms = Ms::secs(15);

/// Time in which a kept connection shows that its far end has restarted, ms: the way there and
/// back, and some. Broken later, the far end died under the call.
const STALE_MS: Ms = Ms(100);

/// Connections to other hosts.
///
/// A host that restarts leaves its peers with connections that are worth nothing; its first calls
/// would fail, and it be taken for dead when it has just come back. So a connection whose far end
/// has closed it isn't used again, and a call that breaks at once on a kept one is sent once more
/// on another: each call may be repeated.
///
/// A link that was lost track of goes silent for good while new connections work. So a call that
/// gets no answer within `silence` drops the kept connection, and the next call opens another.
pub struct PeerClient {
    silence: Ms,
    count: AtomicU64,
    kept: Mutex<HashMap<SocketAddr, Kept>>,
}

struct Kept {
    id: u64,
    used: Instant,
    link: Arc<Link>,
}

/// A connection and the task that drives it.
struct Link {
    client: PeerServiceClient,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        // Left alone, the task would wait for a silent link to take its last bytes.
        self.task.abort();
    }
}

impl PeerClient {
    /// Calls without an answer for `silence` fail.
    pub fn new(silence: Ms) -> Self {
        Self { silence, count: AtomicU64::new(0), kept: Mutex::default() }
    }

    /// Drops all connections.
    pub fn close(self) {
        drop(self);
    }

    /// Connections that are kept.
    pub fn kept(&self) -> usize {
        self.lock().len()
    }

    async fn link(&self, to: SocketAddr) -> Result<(u64, Arc<Link>), PeerError> {
        if let Some(found) = self.reuse(to) {
            return Ok(found);
        }
        let mut connect = tarpc::serde_transport::tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_BYTES);
        let transport = connect.await.map_err(|_| PeerError::Unreachable)?;
        // Small messages would wait for the far end's delayed acknowledgement.
        let _ = transport.get_ref().set_nodelay(true);
        let client::NewClient { client, dispatch } =
            PeerServiceClient::new(client::Config::default(), transport);
        let task = tokio::spawn(async move {
            // Its error reaches whoever waits for the answer.
            let _ = dispatch.await;
        });
        let link = Arc::new(Link { client, task: task.abort_handle() });
        let id = self.count.fetch_add(1, Ordering::Relaxed);
        let kept = Kept { id, used: Instant::now(), link: link.clone() };
        self.lock().insert(to, kept);
        Ok((id, link))
    }

    fn reuse(&self, to: SocketAddr) -> Option<(u64, Arc<Link>)> {
        let mut kept = self.lock();
        kept.retain(|_, k| k.used.elapsed() < IDLE_MS.duration());
        let ended = kept.get(&to).is_some_and(|k| k.link.task.is_finished());
        if ended {
            kept.remove(&to);
        }
        let found = kept.get_mut(&to)?;
        found.used = Instant::now();
        Some((found.id, found.link.clone()))
    }

    /// Drops the connection that failed, and not one that took its place meanwhile.
    fn drop_kept(&self, to: SocketAddr, id: u64) {
        let mut kept = self.lock();
        if kept.get(&to).is_some_and(|k| k.id == id) {
            kept.remove(&to);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One call, connecting included, within the bound on silence.
    async fn call<T, F>(
        &self,
        to: SocketAddr,
        call: impl Fn(Arc<Link>, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.call_within(to, self.silence, call).await
    }

    /// One call that may take up to `within`; connecting still is within the bound on silence.
    async fn call_within<T, F>(
        &self,
        to: SocketAddr,
        within: Ms,
        call: impl Fn(Arc<Link>, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let begun = Instant::now();
        let before = self.count.load(Ordering::Relaxed);
        let (id, result) = self.attempt(to, begun + within.duration(), &call).await?;
        match result {
            // The connection was there before this call.
            Err(PeerError::Broken) if id < before && begun.elapsed() < STALE_MS.duration() => {
                self.attempt(to, begun + within.duration(), &call).await?.1
            }
            result => result,
        }
    }

    /// One try, with the connection that it used.
    async fn attempt<T, F>(
        &self,
        to: SocketAddr,
        end: Instant,
        call: impl Fn(Arc<Link>, context::Context) -> F,
    ) -> Result<(u64, Result<T, PeerError>), PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let mut context = context::current();
        context.deadline = end;
        let bound = tokio::time::Instant::from_std(end);
        let (id, link) = timeout(self.silence.duration(), self.link(to))
            .await
            .map_err(|_| PeerError::Silent)??;
        let result = match tokio::time::timeout_at(bound, call(link, context)).await {
            Ok(Ok(answer)) => return Ok((id, Ok(answer))),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => PeerError::Silent,
            Ok(Err(_)) => PeerError::Broken,
        };
        self.drop_kept(to, id);
        Ok((id, Err(result)))
    }
}

#[async_trait]
impl Peers for PeerClient {
    async fn exchange(&self, to: SocketAddr, exchange: Exchange) -> Result<Exchange, PeerError> {
        self.call(to, |link, context| {
            let exchange = exchange.clone();
            async move { link.client.exchange(context, exchange).await }
        })
        .await
    }

    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError> {
        self.call(to, |link, context| {
            let claim = claim.clone();
            async move { link.client.claim(context, claim).await }
        })
        .await
    }

    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError> {
        self.call(to, |link, context| {
            let finish = finish.clone();
            async move { link.client.finish(context, finish).await }
        })
        .await
    }
}

#[async_trait]
impl StagePeers for PeerClient {
    async fn submit(
        &self,
        to: SocketAddr,
        work: StageWork,
        within: Ms,
    ) -> Result<StageResults, PeerError> {
        let call = |link: Arc<Link>, context| {
            let work = work.clone();
            async move { link.client.submit(context, work).await }
        };
        self.call_within(to, within, call).await?.ok_or(PeerError::Refused)
    }

    async fn loads(&self, to: SocketAddr) -> Result<StageLoads, PeerError> {
        let call = |link: Arc<Link>, context| async move { link.client.loads(context).await };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn free(&self, to: SocketAddr, free: StageFree) -> Result<(), PeerError> {
        self.call(to, |link, context| {
            let free = free.clone();
            async move { link.client.free(context, free).await }
        })
        .await
    }

    async fn news(&self, to: SocketAddr, news: HostNews) -> Result<(), PeerError> {
        self.call(to, |link, context| {
            let news = news.clone();
            async move { link.client.news(context, news).await }
        })
        .await
    }

    async fn readers(
        &self,
        to: SocketAddr,
        query: SubjectQuery,
    ) -> Result<SubjectReaders, PeerError> {
        let call = |link: Arc<Link>, context| {
            let query = query.clone();
            async move { link.client.readers(context, query).await }
        };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn store(&self, to: SocketAddr, query: StoreQuery) -> Result<StoreNews, PeerError> {
        let within = Ms(query.wait_ms) + self.silence;
        let call =
            |link: Arc<Link>, context| async move { link.client.store(context, query).await };
        self.call_within(to, within, call).await?.ok_or(PeerError::Refused)
    }
}
