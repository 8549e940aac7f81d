//! One accepted version of the routes, services and workspaces.

use base::{Ms, PoolId, WorkspaceId};
use std::collections::HashMap;
use std::sync::Arc;
use thiserror::Error;

use crate::Residency;

/// What may be done again with a request, by the kind of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    Once,
    /// An event stream that runs at most once.
    StreamOnce,
    /// An event stream that another target may take up after its last whole event.
    StreamResumable,
}

impl RetrySafety {
    /// Whether the answer is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Whether a request that may have run can be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service that a route may send to, and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Which service.
    pub service: PoolId,
    /// Its share relative to the route's other backends.
    pub weight: u32,
}

/// Work that must be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The service that does it.
    pub service: PoolId,
    /// Indexes of the stages whose results it reads.
    pub after: Vec<usize>,
    /// Approximate size of one result, bytes.
    pub bytes: u64,
}

/// Requests with one host name and path prefix, and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time that a request is kept, ms.
    pub timeout: Ms,
    /// Time within which an answer is on time, ms.
    pub latency_goal: Ms,
    /// Time after which callers leave when nothing has come, ms; none when they wait to the end.
    pub client_timeout: Option<Ms>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that run it.
    pub backends: Vec<Backend>,
    /// Targets that may run one attempt of the caller.
    pub attempts: u32,
    /// Work that comes first.
    pub stages: Vec<Stage>,
    /// Whether it is served without a key.
    pub public: bool,
    /// Regions that its requests may be in.
    pub residency: Residency,
}

impl Route {
    /// The service for a request, by a hash of its identifier: the same request always goes to
    /// the same one, and requests spread by the weights.
    pub fn backend(&self, hash: u64) -> Option<&PoolId> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|b| &b.service);
        }
        let mut draw = hash % total;
        for backend in &self.backends {
            match draw.checked_sub(u64::from(backend.weight)) {
                Some(rest) => draw = rest,
                None => return Some(&backend.service),
            }
        }
        None
    }

    /// Stages that no other stage reads: the target of the request itself gets their results.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        let read = |i: &usize| !self.stages.iter().any(|s| s.after.contains(i));
        (0..self.stages.len()).filter(read)
    }
}

/// How targets of a service run stage calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Calls that one target works on at once.
    pub slots: u32,
    /// Pieces in one call at most.
    pub size: usize,
    /// Fixed time of a call, ms.
    pub call_ms: f64,
    /// Approximate time of each piece, ms.
    pub item_ms: f64,
    /// Room for results at one target, bytes.
    pub room: u64,
    /// How long a result lives after its call, ms.
    pub result_ttl: Ms,
}

impl Batch {
    /// Declared time of a call with so many pieces, ms.
    pub fn time(&self, pieces: usize) -> Ms {
        Ms((self.call_ms + self.item_ms * pieces as f64) as u64)
    }

    /// The same of a full call.
    pub fn full(&self) -> Ms {
        self.time(self.size)
    }
}

/// How targets of a service run generations.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, tokens.
    pub tokens: u64,
    /// Time to copy a thousand tokens of memory from another engine, ms.
    pub copy_ms: f64,
}

/// How a service's targets behave after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a target stays cold, ms.
    pub time: Ms,
    /// Requests a second that a cold target stands, from all hosts together.
    pub per_second: f64,
}

/// A service: a set of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: PoolId,
    /// Path of its health check.
    pub health: String,
    /// Connections that one target takes from all hosts together.
    pub connections: u32,
    /// For a service that runs stages.
    pub batch: Option<Batch>,
    /// For a service that runs generations.
    pub engine: Option<Engine>,
    /// For a service whose targets are cold after a start.
    pub warmup: Option<Warmup>,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time to send a head, ms.
    pub header_timeout: Ms,
    /// Time that a connection may stay idle, ms.
    pub idle_timeout: Ms,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Ms(3_000),
            idle_timeout: Ms(15_000),
        }
    }
}

/// Who a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// Regions that its requests may be in.
    pub residency: Residency,
}

/// Why a set of declarations can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A path prefix doesn't begin and end with a slash.
    #[error("route {0}: its path prefix must begin and end with a slash")]
    Prefix(Arc<str>),
    /// A stage reads a stage that doesn't come before it.
    #[error("route {0}: a stage may read only stages that are declared before it")]
    StageOrder(Arc<str>),
    /// A route names no service.
    #[error("route {0}: name at least one service")]
    NoBackend(Arc<str>),
}

/// One accepted version of all declarations.
#[derive(Debug)]
pub struct Catalog {
    /// Only ever rises.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<PoolId, Arc<Service>>,
    keys: Option<HashMap<String, Arc<Workspace>>>,
}

impl Catalog {
    /// Checks and indexes. `keys` is `None` where nobody needs one.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<String, Arc<Workspace>>>,
    ) -> Result<Self, CatalogError> {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            check(&route)?;
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            // The first that matches is then the longest.
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Ok(Self { version, limits, routes: by_host, services, keys })
    }

    /// The route of a request: the longest prefix of the path among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// A service by name.
    pub fn service(&self, name: &PoolId) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether requests need a key unless their route is public.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Whose key it is.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.as_ref()?.get(key)
    }
}

fn check(route: &Route) -> Result<(), CatalogError> {
    let slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    let ordered = route.stages.iter().enumerate().all(|(i, s)| s.after.iter().all(|a| *a < i));
    match () {
        () if !slashes => Err(CatalogError::Prefix(route.name.clone())),
        () if !ordered => Err(CatalogError::StageOrder(route.name.clone())),
        () if route.backends.is_empty() => Err(CatalogError::NoBackend(route.name.clone())),
        () => Ok(()),
    }
}
