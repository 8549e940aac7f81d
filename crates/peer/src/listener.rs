//! The server for calls from other hosts, over tarpc.

use base::{Ms, SystemClock};
use futures::StreamExt;
use memory::{Account, Budget, Class, Phase, budget_bytes};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;
use wire::{
    Claim, Exchange, Finish, Grant, Holder, HostNews, OriginAnswer, OriginQuery, PartAnswer,
    PartQuery, StageFree, StageLoads, StageResults, StageWork, StoreNews, StoreQuery, SubjectQuery,
    SubjectReaders,
};

use crate::meter::MeteredStream;
use crate::{PeerHandler, tunnel};

/// Largest message in either direction, bytes. A full exchange carries the configuration, up to a
/// megabyte. Both ends use the same limit; otherwise one would send frames that the other rejects.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;
/// Most connections from other hosts that are served at once.
const MAX_CONNECTIONS: usize = 1024;
/// Most connections to targets that are kept open for other hosts at once. Each takes two
/// descriptors and buffers of 32 KB, so all together 8 MB: they fit beside a small host's own work.
const MAX_TUNNELS: usize = 256;
/// A connection without a call for this long is closed, ms. Callers close theirs sooner; a
/// connection that stays open longer belongs to a host that is gone and would otherwise occupy its
/// slot for good.
const IDLE_MS: Ms = Ms::secs(60);
/// Delay after a failed accept, ms. When file descriptors have run out, accepting again at once
/// would spin.
const ACCEPT_RETRY_MS: Ms = Ms(10);

/// The tarpc service. The codec is positional: the order of methods and arguments is part of the
/// protocol.
#[tarpc::service]
pub(crate) trait PeerService {
    /// See [`PeerHandler::exchange`].
    async fn exchange(exchange: Exchange) -> Exchange;
    /// See [`PeerHandler::claim`].
    async fn claim(claim: Claim) -> Grant;
    /// See [`PeerHandler::finish`].
    async fn finish(finish: Finish) -> bool;
    /// See [`crate::StageServer::submit`].
    async fn submit(work: StageWork) -> Option<StageResults>;
    /// See [`crate::StageServer::loads`].
    async fn loads() -> Option<StageLoads>;
    /// See [`crate::StageServer::free`].
    async fn free(free: StageFree);
    /// See [`crate::StageServer::news`].
    async fn news(news: HostNews);
    /// See [`crate::StageServer::readers`].
    async fn readers(query: SubjectQuery) -> Option<SubjectReaders>;
    /// See [`crate::StageServer::store`].
    async fn store(query: StoreQuery) -> Option<StoreNews>;
    /// See [`crate::StageServer::origin`].
    async fn origin(query: OriginQuery) -> Option<OriginAnswer>;
    /// See [`crate::StageServer::parts`].
    async fn parts(query: PartQuery) -> Option<PartAnswer>;
}

#[derive(Clone)]
struct Server {
    handler: Arc<dyn PeerHandler>,
    last_call: Arc<Mutex<Instant>>,
    /// The host at the other end, if it has submitted work of its own.
    holder: Arc<Mutex<Option<Holder>>>,
}

impl Server {
    fn touch(&self) {
        *self.last_call.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle(&self) -> bool {
        let last_call = *self.last_call.lock().unwrap_or_else(PoisonError::into_inner);
        last_call.elapsed() >= IDLE_MS.duration()
    }
}

impl PeerService for Server {
    async fn exchange(self, _: Context, exchange: Exchange) -> Exchange {
        self.touch();
        self.handler.exchange(exchange).await
    }

    async fn claim(self, _: Context, claim: Claim) -> Grant {
        self.touch();
        // tarpc drops a call whose caller gave up. A write to the platform that is cancelled half
        // way leaves the state of its shard unknown to every host, so the call runs in a task of
        // its own.
        let call = tokio::spawn(async move { self.handler.claim(claim).await });
        call.await.unwrap_or_default()
    }

    async fn finish(self, _: Context, finish: Finish) -> bool {
        self.touch();
        let call = tokio::spawn(async move { self.handler.finish(finish).await });
        call.await.unwrap_or_default()
    }

    async fn submit(self, _: Context, work: StageWork) -> Option<StageResults> {
        self.touch();
        // Work that was passed on names the host that submitted it first.
        if !work.passed_on && work.holder.is_some() {
            *self.holder.lock().unwrap_or_else(PoisonError::into_inner) = work.holder.clone();
        }
        // tarpc drops this future when the caller gives up, and that withdraws the pieces.
        Some(self.handler.stages()?.submit(work).await)
    }

    async fn loads(self, _: Context) -> Option<StageLoads> {
        self.touch();
        Some(self.handler.stages()?.loads().await)
    }

    async fn free(self, _: Context, free: StageFree) {
        self.touch();
        if let Some(stages) = self.handler.stages() {
            stages.free(free).await;
        }
    }

    async fn news(self, _: Context, news: HostNews) {
        self.touch();
        if let Some(stages) = self.handler.stages() {
            stages.news(news).await;
        }
    }

    async fn readers(self, _: Context, query: SubjectQuery) -> Option<SubjectReaders> {
        self.touch();
        Some(self.handler.stages()?.readers(query).await)
    }

    async fn store(self, _: Context, query: StoreQuery) -> Option<StoreNews> {
        self.touch();
        Some(self.handler.stages()?.store(query).await)
    }

    async fn origin(self, _: Context, query: OriginQuery) -> Option<OriginAnswer> {
        self.touch();
        Some(self.handler.stages()?.origin(query).await)
    }

    async fn parts(self, _: Context, query: PartQuery) -> Option<PartAnswer> {
        self.touch();
        Some(self.handler.stages()?.parts(query).await)
    }
}

/// A bound port for other hosts that isn't served yet.
pub struct BoundListener {
    addr: SocketAddr,
    listener: TcpListener,
}

impl BoundListener {
    /// Binds to `addr`; port 0 picks a free one.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self { addr: listener.local_addr()?, listener })
    }

    /// The address that it will listen at.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts serving. What is held for other hosts is part of `budget`.
    pub fn serve(self, handler: Arc<dyn PeerHandler>, budget: Arc<Budget>) -> Listener {
        let task = tokio::spawn(accept(self.listener, handler, budget));
        Listener { addr: self.addr, task }
    }
}

/// A running server for other hosts.
pub struct Listener {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds to `addr` and serves it; port 0 picks a free one. What is held for other hosts has a budget of
    /// its own.
    pub async fn start(addr: SocketAddr, handler: Arc<dyn PeerHandler>) -> io::Result<Self> {
        let budget = Budget::new(budget_bytes(None), Arc::new(SystemClock::new()));
        Ok(BoundListener::bind(addr).await?.serve(handler, budget))
    }

    /// The address that it listens at.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening and closes the connections.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, handler: Arc<dyn PeerHandler>, budget: Arc<Budget>) {
    let places = budget.places(Class::Internal, MAX_CONNECTIONS);
    let tunnels = Arc::new(Semaphore::new(MAX_TUNNELS));
    // Dropped with this task, which closes the connections.
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Some(_) = open.join_next(), if !open.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_MS.duration()).await;
            continue;
        };
        let Some(account) = places.open() else { continue };
        let server = Server {
            handler: handler.clone(),
            last_call: Arc::new(Mutex::new(Instant::now())),
            holder: Arc::default(),
        };
        let tunnels = tunnels.clone();
        open.spawn(async move {
            tokio::select! {
                () = connection(tcp, account.clone(), server, &tunnels) => {}
                () = account.evicted() => {}
            }
        });
    }
}

async fn connection(tcp: TcpStream, account: Arc<Account>, server: Server, tunnels: &Semaphore) {
    // Without TCP_NODELAY the connection is only slower.
    let _ = tcp.set_nodelay(true);
    match timeout(IDLE_MS.duration(), tunnel::is_requested(&tcp)).await {
        Ok(true) => {
            account.set_phase(Phase::Serving);
            serve_tunnel(tcp, &server, tunnels).await;
        }
        Ok(false) => serve_calls(tcp, account, server).await,
        Err(_) => {}
    }
}

/// Serves a tunnel. A host with too many of them refuses by closing the connection.
async fn serve_tunnel(tcp: TcpStream, server: &Server, tunnels: &Semaphore) {
    let Ok(_permit) = tunnels.try_acquire() else { return };
    let Some(stages) = server.handler.stages() else { return };
    // The other host sees from its end of the connection that it broke.
    let _ = tunnel::serve(tcp, stages).await;
}

async fn serve_calls(tcp: TcpStream, account: Arc<Account>, server: Server) {
    let stream = MeteredStream::new(tcp, account);
    let frames =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport = tarpc::serde_transport::new(frames, Bincode::default());
    let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
    let served = requests.for_each(|call| async {
        tokio::spawn(call);
    });
    let idle = async {
        while !server.idle() {
            tokio::time::sleep(IDLE_MS.scale(1, 4).duration()).await;
        }
    };
    tokio::select! {
        () = served => {}
        () = idle => {}
    }
    let holder = server.holder.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let (Some(stages), Some(holder)) = (server.handler.stages(), holder) {
        // In the background: it asks the host once more, and meanwhile the connection's place is free.
        tokio::spawn(async move { stages.disconnected(holder).await });
    }
}
