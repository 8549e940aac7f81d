//! Calls to other hosts over tarpc, on one pooled connection for each host.

use async_trait::async_trait;
use base::{Ms, PauseMeter};
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
    Claim, Exchange, Finish, Grant, HostNews, OriginAnswer, OriginQuery, PartAnswer, PartQuery,
    StageFree, StageLoads, StageResults, StageWork, StoreNews, StoreQuery, SubjectQuery,
    SubjectReaders,
};

use crate::listener::{MAX_FRAME_BYTES, PeerServiceClient};
use crate::{PeerError, Peers, StagePeers, Tunnel, tunnel};

/// A connection without a call for this long isn't reused, ms. A device between the two ends may
/// have lost track of the connection, and the first call on it would be lost. A host calls each of
/// 400 peers only every few minutes, so most connections are closed between calls.
const MAX_IDLE_MS: Ms = Ms::secs(15);

/// Time within which a pooled connection shows that its far end has restarted, ms: a round trip
/// with some margin. If the connection breaks later than that, the far end died during the call.
const RECONNECT_WINDOW_MS: Ms = Ms(100);

/// Client for calls to other hosts.
///
/// When a host restarts, the connections that its peers pooled are dead. The peers' first calls
/// would fail, and they would take a host for dead that has just come back. So a connection that
/// the far end has closed isn't reused, and a call that breaks at once on a pooled connection is
/// sent once more on a new one. This is safe because every call may be repeated.
///
/// A connection that a device on the path has lost track of goes silent for good, while new
/// connections work. So a call that times out drops its pooled connection, and the next call opens
/// another.
pub struct PeerClient {
    call_timeout: Ms,
    pauses: Option<Arc<PauseMeter>>,
    next_id: AtomicU64,
    pooled: Mutex<HashMap<SocketAddr, PooledConnection>>,
}

struct PooledConnection {
    id: u64,
    last_used: Instant,
    connection: Arc<Connection>,
}

/// A connection and the task that drives it.
struct Connection {
    client: PeerServiceClient,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Without this, the task would wait for a silent peer to accept the remaining bytes.
        self.task.abort();
    }
}

impl PeerClient {
    /// Calls fail after `call_timeout` without an answer.
    pub fn new(call_timeout: Ms) -> Self {
        Self { call_timeout, pauses: None, next_id: AtomicU64::new(0), pooled: Mutex::default() }
    }

    /// With a meter of this process's pauses, a call whose time ran out in one is sent once more.
    ///
    /// Without it, a host that was kept off the processor takes all hosts that it was calling for
    /// dead, although they have answered, and takes over their duties. One repetition is enough: it
    /// begins when the process runs again.
    pub fn with_pauses(self, pauses: Arc<PauseMeter>) -> Self {
        Self { pauses: Some(pauses), ..self }
    }

    /// Closes all connections.
    pub fn close(self) {
        drop(self);
    }

    /// Number of pooled connections.
    pub fn pooled(&self) -> usize {
        self.lock().len()
    }

    async fn connection(&self, to: SocketAddr) -> Result<(u64, Arc<Connection>), PeerError> {
        if let Some(connection) = self.reuse(to) {
            return Ok(connection);
        }
        let mut connect = tarpc::serde_transport::tcp::connect(to, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(|_| PeerError::Unreachable)?;
        // Without TCP_NODELAY, small messages would wait for the far end's delayed acknowledgement.
        let _ = transport.get_ref().set_nodelay(true);
        let client::NewClient { client, dispatch } =
            PeerServiceClient::new(client::Config::default(), transport);
        let task = tokio::spawn(async move {
            // Callers that wait for an answer get the error.
            let _ = dispatch.await;
        });
        let connection = Arc::new(Connection { client, task: task.abort_handle() });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pooled =
            PooledConnection { id, last_used: Instant::now(), connection: connection.clone() };
        self.lock().insert(to, pooled);
        Ok((id, connection))
    }

    fn reuse(&self, to: SocketAddr) -> Option<(u64, Arc<Connection>)> {
        let mut pooled = self.lock();
        pooled.retain(|_, k| k.last_used.elapsed() < MAX_IDLE_MS.duration());
        let ended = pooled.get(&to).is_some_and(|k| k.connection.task.is_finished());
        if ended {
            pooled.remove(&to);
        }
        let entry = pooled.get_mut(&to)?;
        entry.last_used = Instant::now();
        Some((entry.id, entry.connection.clone()))
    }

    /// Drops the connection that failed, but not one that has replaced it meanwhile.
    fn evict(&self, to: SocketAddr, id: u64) {
        let mut pooled = self.lock();
        if pooled.get(&to).is_some_and(|k| k.id == id) {
            pooled.remove(&to);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, PooledConnection>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One call, including the time to connect, within the call timeout.
    async fn call<T, F>(
        &self,
        to: SocketAddr,
        call: impl Fn(Arc<Connection>, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        self.call_running(to, self.call_timeout, call).await
    }

    /// One call that may take up to `within`; connecting is still limited by the call timeout. If
    /// the time ran out while this process did not run, the call is sent once more.
    async fn call_running<T, F>(
        &self,
        to: SocketAddr,
        within: Ms,
        call: impl Fn(Arc<Connection>, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let before = self.pauses.as_ref().map_or(Ms::ZERO, |p| p.lost());
        let excused = || self.pauses.as_ref().is_some_and(|p| p.excuses(before));
        match self.call_within(to, within, &call).await {
            Err(PeerError::Silent) if excused() => self.call_within(to, within, &call).await,
            result => result,
        }
    }

    /// One call that may take up to `within`; connecting is still limited by the call timeout.
    async fn call_within<T, F>(
        &self,
        to: SocketAddr,
        within: Ms,
        call: impl Fn(Arc<Connection>, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let started = Instant::now();
        let before = self.next_id.load(Ordering::Relaxed);
        let (id, result) = self.attempt(to, started + within.duration(), &call).await?;
        match result {
            // The connection was opened before this call.
            Err(PeerError::Broken)
                if id < before && started.elapsed() < RECONNECT_WINDOW_MS.duration() =>
            {
                self.attempt(to, started + within.duration(), &call).await?.1
            }
            result => result,
        }
    }

    /// One attempt. Returns the id of the connection that it used.
    async fn attempt<T, F>(
        &self,
        to: SocketAddr,
        deadline: Instant,
        call: impl Fn(Arc<Connection>, context::Context) -> F,
    ) -> Result<(u64, Result<T, PeerError>), PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let mut context = context::current();
        context.deadline = deadline;
        let wait_until = tokio::time::Instant::from_std(deadline);
        let (id, connection) = timeout(self.call_timeout.duration(), self.connection(to))
            .await
            .map_err(|_| PeerError::Silent)??;
        let result = match tokio::time::timeout_at(wait_until, call(connection, context)).await {
            Ok(Ok(answer)) => return Ok((id, Ok(answer))),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => PeerError::Silent,
            Ok(Err(_)) => PeerError::Broken,
        };
        self.evict(to, id);
        Ok((id, Err(result)))
    }
}

#[async_trait]
impl Peers for PeerClient {
    async fn exchange(&self, to: SocketAddr, exchange: Exchange) -> Result<Exchange, PeerError> {
        self.call(to, |connection, context| {
            let exchange = exchange.clone();
            async move { connection.client.exchange(context, exchange).await }
        })
        .await
    }

    async fn claim(&self, to: SocketAddr, claim: Claim) -> Result<Grant, PeerError> {
        self.call(to, |connection, context| {
            let claim = claim.clone();
            async move { connection.client.claim(context, claim).await }
        })
        .await
    }

    async fn finish(&self, to: SocketAddr, finish: Finish) -> Result<bool, PeerError> {
        self.call(to, |connection, context| {
            let finish = finish.clone();
            async move { connection.client.finish(context, finish).await }
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
        let call = |connection: Arc<Connection>, context| {
            let work = work.clone();
            async move { connection.client.submit(context, work).await }
        };
        // The pieces expire then, whoever was paused.
        self.call_within(to, within, call).await?.ok_or(PeerError::Refused)
    }

    async fn loads(&self, to: SocketAddr) -> Result<StageLoads, PeerError> {
        let call = |connection: Arc<Connection>, context| async move {
            connection.client.loads(context).await
        };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn free(&self, to: SocketAddr, free: StageFree) -> Result<(), PeerError> {
        self.call(to, |connection, context| {
            let free = free.clone();
            async move { connection.client.free(context, free).await }
        })
        .await
    }

    async fn news(&self, to: SocketAddr, news: HostNews) -> Result<(), PeerError> {
        self.call(to, |connection, context| {
            let news = news.clone();
            async move { connection.client.news(context, news).await }
        })
        .await
    }

    async fn readers(
        &self,
        to: SocketAddr,
        query: SubjectQuery,
    ) -> Result<SubjectReaders, PeerError> {
        let call = |connection: Arc<Connection>, context| {
            let query = query.clone();
            async move { connection.client.readers(context, query).await }
        };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn store(&self, to: SocketAddr, query: StoreQuery) -> Result<StoreNews, PeerError> {
        let within = Ms(query.wait_ms) + self.call_timeout;
        let call = |connection: Arc<Connection>, context| async move {
            connection.client.store(context, query).await
        };
        self.call_within(to, within, call).await?.ok_or(PeerError::Refused)
    }

    async fn origin(&self, to: SocketAddr, query: OriginQuery) -> Result<OriginAnswer, PeerError> {
        let call = |connection: Arc<Connection>, context| {
            let query = query.clone();
            async move { connection.client.origin(context, query).await }
        };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn parts(&self, to: SocketAddr, query: PartQuery) -> Result<PartAnswer, PeerError> {
        let call = |connection: Arc<Connection>, context| {
            let query = query.clone();
            async move { connection.client.parts(context, query).await }
        };
        self.call(to, call).await?.ok_or(PeerError::Refused)
    }

    async fn tunnel(&self, to: SocketAddr, target: &str) -> Result<Tunnel, PeerError> {
        let open = tunnel::open(to, target);
        timeout(self.call_timeout.duration(), open).await.map_err(|_| PeerError::Silent)?
    }
}
