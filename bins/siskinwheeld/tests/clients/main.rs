//! Clients that don't behave, against an entry host that is a process of its own, in front of fakes. A host
//! must live within the memory of its machine and answer ordinary callers while such a crowd stays open.

#[allow(dead_code, reason = "shared with the system tests, which use the rest of it")]
#[path = "../system/env/mod.rs"]
mod env;

use env::Env;
use standin::{Crowd, Script, Usage, ordinary};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the machine, in millions of bytes.
const MEMORY_MB: u64 = 128;
/// Largest body that callers may send, bytes.
const BODY_BYTES: usize = 1 << 20;
/// Most open connections of callers.
const CONNECTIONS: usize = 200;
/// Clients with bodies just below the limit: one and a quarter times the machine's memory.
const LARGE_CLIENTS: usize = 160;
/// Clients that take every connection, and more.
const CONNECTION_CLIENTS: usize = 260;
/// Clients that send chunks of one byte, and the bytes of body that each of them sends.
const SMALL_CHUNKS: (usize, usize) = (40, 128 << 10);
/// Clients at the address for other hosts: their frames are one and a half times the machine's memory.
const PEERS: usize = 48;
/// Largest frame between hosts, bytes.
const FRAME_BYTES: u32 = 4 << 20;
/// Size of a piece or of a large chunk, bytes.
const PIECE: usize = 64 << 10;
/// Factor by which targets are slow.
const SLOWNESS: u64 = 2_000;
/// Descriptors that the host may have open.
const DESCRIPTORS: usize = 4_100;
/// Settings of the host. Callers have a minute for their bodies.
const SETTINGS: &str =
    "limits: {memory_mb: 128, body_bytes: 1048576, connections: 200, read_ms: 60000}";
/// The configuration of the co-operative's example.
const COOPERATIVE: &str = include_str!("../../../../examples/cooperative.yaml");

/// Crowds run one at a time: each measures the memory of a process.
static ONE: Mutex<()> = Mutex::const_new(());

struct Host {
    env: Env,
    usage: Usage,
    _one: MutexGuard<'static, ()>,
}

fn head(headers: &str) -> Vec<u8> {
    format!(
        "POST /v1/pipelines/inspector-answer HTTP/1.1\r\nHost: h\r\nX-Workspace: painters\r\n\
         X-Deadline-Ms: 60000\r\n{headers}\r\n"
    )
    .into_bytes()
}

fn length(bytes: usize) -> Vec<u8> {
    head(&format!("Content-Length: {bytes}\r\n"))
}

/// A body in chunks of `bytes` each, without an end.
fn endless_chunks(bytes: usize, most: usize) -> Script {
    let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into_bytes();
    let count = (PIECE / bytes).max(1);
    let many: Arc<[u8]> = chunk.repeat(count).into();
    let mut pieces = vec![head("Transfer-Encoding: chunked\r\n").into()];
    pieces.extend(std::iter::repeat_n(many, most / (bytes * count)));
    Script::new(pieces)
}

impl Host {
    async fn start() -> Self {
        let one = ONE.lock().await;
        let env = Env::start_with(COOPERATIVE, 1, SETTINGS).await;
        let usage = Usage::watch(env.hosts[0].process.id());
        Self { env, usage, _one: one }
    }

    /// Has all targets take so many times as long.
    async fn slow_targets(&self, factor: u64) {
        for target in self.env.targets.values() {
            self.env.set_faults(target.addr, &format!(r#"{{"slow": {factor}}}"#)).await;
        }
    }

    fn listen(&self) -> SocketAddr {
        self.env.hosts[0].process.addr
    }

    /// Lets a crowd send, and checks while it stays open that the host lives within the memory of its machine
    /// and answers an ordinary request.
    async fn bear(&self, addr: SocketAddr, clients: usize, script: Script) {
        let _crowd = Crowd::send(addr, clients, script).await;
        self.holds().await;
    }

    /// Checks what must hold while a crowd stays open.
    async fn holds(&self) {
        self.usage.settle().await;
        let body = r#"{"input": "which grey?", "max_tokens": 2}"#;
        let lines = format!("Connection: close\r\nContent-Length: {}\r\n", body.len());
        let request = String::from_utf8(head(&lines)).unwrap() + body;
        let got = ordinary(self.listen(), &request).await;
        let peak = self.usage.peak() / 1_000_000;
        println!("peak {peak} MB, {} descriptors", self.usage.descriptors());
        assert!(self.usage.is_alive(), "the host has ended");
        assert!(peak <= MEMORY_MB, "the host takes {peak} MB of {MEMORY_MB}");
        assert!(self.usage.descriptors() <= DESCRIPTORS, "{} open", self.usage.descriptors());
        assert!(got.starts_with("HTTP/1.1 200"), "an ordinary request got {got:?}");
        let ready = env::get(self.env.hosts[0].admin, "/readyz").await;
        assert!(ready.is_ok_and(|r| r.status().is_success()), "the host says that it isn't ready");
    }
}

// Guards against a process that ends because bodies of legal size stop one byte short of their end.
#[tokio::test]
async fn daemon_bears_bodies_one_byte_short() {
    let host = Host::start().await;
    let script = Script::new([length(BODY_BYTES), vec![b'x'; BODY_BYTES - 1]]);
    host.bear(host.listen(), LARGE_CLIENTS, script).await;
}

// Guards against the same with bodies that come piece by piece.
#[tokio::test]
async fn daemon_bears_bodies_in_pieces() {
    let host = Host::start().await;
    let mut pieces = vec![length(BODY_BYTES)];
    pieces.extend(std::iter::repeat_n(vec![b'x'; PIECE], BODY_BYTES / PIECE - 1));
    pieces.push(vec![b'x'; PIECE - 1]);
    let script = Script { pause: Duration::from_millis(50), ..Script::new(pieces) };
    host.bear(host.listen(), LARGE_CLIENTS, script).await;
}

// Guards against the same with bodies whose length isn't announced.
#[tokio::test]
async fn daemon_bears_large_chunks_without_end() {
    let host = Host::start().await;
    host.bear(host.listen(), LARGE_CLIENTS, endless_chunks(PIECE - 16, BODY_BYTES)).await;
}

// Guards against memory by the number of chunks.
#[tokio::test]
async fn daemon_bears_small_chunks_without_end() {
    let host = Host::start().await;
    let (clients, bytes) = SMALL_CHUNKS;
    host.bear(host.listen(), clients, endless_chunks(1, bytes)).await;
}

// Guards against whole bodies, and their copies for each stage, that are kept without bound while targets
// are slow.
#[tokio::test]
async fn daemon_bears_whole_bodies_that_wait() {
    let host = Host::start().await;
    host.slow_targets(SLOWNESS).await;
    let json = [r#"{"max_tokens": 2, "input": ""#, r#""}"#];
    let room = BODY_BYTES - json.concat().len();
    let body = format!("{}{}{}", json[0], "x".repeat(room), json[1]);
    let script = Script::new([length(BODY_BYTES), body.into_bytes()]);
    let _crowd = Crowd::send(host.listen(), LARGE_CLIENTS, script).await;
    host.usage.settle().await;
    host.slow_targets(1).await;
    host.holds().await;
}

// Guards against bodies that are kept up to the limit although their length is announced as far over it.
#[tokio::test]
async fn daemon_bears_bodies_far_over_the_limit() {
    let host = Host::start().await;
    let mut pieces = vec![length(9 << 30)];
    pieces.extend(std::iter::repeat_n(vec![b'x'; PIECE], 4 * BODY_BYTES / PIECE));
    let script = Script { pause: Duration::from_millis(20), ..Script::new(pieces) };
    host.bear(host.listen(), LARGE_CLIENTS, script).await;
}

// Guards against callers that are turned away because clients that send nothing more hold every place.
#[tokio::test]
async fn daemon_bears_clients_that_hold_every_connection() {
    const { assert!(CONNECTION_CLIENTS > CONNECTIONS) };
    let host = Host::start().await;
    let script = Script::new([length(BODY_BYTES), vec![b'x'; 1_000]]);
    host.bear(host.listen(), CONNECTION_CLIENTS, script).await;
    let silent = Script::new([Vec::new()]);
    host.bear(host.listen(), CONNECTION_CLIENTS, silent).await;
}

// Guards against places at the address for readiness that are held: the platform would take the host for
// dead.
#[tokio::test]
async fn daemon_bears_a_crowd_at_the_admin_address() {
    let host = Host::start().await;
    let silent = Script::new([Vec::new()]);
    host.bear(host.env.hosts[0].admin, CONNECTION_CLIENTS, silent).await;
}

// Guards against frames between hosts that stop short of their end.
#[tokio::test]
async fn daemon_bears_frames_that_stop_short() {
    let host = Host::start().await;
    let frame = vec![b'x'; FRAME_BYTES as usize - 1];
    let script = Script::new([FRAME_BYTES.to_be_bytes().to_vec(), frame]);
    host.bear(host.env.hosts[0].peer, PEERS, script).await;
}
