//! Calls between hosts over real sockets.

use async_trait::async_trait;
use base::Ms;
use peer::{Listener, PeerClient, PeerError, PeerHandler, Peers, answer_bytes, call_bytes};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{Claim, Exchange, Finish, FleetObject, Grant, GrantKind, Member};

#[derive(Default)]
struct Echo {
    claims: AtomicU32,
}

#[async_trait]
impl PeerHandler for Echo {
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

async fn echo() -> (Listener, Arc<Echo>) {
    let echo = Arc::new(Echo::default());
    (Listener::start(local(), echo.clone()).await.unwrap(), echo)
}

fn large(bytes: usize) -> Exchange {
    let fleet = FleetObject { config: "x".repeat(bytes), ..FleetObject::default() };
    Exchange { fleet: Some(fleet), ..Exchange::default() }
}

#[tokio::test]
async fn calls_are_answered() {
    let (listener, _) = echo().await;
    let wire = PeerClient::new(Ms::secs(5));
    let member = Member { host: "host-1".into(), ..Member::default() };
    let exchange = Exchange { members: vec![member], ..Exchange::default() };
    assert_eq!(wire.exchange(listener.addr(), exchange.clone()).await, Ok(exchange));
    let grant = wire.claim(listener.addr(), Claim::default()).await.unwrap();
    assert_eq!(grant.kind(), GrantKind::Granted);
    let known = Finish { key: "known".into(), ..Finish::default() };
    assert_eq!(wire.finish(listener.addr(), known).await, Ok(true));
    assert_eq!(wire.finish(listener.addr(), Finish::default()).await, Ok(false));
    assert_eq!(wire.kept(), 1, "one connection serves all");
    listener.close().await;
}

#[tokio::test]
async fn a_message_of_a_megabyte_passes_and_one_over_the_bound_fails_alone() {
    let (listener, _) = echo().await;
    let wire = PeerClient::new(Ms::secs(20));
    let exchange = large(1 << 20);
    assert_eq!(wire.exchange(listener.addr(), exchange.clone()).await, Ok(exchange));
    assert!(wire.exchange(listener.addr(), large(5 << 20)).await.is_err());
    let small = wire.exchange(listener.addr(), Exchange::default()).await;
    assert_eq!(small, Ok(Exchange::default()), "the next call opens another connection");
    listener.close().await;
}

#[tokio::test]
async fn a_host_that_is_gone_is_unreachable() {
    let (listener, _) = echo().await;
    let addr = listener.addr();
    listener.close().await;
    let wire = PeerClient::new(Ms::secs(5));
    let result = wire.exchange(addr, Exchange::default()).await;
    assert_eq!(result, Err(PeerError::Unreachable));
}

// A host that has just come back is taken for dead by all its peers for two seconds: their kept
// connections are worth nothing since it restarted, and each one's first call fails.
// A connection that is closed, or breaks at once, is replaced within the call.
#[tokio::test]
async fn the_first_call_to_a_host_that_restarted_is_answered() {
    let (listener, _) = echo().await;
    let addr = listener.addr();
    let wire = PeerClient::new(Ms::secs(5));
    for _ in 0..3 {
        assert_eq!(wire.exchange(addr, Exchange::default()).await, Ok(Exchange::default()));
    }
    listener.close().await;
    let again = Listener::start(addr, Arc::new(Echo::default())).await.unwrap();
    assert_eq!(wire.exchange(addr, Exchange::default()).await, Ok(Exchange::default()));
    again.close().await;
}

// The far end goes without closing the connection; only the answer to the next call, a reset, tells.
#[tokio::test]
async fn a_call_on_a_connection_that_is_reset_is_sent_once_more() {
    let (listener, echo) = echo().await;
    let (addr, reset) = relay(listener.addr(), Fault::Reset).await;
    let wire = PeerClient::new(Ms::secs(5));
    assert!(wire.claim(addr, Claim::default()).await.is_ok());
    reset.store(true, Ordering::SeqCst);
    assert!(wire.claim(addr, Claim::default()).await.is_ok());
    assert_eq!(echo.claims.load(Ordering::SeqCst), 2);
    listener.close().await;
}

/// What a relay does with bytes on a connection that was open when its fault came.
#[derive(Clone, Copy)]
enum Fault {
    /// It keeps the connection open and passes nothing on.
    Silent,
    /// It resets the connection.
    Reset,
}

/// A relay with a fault that can be switched on. Only connections that are open then have it.
async fn relay(to: SocketAddr, fault: Fault) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(local()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let faulty = Arc::new(AtomicBool::new(false));
    let flag = faulty.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            flag.store(false, Ordering::SeqCst);
            tokio::spawn(pass(near, to, fault, flag.clone()));
        }
    });
    (addr, faulty)
}

async fn pass(mut near: TcpStream, to: SocketAddr, fault: Fault, faulty: Arc<AtomicBool>) {
    let mut far = TcpStream::connect(to).await.unwrap();
    let (mut up, mut down) = ([0; 4096], [0; 4096]);
    loop {
        tokio::select! {
            n = near.read(&mut up) => match (n, faulty.load(Ordering::SeqCst), fault) {
                (Ok(n), false, _) if n > 0 => far.write_all(&up[..n]).await.unwrap(),
                (Ok(n), true, Fault::Silent) if n > 0 => {}
                (Ok(n), true, Fault::Reset) if n > 0 => {
                    near.set_zero_linger().unwrap();
                    return;
                }
                _ => return,
            },
            n = far.read(&mut down) => match n {
                Ok(n) if n > 0 => near.write_all(&down[..n]).await.unwrap(),
                _ => return,
            },
        }
    }
}

/// The caller of a host sees one failed call and then answers again. Something between the two
/// loses track of the kept connection: what is sent on it goes nowhere and no reset comes. The
/// call ends by its bound on silence, and the next is made on a new connection, which works.
#[tokio::test]
async fn a_kept_connection_that_goes_silent_is_replaced() {
    let (listener, _) = echo().await;
    let (addr, silent) = relay(listener.addr(), Fault::Silent).await;
    let wire = PeerClient::new(Ms(400));
    wire.exchange(addr, Exchange::default()).await.unwrap();
    silent.store(true, Ordering::SeqCst);
    assert_eq!(wire.exchange(addr, Exchange::default()).await, Err(PeerError::Silent));
    assert_eq!(wire.kept(), 0);
    wire.exchange(addr, Exchange::default()).await.expect("a new connection works");
    listener.close().await;
}

/// The caller of a claim gives up before it is recorded. tarpc drops calls that nobody waits for;
/// a write to the platform would be cut half way and leave its record in doubt. The call goes on.
#[tokio::test]
async fn a_claim_goes_on_when_its_caller_gave_up() {
    let (listener, echo) = echo().await;
    let wire = PeerClient::new(Ms(50));
    let slow = Claim { key: "slow".into(), ..Claim::default() };
    assert_eq!(wire.claim(listener.addr(), slow).await, Err(PeerError::Silent));
    while echo.claims.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Ms(10).duration()).await;
    }
    listener.close().await;
}

#[tokio::test]
async fn the_sizes_that_are_counted_are_those_on_the_wire() {
    let listener = TcpListener::bind(local()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let wire = PeerClient::new(Ms(300));
    let exchange = large(1000);
    let expected = call_bytes(&exchange);
    let call = wire.exchange(addr, exchange.clone());
    let read = async {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut head = [0; 4];
        tcp.read_exact(&mut head).await.unwrap();
        u32::from_be_bytes(head) as usize + head.len()
    };
    let (_, seen) = tokio::join!(call, read);
    // The context's identifiers and deadline are of variable length.
    assert!(seen.abs_diff(expected) <= 32, "{seen} on the wire, {expected} counted");
    assert!(answer_bytes(&exchange) < expected);
}
