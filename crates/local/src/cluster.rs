//! Stand-ins and hosts in one process.

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

/// Longest wait for all hosts to be ready.
const READY_MS: Ms = Ms::secs(20);
/// Longest answer that is read, bytes.
const ANSWER_BYTES: usize = 8 << 20;
/// Longest silence of a host that is put up with.
const SILENCE_MS: Ms = Ms::secs(60);

/// How a fleet is built.
#[derive(Clone, Debug)]
pub struct Options {
    /// Entry hosts in each failure domain.
    pub hosts: usize,
    /// Time of a call without tokens, ms.
    pub call_ms: u64,
    /// Time of a generated token, ms.
    pub token_ms: u64,
    /// More lines of each host's settings, as YAML.
    pub settings: String,
}

impl Default for Options {
    fn default() -> Self {
        Self { hosts: 2, call_ms: 5, token_ms: 2, settings: String::new() }
    }
}

/// A running fleet.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The targets, by name.
    pub targets: BTreeMap<String, Target>,
    /// The entry hosts, by domain in the configuration's order.
    pub hosts: Vec<Host>,
    /// The configuration with the addresses filled in.
    pub fleet: Fleet,
    options: Options,
    listed: HostList,
}

/// A request to a host.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec<'a> {
    /// Which pipeline.
    pub pipeline: &'a str,
    /// Whose.
    pub workspace: &'a str,
    /// The input.
    pub input: &'a str,
    /// More headers.
    pub headers: &'a [(&'a str, &'a str)],
}

impl RequestSpec<'_> {
    /// The HTTP request.
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
        request.body(body).expect("names and headers of a test can stand in a request")
    }
}

impl Cluster {
    /// Starts everything on free ports, applies `fleet` with the targets' addresses filled in,
    /// and waits until all hosts are ready.
    pub async fn start(mut fleet: Fleet, options: Options) -> Result<Self, LocalError> {
        let platform = Platform::start(local()).await?;
        let targets = start_targets(&mut fleet, &options).await?;
        let listed = HostList::default();
        let hosts = Vec::new();
        let mut cluster = Self { platform, targets, hosts, fleet, options, listed };
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

    /// Starts one more host. Its name is the domain's with `number`.
    pub async fn add_host(
        &mut self,
        domain: &DomainId,
        region: &RegionId,
        number: usize,
    ) -> Result<(), LocalError> {
        let host = HostId::from(format!("{domain}-host-{number}"));
        let any = local();
        let yaml = format!(
            "host: {host}\ndomain: {domain}\nregion: {region}\nlisten: {any}\nadmin: {any}\n\
             peer: {any}\nplatform: {}\n{}",
            self.platform.addr(),
            self.options.settings
        );
        let started = Host::start(Settings::parse(&yaml)?).await?;
        self.listed.hosts.push(HostEntry {
            name: host.to_string(),
            domain: domain.to_string(),
            address: started.peer().to_string(),
            leaving: false,
        });
        self.hosts.push(started);
        self.list_hosts().await
    }

    /// Writes the platform's list of hosts, from which they learn of each other.
    async fn list_hosts(&self) -> Result<(), LocalError> {
        let (api, kind) = (self.api(), gossip::Kind::Hosts.name());
        let before = api.get(kind, kind).await?;
        let expected = Version(before.map_or(0, |o| o.version));
        let body = serde_json::to_string(&self.listed).unwrap_or_default();
        api.put(kind, kind, expected, &body).await?;
        Ok(())
    }

    /// Applies the fleet as it is now.
    pub async fn apply(&self, why: &str) -> Result<ctl::Applied, LocalError> {
        let note = ChangeNote { who: "local", why, at: SystemClock::new().now() };
        Ok(ctl::apply(&self.api(), &self.fleet.to_yaml(), None, &note).await?)
    }

    /// A client of the platform.
    pub fn api(&self) -> HttpApi {
        let config = HttpConfig { silence_ms: Ms::secs(1), watch_ms: Ms::secs(1) };
        HttpApi::new(self.platform.addr(), config)
    }

    /// Sends one request to a host and reads its whole response.
    pub async fn ask(
        &self,
        host: usize,
        asking: &RequestSpec<'_>,
    ) -> Result<Response<Bytes>, LinkError> {
        call(self.hosts[host].listen(), asking.request()).await
    }

    /// Reads a path of a host's admin address.
    pub async fn admin(&self, host: usize, path: &str) -> Result<Response<Bytes>, LinkError> {
        let request = Request::builder().uri(path).header("host", "siskinwheel");
        let request = request.body(Bytes::new()).expect("paths of a test can stand in a request");
        call(self.hosts[host].admin(), request).await
    }

    /// Waits until all hosts take requests.
    pub async fn wait_ready(&self) -> Result<(), LocalError> {
        let all = async {
            while !self.hosts.iter().all(Host::ready) {
                tokio::time::sleep(Ms(10).duration()).await;
            }
        };
        let waited = tokio::time::timeout(READY_MS.duration(), all).await;
        waited.map_err(|_| LocalError::NotReady)
    }

    /// Stops everything, hosts first, and says how each of them stopped.
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
    link::call(&pool, request, SILENCE_MS, ANSWER_BYTES).await
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
                addr: local(),
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

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
