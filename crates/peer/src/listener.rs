//! Answering other hosts over tarpc.

use base::Ms;
use futures::StreamExt;
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
use wire::{
    Claim, Exchange, Finish, Grant, HostNews, StageFree, StageLoads, StageResults, StageWork,
    StoreNews, StoreQuery, SubjectQuery, SubjectReaders,
};

use crate::PeerHandler;

/// Largest message either way, bytes: a full exchange carries the configuration, up to a
/// megabyte. Both ends hold the same bound, or one would send what the other cuts off.
pub(crate) const FRAME_BYTES: usize = 4 << 20;
/// Connections of other hosts that are served at once.
const CONNECTIONS: usize = 1024;
/// A connection without a call for this long is closed, ms. Callers let theirs go sooner; one
/// that stays is of a host that is gone, and would hold its place for good.
const IDLE_MS: Ms = Ms::secs(60);
/// Wait after a failed accept, ms: out of file descriptors, trying again at once would spin.
const ACCEPT_MS: Ms = Ms(10);

/// The calls, as tarpc has them.
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
}

#[derive(Clone)]
struct Server {
    serves: Arc<dyn PeerHandler>,
    last: Arc<Mutex<Instant>>,
}

impl Server {
    fn touch(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle(&self) -> bool {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.elapsed() >= IDLE_MS.duration()
    }
}

impl PeerService for Server {
    async fn exchange(self, _: Context, exchange: Exchange) -> Exchange {
        self.touch();
        self.serves.exchange(exchange).await
    }

    async fn claim(self, _: Context, claim: Claim) -> Grant {
        self.touch();
        // tarpc drops a call whose caller gave up. A write to the platform that is cut half way
        // leaves its shard in doubt for everyone, so the call goes on by itself.
        let call = tokio::spawn(async move { self.serves.claim(claim).await });
        call.await.unwrap_or_default()
    }

    async fn finish(self, _: Context, finish: Finish) -> bool {
        self.touch();
        let call = tokio::spawn(async move { self.serves.finish(finish).await });
        call.await.unwrap_or_default()
    }

    async fn submit(self, _: Context, work: StageWork) -> Option<StageResults> {
        self.touch();
        // Dropped with the call when its caller gives up: the pieces are withdrawn then.
        Some(self.serves.stages()?.submit(work).await)
    }

    async fn loads(self, _: Context) -> Option<StageLoads> {
        self.touch();
        Some(self.serves.stages()?.loads().await)
    }

    async fn free(self, _: Context, free: StageFree) {
        self.touch();
        if let Some(stages) = self.serves.stages() {
            stages.free(free).await;
        }
    }

    async fn news(self, _: Context, news: HostNews) {
        self.touch();
        if let Some(stages) = self.serves.stages() {
            stages.news(news).await;
        }
    }

    async fn readers(self, _: Context, query: SubjectQuery) -> Option<SubjectReaders> {
        self.touch();
        Some(self.serves.stages()?.readers(query).await)
    }

    async fn store(self, _: Context, query: StoreQuery) -> Option<StoreNews> {
        self.touch();
        Some(self.serves.stages()?.store(query).await)
    }
}

/// A port for other hosts that isn't served yet.
pub struct Bound {
    addr: SocketAddr,
    listener: TcpListener,
}

impl Bound {
    /// Takes `addr`; port 0 takes a free one.
    pub async fn at(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self { addr: listener.local_addr()?, listener })
    }

    /// Where it will listen.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// PeerHandler it.
    pub fn serve(self, serves: Arc<dyn PeerHandler>) -> Listener {
        let task = tokio::spawn(accept(self.listener, serves));
        Listener { addr: self.addr, task }
    }
}

/// A listener for other hosts.
pub struct Listener {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens at `addr`; port 0 takes a free one.
    pub async fn start(addr: SocketAddr, serves: Arc<dyn PeerHandler>) -> io::Result<Self> {
        Ok(Bound::at(addr).await?.serve(serves))
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening and closes the connections.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

async fn accept(listener: TcpListener, serves: Arc<dyn PeerHandler>) {
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    // Dropped with this task, and the connections with it.
    let mut open = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Some(_) = open.join_next(), if !open.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((tcp, _)) = accepted else {
            tokio::time::sleep(ACCEPT_MS.duration()).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        let server = Server { serves: serves.clone(), last: Arc::new(Mutex::new(Instant::now())) };
        open.spawn(async move {
            connection(tcp, server).await;
            drop(permit);
        });
    }
}

async fn connection(tcp: TcpStream, server: Server) {
    // A failure here leaves the connection slower, not wrong.
    let _ = tcp.set_nodelay(true);
    let frames = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_framed(tcp);
    let transport = tarpc::serde_transport::new(frames, Bincode::default());
    let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
    let served = calls.for_each(|call| async {
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
}
