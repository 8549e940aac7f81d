//! Test environment: a fleet of real processes on loopback, with a fake platform, fake targets and
//! entry hosts.
//!
//! Dropping the environment kills each process by its own id.

use base::{Clock, Generation, Key, Ms, SystemClock, Version};
use bytes::Bytes;
use conf::{Fleet, PoolKind};
use ctl::ChangeNote;
use hyper::{Method, Request, Response};
use link::{LinkError, Pool, PoolConfig};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use store::{Api, HttpApi, HttpConfig};
use wire::{Ask, HostEntry, HostList};

/// Longest wait for a process to report that it is ready.
const START_TIMEOUT: Ms = Ms::secs(20);
/// Largest response that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A child process and its address. It is killed on drop.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
}

impl Process {
    /// Sends a signal to this process only; `name` is an option of `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {pid}");
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The process of an entry host, with its addresses and its settings file.
pub struct HostProcess {
    pub process: Process,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
    settings: PathBuf,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The running fleet.
pub struct Env {
    pub platform: Process,
    pub targets: BTreeMap<String, Process>,
    pub hosts: Vec<HostProcess>,
    pub fleet: Fleet,
}

impl Env {
    /// Starts the fleet declared in `yaml` with two hosts in each failure domain, and waits until
    /// all hosts are ready.
    pub async fn start(yaml: &str) -> Self {
        Self::start_with(yaml, 2, "").await
    }

    /// Starts the fleet with `hosts` hosts in each domain and extra lines in each host's settings.
    pub async fn start_with(yaml: &str, hosts: usize, settings: &str) -> Self {
        let mut fleet = Fleet::parse(yaml).expect("the configuration parses");
        let platform = start_fake(&["platform", "--listen", "127.0.0.1:0"]);
        let targets = start_targets(&mut fleet);
        let mut env = Self { platform, targets, hosts: Vec::new(), fleet };
        env.apply("first configuration").await;
        let mut list = HostList::default();
        for region in env.fleet.regions.clone() {
            for domain in &region.domains {
                for i in 0..hosts {
                    let host_settings = format!(
                        "host: {0}-{i}\ndomain: {0}\nregion: {1}\nplatform: {2}\n{settings}",
                        domain.name, region.name, env.platform.addr
                    );
                    let started = start_host(&host_settings);
                    list.hosts.push(HostEntry {
                        name: format!("{}-{i}", domain.name),
                        domain: domain.name.to_string(),
                        address: started.peer.to_string(),
                        leaving: false,
                    });
                    env.hosts.push(started);
                }
            }
        }
        env.write_host_list(&list).await;
        for host in &env.hosts {
            wait_until_ready(host.admin).await;
        }
        env
    }

    /// Applies the current `fleet` as the configuration.
    pub async fn apply(&self, why: &str) -> Generation {
        let note = ChangeNote { who: "test", why, at: SystemClock::new().now() };
        let yaml = self.fleet.to_yaml();
        let applied = ctl::apply(&self.api(), &yaml, None, &note).await;
        applied.expect("the configuration is accepted").generation
    }

    /// Writes the list of hosts to the platform; the hosts learn of each other from it.
    async fn write_host_list(&self, list: &HostList) {
        let kind = gossip::Kind::Hosts.name();
        let body = serde_json::to_string(list).expect("JSON");
        self.api().put(kind, kind, Version(0), &body).await.expect("the list is written");
    }

    /// A client of the platform.
    pub fn api(&self) -> HttpApi {
        let config = HttpConfig { silence_ms: Ms::secs(2), watch_ms: Ms::secs(2) };
        HttpApi::new(self.platform.addr, config)
    }

    /// Sends a request to a host. `headers` are added to the workspace header.
    pub async fn ask(
        &self,
        host_index: usize,
        pipeline: &str,
        input: &str,
        headers: &[(&str, &str)],
    ) -> Result<Response<Bytes>, LinkError> {
        let addr = self.hosts[host_index].process.addr;
        ask(addr, pipeline, self.fleet.workspaces[0].name.as_str(), input, headers).await
    }

    /// Sets the faults of a fake process.
    pub async fn set_faults(&self, addr: SocketAddr, json: &str) {
        let request = Request::builder().method(Method::POST).uri("/faults").header("host", "x");
        let request = request.body(Bytes::copy_from_slice(json.as_bytes())).expect("a request");
        let response = call(addr, request).await.expect("the fake answers");
        assert!(response.status().is_success(), "{}", text(&response));
    }

    /// Reads a target's statistics.
    pub async fn target_stats(&self, name: &str) -> fakes::TargetStats {
        let response = get(self.targets[name].addr, "/v1/stats").await.expect("the target answers");
        serde_json::from_slice(response.body()).expect("statistics")
    }
}

/// Sends a request to an entry host and reads the whole response.
pub async fn ask(
    addr: SocketAddr,
    pipeline: &str,
    workspace: &str,
    input: &str,
    headers: &[(&str, &str)],
) -> Result<Response<Bytes>, LinkError> {
    let ask = Ask { input: input.to_owned(), ..Ask::default() };
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("/v1/pipelines/{pipeline}"))
        .header("host", "siskinwheel")
        .header("x-workspace", workspace);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Bytes::from(serde_json::to_vec(&ask).expect("JSON"));
    call(addr, request.body(body).expect("a request")).await
}

/// Sends a GET request and reads the whole response.
pub async fn get(addr: SocketAddr, path: &str) -> Result<Response<Bytes>, LinkError> {
    let request = Request::builder().uri(path).header("host", "x");
    call(addr, request.body(Bytes::new()).expect("a request")).await
}

/// The body of a response as text.
pub fn text(response: &Response<Bytes>) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}

/// A fresh idempotency key.
pub fn key() -> String {
    Key::fresh().to_string()
}

/// Starts a host with these settings on free ports, and waits until it has started.
pub fn start_host(settings: &str) -> HostProcess {
    let free_port = "127.0.0.1:0";
    let yaml = format!("{settings}\nlisten: {free_port}\nadmin: {free_port}\npeer: {free_port}\n");
    let path = std::env::temp_dir().join(format!("siskinwheel-{}.yaml", Key::fresh()));
    std::fs::write(&path, yaml).expect("the settings can be written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_siskinwheeld"))
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the host starts");
    let lines = read_lines(child.stderr.take().expect("stderr is piped"));
    let started = wait_line(&lines, |line| line.contains("\"event\":100"));
    let log: serde_json::Value = serde_json::from_str(&started).expect("a line of JSON");
    let addr = |field: &str| {
        let value = log["fields"][field].as_str().expect("an address");
        value.parse().expect("an address")
    };
    let (listen, admin, peer) = (addr("listen"), addr("admin"), addr("peer"));
    HostProcess { process: Process { child, addr: listen }, admin, peer, settings: path }
}

async fn call(addr: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, LinkError> {
    let pool = Pool::new(addr, PoolConfig::default());
    link::call(&pool, request, Ms::secs(30), MAX_ANSWER_BYTES).await
}

async fn wait_until_ready(admin: SocketAddr) {
    let ready = async {
        while !get(admin, "/readyz").await.is_ok_and(|r| r.status().is_success()) {
            tokio::time::sleep(Ms(20).duration()).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT.duration(), ready).await.expect("the host becomes ready");
}

fn start_targets(fleet: &mut Fleet) -> BTreeMap<String, Process> {
    let mut started = BTreeMap::new();
    for pool in &mut fleet.pools {
        for target in &mut pool.targets {
            let slots = target.slots.to_string();
            let models: Vec<_> = target.models.iter().map(ToString::to_string).collect();
            let models = models.join(",");
            let mut args = vec!["target", "--listen", "127.0.0.1:0", "--slots", &slots];
            args.extend(["--name", target.name.as_str()]);
            if pool.kind == PoolKind::Engine {
                args.extend(["--engine", "--models", &models]);
            }
            let process = start_fake(&args);
            target.address = process.addr.to_string();
            started.insert(target.name.to_string(), process);
        }
    }
    started
}

/// Starts a fake. `cargo test --workspace` builds its program into the same directory as the
/// host's.
fn start_fake(args: &[&str]) -> Process {
    let dir = PathBuf::from(env!("CARGO_BIN_EXE_siskinwheeld"));
    let program = dir.with_file_name("siskinwheel-fakes");
    assert!(program.exists(), "run `cargo build -p siskinwheel-fakes` or test the workspace");
    let mut child =
        Command::new(program).args(args).stdout(Stdio::piped()).spawn().expect("it starts");
    let lines = read_lines(child.stdout.take().expect("stdout is piped"));
    let line = wait_line(&lines, |line| line.starts_with("listening "));
    let addr = line.trim_start_matches("listening ").parse().expect("an address");
    Process { child, addr }
}

/// Reads the output lines of a process on a thread, so that its pipe never fills up.
fn read_lines(from: impl Read + Send + 'static) -> mpsc::Receiver<String> {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            // The test may have stopped listening.
            let _ = tx.send(line);
        }
    });
    rx
}

fn wait_line(lines: &mpsc::Receiver<String>, wanted: impl Fn(&str) -> bool) -> String {
    loop {
        let line =
            lines.recv_timeout(START_TIMEOUT.duration()).expect("the process says it is ready");
        if wanted(&line) {
            return line;
        }
    }
}
