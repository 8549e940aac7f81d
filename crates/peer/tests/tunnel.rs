//! Connections to targets through another host, over real sockets.

use async_trait::async_trait;
use base::Ms;
use peer::{Listener, PeerClient, PeerError, PeerHandler, StagePeers, StageServer, Tunnel};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{
    Claim, Exchange, Finish, Grant, HostNews, OriginAnswer, OriginQuery, PartAnswer, PartQuery,
    StageFree, StageLoads, StageResults, StageWork, StoreNews, StoreQuery, SubjectQuery,
    SubjectReaders,
};

/// A host that connects others to the target `i-1@1`, and does nothing else.
#[derive(Clone, Copy)]
struct Between(SocketAddr);

#[async_trait]
impl PeerHandler for Between {
    async fn exchange(&self, exchange: Exchange) -> Exchange {
        exchange
    }

    async fn claim(&self, _: Claim) -> Grant {
        Grant::default()
    }

    async fn finish(&self, _: Finish) -> bool {
        false
    }

    fn stages(&self) -> Option<Arc<dyn StageServer>> {
        Some(Arc::new(*self))
    }
}

#[async_trait]
impl StageServer for Between {
    async fn submit(&self, _: StageWork) -> StageResults {
        StageResults::default()
    }

    async fn loads(&self) -> StageLoads {
        StageLoads::default()
    }

    async fn free(&self, _: StageFree) {}

    async fn news(&self, _: HostNews) {}

    async fn readers(&self, _: SubjectQuery) -> SubjectReaders {
        SubjectReaders::default()
    }

    async fn store(&self, _: StoreQuery) -> StoreNews {
        StoreNews::default()
    }

    async fn parts(&self, _: PartQuery) -> PartAnswer {
        PartAnswer::default()
    }

    async fn origin(&self, _: OriginQuery) -> OriginAnswer {
        OriginAnswer::default()
    }

    async fn connect(&self, target: &str) -> Option<TcpStream> {
        match target {
            "i-1@1" => TcpStream::connect(self.0).await.ok(),
            _ => None,
        }
    }
}

/// A target, the host between, and both ends of a connection through it.
struct Path {
    target: TcpStream,
    between: Listener,
    tunnel: Tunnel,
}

async fn open() -> Path {
    let (target, between) = listen().await;
    let client = PeerClient::new(Ms::secs(2));
    let (tunnel, accepted) = tokio::join!(client.tunnel(between.addr(), "i-1@1"), target.accept());
    Path { target: accepted.unwrap().0, between, tunnel: tunnel.unwrap() }
}

async fn listen() -> (TcpListener, Listener) {
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let target = TcpListener::bind(local).await.unwrap();
    let handler = Arc::new(Between(target.local_addr().unwrap()));
    (target, Listener::start(local, handler).await.unwrap())
}

#[tokio::test]
async fn bytes_pass_both_ways_and_calls_work_beside_them() {
    let Path { mut target, between, mut tunnel } = open().await;
    tunnel.write_all(b"question").await.unwrap();
    let mut question = [0; 8];
    target.read_exact(&mut question).await.unwrap();
    assert_eq!(&question, b"question");
    let answer = vec![b'x'; 100_000];
    target.write_all(&answer).await.unwrap();
    drop(target);
    let mut got = Vec::new();
    tunnel.read_to_end(&mut got).await.unwrap();
    assert!(got == answer, "{} bytes", got.len());
    let loads = PeerClient::new(Ms::secs(2)).loads(between.addr()).await;
    assert_eq!(loads, Ok(StageLoads::default()));
}

// Guards against an answer that looks complete although it was cut short: it ends with its
// connection, and the host between died in the middle of it.
#[tokio::test]
async fn an_answer_that_the_host_between_cut_short_is_not_complete() {
    let Path { mut target, between, mut tunnel } = open().await;
    target.write_all(b"half of an ans").await.unwrap();
    let mut half = [0; 14];
    tunnel.read_exact(&mut half).await.unwrap();
    between.close().await;
    assert!(tunnel.read_to_end(&mut Vec::new()).await.is_err());
}

// Guards against the same where the target itself resets the connection.
#[tokio::test]
async fn an_answer_that_its_target_reset_is_not_complete() {
    let Path { mut target, between: _between, mut tunnel } = open().await;
    target.write_all(b"half of an ans").await.unwrap();
    let mut half = [0; 14];
    tunnel.read_exact(&mut half).await.unwrap();
    target.set_zero_linger().unwrap();
    drop(target);
    assert!(tunnel.read_to_end(&mut Vec::new()).await.is_err());
}

// Guards against targets that go on working for callers who have left: the host that they left
// closes its connection, and so must the one between.
#[tokio::test]
async fn a_target_hears_that_the_connection_was_closed() {
    let Path { mut target, between: _between, tunnel } = open().await;
    drop(tunnel);
    let mut rest = [0; 8];
    let ended = tokio::time::timeout(Duration::from_millis(500), target.read(&mut rest)).await;
    assert!(matches!(ended, Ok(Ok(0) | Err(_))), "{ended:?}");
}

#[tokio::test]
async fn a_target_that_the_host_between_does_not_know_is_refused() {
    let (_target, between) = listen().await;
    let client = PeerClient::new(Ms::secs(2));
    let refused = client.tunnel(between.addr(), "i-1@2").await.err();
    assert_eq!(refused, Some(PeerError::Refused));
}

// Guards against a host that is occupied by connections whose request never arrives.
#[tokio::test]
async fn an_unfinished_request_for_a_tunnel_is_closed() {
    let (_target, between) = listen().await;
    let mut tcp = TcpStream::connect(between.addr()).await.unwrap();
    tcp.write_all(b"TUNL").await.unwrap();
    let mut rest = [0; 8];
    let ended = tokio::time::timeout(Duration::from_secs(3), tcp.read(&mut rest)).await;
    assert!(matches!(ended, Ok(Ok(0) | Err(_))), "{ended:?}");
}
