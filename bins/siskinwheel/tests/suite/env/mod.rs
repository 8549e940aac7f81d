//! Test environment: a fake platform and a host's admin endpoint run in the test's process, the
//! program in a process of its own.

use base::Ms;
use fakes::{Platform, PlatformFaults};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use link::{Body, Bounds, Handler, Pool, PoolConfig, Stop, full, json, serve};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use wire::{FleetObject, Member, MemberList};

/// A small configuration whose workspace has the given weight.
pub fn yaml(weight: u32) -> String {
    include_str!("small.yaml").replace("weight: 1", &format!("weight: {weight}"))
}

/// Test environment with the options to reach its servers.
pub struct Env {
    runtime: Runtime,
    platform: Platform,
    lose_write: Arc<AtomicBool>,
    dir: PathBuf,
    args: [String; 3],
}

impl Env {
    /// Starts the servers on free ports.
    pub fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let platform = runtime.block_on(Platform::start(local())).expect("a free port");
        let lose_write = Arc::new(AtomicBool::new(false));
        let host = runtime.block_on(listen(Host { platform: platform.addr() }));
        let proxy = Proxy {
            platform: platform.addr(),
            lose_write: lose_write.clone(),
            down: AtomicBool::new(false),
        };
        let proxy = runtime.block_on(listen(proxy));
        let args = [
            format!("--platform={}", platform.addr()),
            format!("--host={host}"),
            format!("--platform={proxy}"),
        ];
        let name = format!("commands-{}", base::ChangeId::fresh());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).expect("a directory for the test's files");
        Self { runtime, platform, lose_write, dir, args }
    }

    /// The option that names the platform.
    pub fn platform(&self) -> &str {
        &self.args[0]
    }

    /// The option that names a host.
    pub fn host(&self) -> &str {
        &self.args[1]
    }

    /// The option that names the proxy in front of the platform.
    pub fn proxy(&self) -> &str {
        &self.args[2]
    }

    /// Sets the platform's faults.
    pub fn faults(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults);
    }

    /// The next write through the proxy takes effect, but its response is lost, and all later calls
    /// fail.
    pub fn lose_write_then_down(&self) {
        self.lose_write.store(true, Ordering::Relaxed);
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().expect("a path of plain characters").to_owned()
    }

    /// Applies a small configuration.
    pub fn apply(&self, weight: u32, why: &str) {
        let file = self.file("applied.yaml", &yaml(weight));
        let output = self.run(&["apply", &file, "--who", "ada", "--why", why, self.platform()]);
        assert!(output.starts_with("exit 0"), "{output}");
    }

    /// Runs the program and returns its exit code and output, with ids, times and paths replaced by
    /// placeholders.
    pub fn run(&self, args: &[&str]) -> String {
        let program = env!("CARGO_BIN_EXE_siskinwheel");
        let output = Command::new(program).args(args).output().expect("it runs");
        let text = |bytes: &[u8]| self.normalize(&String::from_utf8_lossy(bytes));
        let code = output.status.code().expect("it exits");
        format!("exit {code}\n{}{}", text(&output.stdout), text(&output.stderr))
    }

    fn normalize(&self, text: &str) -> String {
        normalize(&text.replace(self.dir.to_str().unwrap_or_default(), "DIR"))
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        // Files that can't be removed stay in cargo's target directory.
        let _ = std::fs::remove_dir_all(&self.dir);
        self.runtime.block_on(async {});
    }
}

/// Replaces ids and times by placeholders.
pub fn normalize(text: &str) -> String {
    let mut out = text.to_owned();
    replace(&mut out, 36, "CHANGE", is_uuid);
    replace(&mut out, 20, "TIME", is_stamp);
    replace(&mut out, 13, "MS", is_ms);
    out
}

fn replace(text: &mut String, len: usize, name: &str, fits: impl Fn(&str) -> bool) {
    let mut at = 0;
    while at + len <= text.len() {
        if text.get(at..at + len).is_some_and(&fits) {
            text.replace_range(at..at + len, name);
        }
        at += 1;
    }
}

fn is_uuid(part: &str) -> bool {
    let dash = |(i, c): (usize, char)| (c == '-') == [8, 13, 18, 23].contains(&i);
    part.chars().enumerate().all(dash) && part.chars().all(|c| c == '-' || c.is_ascii_hexdigit())
}

fn is_stamp(part: &str) -> bool {
    part.ends_with('Z') && part.as_bytes()[10] == b'T' && part.starts_with("20")
}

fn is_ms(part: &str) -> bool {
    part.starts_with('1') && part.chars().all(|c| c.is_ascii_digit())
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn listen<H: Handler>(handler: H) -> SocketAddr {
    let listener = TcpListener::bind(local()).await.expect("a free port");
    let addr = listener.local_addr().expect("it has an address");
    tokio::spawn(serve(listener, Bounds::default(), Arc::new(handler), Stop::new()));
    addr
}

/// A host's admin endpoint. It knows three hosts, one of which stays at generation 2, and serves the
/// first configuration.
struct Host {
    platform: SocketAddr,
}

impl Host {
    async fn fleet(&self) -> FleetObject {
        // Not read from the platform: a host keeps its configuration during an outage.
        FleetObject {
            generation: 1,
            config: yaml(1),
            audit: vec![wire::Audit {
                to: 1,
                who: "ada".to_owned(),
                why: "first".to_owned(),
                at_ms: 1_796_253_548_035,
                fields: vec!["first configuration".to_owned()],
                change: format!("as {} had it", self.platform.ip()),
                ..wire::Audit::default()
            }],
            ..FleetObject::default()
        }
    }

    fn members() -> MemberList {
        let member = |host: &str, domain: &str, generation| Member {
            host: host.to_owned(),
            domain: domain.to_owned(),
            generation,
            ..Member::default()
        };
        let members = vec![
            member("a-1", "west-a", 9),
            member("a-2", "west-a", 2),
            member("b-1", "west-b", 9),
        ];
        MemberList { members }
    }
}

impl Handler for Host {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        match request.uri().path() {
            "/members" => json(StatusCode::OK, &Self::members()),
            "/fleet" => json(StatusCode::OK, &self.fleet().await),
            _ => Response::new(full("")),
        }
    }
}

/// Forwards calls to the platform. Once `lose_write` is set, it drops the response to the next write
/// and fails all calls from then on.
struct Proxy {
    platform: SocketAddr,
    lose_write: Arc<AtomicBool>,
    down: AtomicBool,
}

impl Handler for Proxy {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        let write = request.method() == Method::PUT;
        let (head, body) = request.into_parts();
        let body = link::read(body, 1 << 20).await.unwrap_or_default();
        let pool = Pool::new(self.platform, PoolConfig::default());
        let request = Request::from_parts(head, body);
        let response = link::call(&pool, request, Ms::secs(5), 1 << 20).await;
        let lost = write && self.lose_write.load(Ordering::Relaxed);
        if self.down.fetch_or(lost, Ordering::Relaxed) || lost {
            let mut response = Response::new(full(""));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            return response;
        }
        match response {
            Ok(response) => response.map(full),
            Err(_) => Response::new(full("")),
        }
    }
}
