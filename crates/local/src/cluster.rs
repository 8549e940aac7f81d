//! Starts a fleet in one process: fake platform, fake targets and entry hosts.

use base::{Clock, DomainId, HostId, Ms, RegionId, SystemClock, Version};
use bytes::Bytes;
use conf::{Fleet, PoolKind, Settings};
use ctl::ChangeNote;
use entry::{Host, Stopped};
use fakes::{Platform, Target, TargetConfig};
use hyper::{Method, Request, Response};
use link::{LinkError, Pool, PoolConfig};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use store::{Api, HttpApi, HttpConfig};
use wire::{Ask, HostEntry, HostList};

use crate::LocalError;

/// Time-out for all hosts to become ready.
const READY_TIMEOUT: Ms = Ms::secs(20);
/// Largest response body that is read, bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time-out for a host's response head, and then for its body.
const RESPONSE_TIMEOUT: Ms = Ms::secs(60);

/// Options for [`Cluster::start`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of entry hosts in each failure domain.
    pub hosts: usize,
    /// Simulated time that a target takes for a call, without its tokens, ms.
    pub call_ms: u64,
    /// Simulated time per generated token, ms.
    pub token_ms: u64,
    /// YAML lines that are appended to each host's settings.
    pub settings: String,
}

impl Default for Options {
    fn default() -> Self {
        Self { hosts: 2, call_ms: 5, token_ms: 2, settings: String::new() }
    }
}

/// A running fleet on loopback.
pub struct Cluster {
    /// The fake platform.
    pub platform: Platform,
    /// The fake targets, by name.
    pub targets: BTreeMap<String, Target>,
    /// The entry hosts, in the order of the configuration's failure domains.
    pub hosts: Vec<Host>,
    /// The configuration, with the targets' actual addresses.
    pub fleet: Fleet,
    options: Options,
    host_list: HostList,
}

/// A request to send to a host.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// Name of the pipeline.
    pub pipeline: &'a str,
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Input text.
    pub input: &'a str,
    /// Additional headers, as name and value.
    pub headers: &'a [(&'a str, &'a str)],
}

impl RequestSpec<'_> {
    /// Builds the HTTP request.
    pub fn request(&self) -> Request<Bytes> {
        let ask = Ask { input: self.input.to_owned(), ..Ask::default() };
        let body = Bytes::from(serde_json::to_vec(&ask).unwrap_or_default());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("/v1/pipelines/{}", self.pipeline))
            .header("host", "siskinwheel")
            .header("x-workspace", self.workspace);
        for (name, value) in self.headers {
            request = request.header(*name, *value);
        }
        request.body(body).expect("pipeline name and headers are valid in an HTTP request")
    }
}

impl Cluster {
    /// Starts platform, targets and hosts on free ports, applies `fleet` with the targets' actual
    /// addresses, and waits until all hosts are ready.
    pub async fn start(mut fleet: Fleet, options: Options) -> Result<Self, LocalError> {
        let platform = Platform::start(loopback()).await?;
        let targets = start_targets(&mut fleet, &options).await?;
        let host_list = HostList::default();
        let hosts = Vec::new();
        let mut cluster = Self { platform, targets, hosts, fleet, options, host_list };
        cluster.apply("first configuration").await?;
        for region in cluster.fleet.regions.clone() {
            for domain in &region.domains {
                for i in 1..=cluster.options.hosts {
                    cluster.add_host(&domain.name, &region.name, i).await?;
                }
            }
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts one more host, named `{domain}-host-{number}`.
    pub async fn add_host(
        &mut self,
        domain: &DomainId,
        region: &RegionId,
        number: usize,
    ) -> Result<(), LocalError> {
        let host = HostId::from(format!("{domain}-host-{number}"));
        let any = loopback();
        let yaml = format!(
            "host: {host}\ndomain: {domain}\nregion: {region}\nlisten: {any}\nadmin: {any}\n\
             peer: {any}\nplatform: {}\n{}",
            self.platform.addr(),
            self.options.settings
        );
        let started = Host::start(Settings::parse(&yaml)?).await?;
        self.host_list.hosts.push(HostEntry {
            name: host.to_string(),
            domain: domain.to_string(),
            address: started.peer().to_string(),
            leaving: false,
        });
        self.hosts.push(started);
        self.write_host_list().await
    }

    /// Writes the platform's list of hosts, by which the hosts discover each other.
    async fn write_host_list(&self) -> Result<(), LocalError> {
        let (api, kind) = (self.api(), gossip::Kind::Hosts.name());
        let before = api.get(kind, kind).await?;
        let expected = Version(before.map_or(0, |o| o.version));
        let body = serde_json::to_string(&self.host_list).unwrap_or_default();
        api.put(kind, kind, expected, &body).await?;
        Ok(())
    }

    /// Applies the current [`Cluster::fleet`]; `why` goes into its audit record.
    pub async fn apply(&self, why: &str) -> Result<ctl::Applied, LocalError> {
        let note = ChangeNote { who: "local", why, at: SystemClock::new().now() };
        Ok(ctl::apply(&self.api(), &self.fleet.to_yaml(), None, &note).await?)
    }

    /// A client of the platform's object API.
    pub fn api(&self) -> HttpApi {
        let config = HttpConfig { silence_ms: Ms::secs(1), watch_ms: Ms::secs(1) };
        HttpApi::new(self.platform.addr(), config)
    }

    /// Sends one request to the host at this index and reads the whole response.
    pub async fn ask(
        &self,
        host: usize,
        spec: &RequestSpec<'_>,
    ) -> Result<Response<Bytes>, LinkError> {
        call(self.hosts[host].listen(), spec.request()).await
    }

    /// Sends a GET request for `path` to a host's admin address.
    pub async fn admin(&self, host: usize, path: &str) -> Result<Response<Bytes>, LinkError> {
        let request = Request::builder().uri(path).header("host", "siskinwheel");
        let request = request.body(Bytes::new()).expect("the path is valid in an HTTP request");
        call(self.hosts[host].admin(), request).await
    }

    /// Waits until all hosts accept requests.
    pub async fn wait_ready(&self) -> Result<(), LocalError> {
        let all = async {
            while !self.hosts.iter().all(Host::ready) {
                tokio::time::sleep(Ms(10).duration()).await;
            }
        };
        let waited = tokio::time::timeout(READY_TIMEOUT.duration(), all).await;
        waited.map_err(|_| LocalError::NotReady)
    }

    /// Stops hosts, targets and platform, in this order, and returns how each host stopped.
    pub async fn close(self) -> Vec<Stopped> {
        let mut stopped = Vec::new();
        for host in self.hosts {
            stopped.push(host.close().await);
        }
        for target in self.targets.into_values() {
            target.close().await;
        }
        self.platform.close().await;
        stopped
    }
}

async fn call(addr: SocketAddr, request: Request<Bytes>) -> Result<Response<Bytes>, LinkError> {
    let pool = Pool::new(addr, PoolConfig::default());
    link::call(&pool, request, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await
}

async fn start_targets(
    fleet: &mut Fleet,
    options: &Options,
) -> Result<BTreeMap<String, Target>, LocalError> {
    let mut targets = BTreeMap::new();
    for pool in &mut fleet.pools {
        for target in &mut pool.targets {
            let config = TargetConfig {
                name: target.name.to_string(),
                addr: loopback(),
                engine: pool.kind == PoolKind::Engine,
                slots: target.slots as usize,
                call_ms: options.call_ms,
                token_ms: options.token_ms,
                models: target.models.iter().map(ToString::to_string).collect(),
                checks_fence: pool.checks_fence,
            };
            let started = Target::start(config).await?;
            target.address = started.addr().to_string();
            targets.insert(target.name.to_string(), started);
        }
    }
    Ok(targets)
}

/// Loopback address with port 0, so that the system assigns a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
