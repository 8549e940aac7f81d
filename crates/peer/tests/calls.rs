//! Calls between hosts over real sockets.

use async_trait::async_trait;
use base::{BootClock, Ms, PauseMeter};
use peer::{Listener, PeerClient, PeerError, PeerHandler, Peers, answer_bytes, call_bytes};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use wire::{Claim, Exchange, Finish, FleetObject, Grant, GrantKind, Member};

#[derive(Default)]
struct EchoHandler {
    claims: AtomicU32,
}

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn exchange(&self, exchange: Exchange) -> Exchange {
        exchange
    }

    async fn claim(&self, claim: Claim) -> Grant {
        if claim.key == "slow" {
            tokio::time::sleep(Ms(300).duration()).await;
        }
        self.claims.fetch_add(1, Ordering::SeqCst);
        Grant { kind: GrantKind::Granted.into(), ..Grant::default() }
    }

    async fn finish(&self, finish: Finish) -> bool {
        finish.key == "known"
    }
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn start_echo() -> (Listener, Arc<EchoHandler>) {
    let echo = Arc::new(EchoHandler::default());
    (Listener::start(local(), echo.clone()).await.unwrap(), echo)
}

fn large(bytes: usize) -> Exchange {
    let fleet = FleetObject { config: "x".repeat(bytes), ..FleetObject::default() };
    Exchange { fleet: Some(fleet), ..Exchange::default() }
}

#[tokio::test]
async fn calls_are_answered() {
    let (listener, _) = start_echo().await;
    let client = PeerClient::new(Ms::secs(5));
    let member = Member { host: "host-1".into(), ..Member::default() };
    let exchange = Exchange { members: vec![member], ..Exchange::default() };
    assert_eq!(client.exchange(listener.addr(), exchange.clone()).await, Ok(exchange));
    let grant = client.claim(listener.addr(), Claim::default()).await.unwrap();
    assert_eq!(grant.kind(), GrantKind::Granted);
    let known = Finish { key: "known".into(), ..Finish::default() };
    assert_eq!(client.finish(listener.addr(), known).await, Ok(true));
    assert_eq!(client.finish(listener.addr(), Finish::default()).await, Ok(false));
    assert_eq!(client.pooled(), 1, "one connection serves all");
    listener.close().await;
}

#[tokio::test]
async fn a_megabyte_passes_and_a_message_over_the_limit_fails_alone() {
    let (listener, _) = start_echo().await;
    let client = PeerClient::new(Ms::secs(20));
    let exchange = large(1 << 20);
    assert_eq!(client.exchange(listener.addr(), exchange.clone()).await, Ok(exchange));
    assert!(client.exchange(listener.addr(), large(5 << 20)).await.is_err());
    let small = client.exchange(listener.addr(), Exchange::default()).await;
    assert_eq!(small, Ok(Exchange::default()), "the next call opens another connection");
    listener.close().await;
}

#[tokio::test]
async fn a_stopped_host_is_unreachable() {
    let (listener, _) = start_echo().await;
    let addr = listener.addr();
    listener.close().await;
    // Held without listening: a listener of another test may get the port otherwise, and answer.
    let port = TcpSocket::new_v4().unwrap();
    port.set_reuseaddr(true).unwrap();
    port.bind(addr).unwrap();
    let client = PeerClient::new(Ms::secs(5));
    let result = client.exchange(addr, Exchange::default()).await;
    assert_eq!(result, Err(PeerError::Unreachable));
}

// Without the retry, a host that has just restarted is taken for dead by all its peers for two
// seconds: their pooled connections are dead since the restart, and each peer's first call fails. A
// connection that is closed, or breaks at once, is replaced within the call.
#[tokio::test]
async fn the_first_call_to_a_host_that_restarted_is_answered() {
    let (listener, _) = start_echo().await;
    let addr = listener.addr();
    let client = PeerClient::new(Ms::secs(5));
    for _ in 0..3 {
        assert_eq!(client.exchange(addr, Exchange::default()).await, Ok(Exchange::default()));
    }
    listener.close().await;
    let again = Listener::start(addr, Arc::new(EchoHandler::default())).await.unwrap();
    assert_eq!(client.exchange(addr, Exchange::default()).await, Ok(Exchange::default()));
    again.close().await;
}

// The far end disappears without closing the connection; only the reset that answers the next call
// shows it.
#[tokio::test]
async fn a_call_on_a_reset_connection_is_retried_once() {
    let (listener, echo) = start_echo().await;
    let (addr, reset) = relay(listener.addr(), Fault::Reset).await;
    let client = PeerClient::new(Ms::secs(5));
    assert!(client.claim(addr, Claim::default()).await.is_ok());
    reset.store(true, Ordering::SeqCst);
    assert!(client.claim(addr, Claim::default()).await.is_ok());
    assert_eq!(echo.claims.load(Ordering::SeqCst), 2);
    listener.close().await;
}

/// What a relay does with bytes on a connection that was open when its fault was switched on.
#[derive(Clone, Copy)]
enum Fault {
    /// Keeps the connection open and forwards nothing.
    Silent,
    /// Resets the connection.
    Reset,
}

/// A relay with a fault that can be switched on. It affects only connections that are open at that
/// time.
async fn relay(to: SocketAddr, fault: Fault) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(local()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let faulty = Arc::new(AtomicBool::new(false));
    let flag = faulty.clone();
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            flag.store(false, Ordering::SeqCst);
            tokio::spawn(forward(inbound, to, fault, flag.clone()));
        }
    });
    (addr, faulty)
}

async fn forward(mut inbound: TcpStream, to: SocketAddr, fault: Fault, faulty: Arc<AtomicBool>) {
    let mut outbound = TcpStream::connect(to).await.unwrap();
    let (mut from_client, mut from_server) = ([0; 4096], [0; 4096]);
    loop {
        tokio::select! {
            n = inbound.read(&mut from_client) => match (n, faulty.load(Ordering::SeqCst), fault) {
                (Ok(n), false, _) if n > 0 => outbound.write_all(&from_client[..n]).await.unwrap(),
                (Ok(n), true, Fault::Silent) if n > 0 => {}
                (Ok(n), true, Fault::Reset) if n > 0 => {
                    inbound.set_zero_linger().unwrap();
                    return;
                }
                _ => return,
            },
            n = outbound.read(&mut from_server) => match n {
                Ok(n) if n > 0 => inbound.write_all(&from_server[..n]).await.unwrap(),
                _ => return,
            },
        }
    }
}

/// A device between two hosts drops the state of a pooled connection: what is sent on it is lost
/// and no reset comes. The call on it times out, and the next call is made on a new connection,
/// which works.
#[tokio::test]
async fn a_silent_pooled_connection_is_replaced() {
    let (listener, _) = start_echo().await;
    let (addr, silent) = relay(listener.addr(), Fault::Silent).await;
    let client = PeerClient::new(Ms(400));
    client.exchange(addr, Exchange::default()).await.unwrap();
    silent.store(true, Ordering::SeqCst);
    assert_eq!(client.exchange(addr, Exchange::default()).await, Err(PeerError::Silent));
    assert_eq!(client.pooled(), 0);
    client.exchange(addr, Exchange::default()).await.expect("a new connection works");
    listener.close().await;
}

/// The caller of a claim gives up before the claim is recorded. tarpc drops calls that nobody waits
/// for, which would cancel a write to the platform half way and leave the state of its record
/// unknown. So the call runs to its end.
#[tokio::test]
async fn a_claim_is_completed_after_its_caller_gave_up() {
    let (listener, echo) = start_echo().await;
    let client = PeerClient::new(Ms(50));
    let slow = Claim { key: "slow".into(), ..Claim::default() };
    assert_eq!(client.claim(listener.addr(), slow).await, Err(PeerError::Silent));
    while echo.claims.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Ms(10).duration()).await;
    }
    listener.close().await;
}

#[tokio::test]
async fn counted_sizes_match_the_bytes_on_the_wire() {
    let listener = TcpListener::bind(local()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let client = PeerClient::new(Ms(300));
    let exchange = large(1000);
    let expected = call_bytes(&exchange);
    let call = client.exchange(addr, exchange.clone());
    let read = async {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut head = [0; 4];
        tcp.read_exact(&mut head).await.unwrap();
        u32::from_be_bytes(head) as usize + head.len()
    };
    let (_, seen) = tokio::join!(call, read);
    // The context's identifiers and deadline have a variable length.
    assert!(seen.abs_diff(expected) <= 32, "{seen} on the wire, {expected} counted");
    assert!(answer_bytes(&exchange) < expected);
}

/// The process did not run while a call waited. The answer may have come and gone, so the far end is
/// called once more before it is taken for lost.
#[tokio::test]
async fn a_call_whose_time_ran_out_in_a_pause_is_sent_once_more() {
    let (listener, _) = start_echo().await;
    let (addr, silent) = relay(listener.addr(), Fault::Silent).await;
    let pauses = Arc::new(PauseMeter::new(Arc::new(BootClock::new())));
    let client = PeerClient::new(Ms(400)).with_pauses(pauses.clone());
    client.exchange(addr, Exchange::default()).await.unwrap();
    silent.store(true, Ordering::SeqCst);
    pauses.turn();
    let pause = async {
        tokio::time::sleep(Ms(50).duration()).await;
        std::thread::sleep(Ms(800).duration());
    };
    let (answer, ()) = tokio::join!(client.exchange(addr, Exchange::default()), pause);
    answer.expect("the repeated call is answered");
    listener.close().await;
}
