//! The routes, services and workspaces of one accepted version of the declarations.

use base::{Ms, PoolId, WorkspaceId};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use thiserror::Error;

use crate::Residency;

/// Least urgent priority of a route or workspace. Lower ones count as this one.
const MAX_PRIORITY: u8 = 9;
/// Least urgent rank of a request, see [`Route::rank`].
pub const MAX_RANK: u8 = MAX_PRIORITY * (MAX_PRIORITY + 1) + MAX_PRIORITY;

/// Whether a request may run more than once, by the kind of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    Once,
    /// An event stream that runs at most once.
    StreamOnce,
    /// An event stream that another target may continue after the last complete event.
    StreamResumable,
}

impl RetrySafety {
    /// Whether the response is an event stream.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Whether a request that may already have run can be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service that a route can send requests to, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: PoolId,
    /// Its weight relative to the route's other backends.
    pub weight: u32,
}

/// A step of work that must be complete before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The service that performs it.
    pub service: PoolId,
    /// Indexes of the stages whose results it reads.
    pub after: Vec<usize>,
    /// Approximate size of one result, bytes.
    pub bytes: u64,
}

/// How requests for one host name and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub retry_safety: RetrySafety,
    /// Longest time for which a host keeps a request, ms.
    pub timeout: Ms,
    /// Time within which a response counts as on time, ms.
    pub latency_goal: Ms,
    /// Time after which callers disconnect if nothing has arrived, ms; `None` if they wait until
    /// the end.
    pub client_timeout: Option<Ms>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that run its requests.
    pub backends: Vec<Backend>,
    /// Maximum number of targets that may run one attempt of the caller.
    pub attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<Stage>,
    /// Whether it is served without an API key.
    pub public: bool,
    /// Regions in which its requests may be served, cached and stored.
    pub residency: Residency,
}

impl Route {
    /// The rank of a request of this route; 0 is the most urgent. The workspace's priority counts
    /// first. The route's decides among workspaces of equal priority: otherwise, where all
    /// workspaces have the same priority, requests of all routes would have the same rank.
    pub fn rank(&self, workspace: Option<&Workspace>) -> u8 {
        let route = self.priority.min(MAX_PRIORITY);
        let first = workspace.and_then(|w| w.priority).map_or(route, |p| p.min(MAX_PRIORITY));
        first * (MAX_PRIORITY + 1) + route
    }

    /// The service for a request, chosen by a hash of its identifier: the same request always goes
    /// to the same service, and requests are distributed by weight.
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

    /// Stages whose results no other stage reads. The target that runs the request itself gets
    /// their results.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> + '_ {
        let unread = |i: &usize| !self.stages.iter().any(|s| s.after.contains(i));
        (0..self.stages.len()).filter(unread)
    }
}

/// How targets of a service run stage calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Calls that one target runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call.
    pub size: usize,
    /// Fixed part of a call's duration, ms.
    pub call_ms: f64,
    /// Approximate duration added by each piece, ms.
    pub item_ms: f64,
    /// Capacity for results at one target, bytes.
    pub room: u64,
    /// How long a target keeps a result after its call, ms.
    pub result_ttl: Ms,
}

impl Batch {
    /// Declared duration of a call with this many pieces, ms.
    pub fn time(&self, pieces: usize) -> Ms {
        Ms((self.call_ms + self.item_ms * pieces as f64) as u64)
    }

    /// Declared duration of a call with the maximum number of pieces, ms.
    pub fn full(&self) -> Ms {
        self.time(self.size)
    }
}

/// How targets of a service run generations.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Memory capacity, tokens.
    pub tokens: u64,
    /// Time to copy the memory of a thousand tokens from another engine, ms.
    pub copy_ms: f64,
}

/// How a service's targets behave after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a target stays cold after its start, ms.
    pub time: Ms,
    /// Requests per second that a cold target can handle, from all hosts together.
    pub per_second: f64,
}

/// A service: a set of interchangeable targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: PoolId,
    /// Path of its health check.
    pub health: String,
    /// Connections that one target accepts from all hosts together.
    pub connections: u32,
    /// Set for a service that runs stages.
    pub batch: Option<Batch>,
    /// Set for a service that runs generations.
    pub engine: Option<Engine>,
    /// Set for a service whose targets are cold after a start.
    pub warmup: Option<Warmup>,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's head, bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, bytes.
    pub body_bytes: usize,
    /// Time within which a caller must have sent a request's head, ms.
    pub header_timeout: Ms,
    /// Time for which a connection may stay idle, ms.
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

/// The workspace that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its priority, which goes before the route's; see [`Route::rank`].
    pub priority: Option<u8>,
    /// Regions in which its requests may be served, cached and stored.
    pub residency: Residency,
}

/// Why a set of declarations is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A path prefix doesn't start and end with a slash.
    #[error("route {0}: its path prefix must begin and end with a slash")]
    Prefix(Arc<str>),
    /// A stage reads the results of a stage that isn't declared before it.
    #[error("route {0}: a stage may read only stages that are declared before it")]
    StageOrder(Arc<str>),
    /// A route names no service.
    #[error("route {0}: name at least one service")]
    NoBackend(Arc<str>),
}

/// One accepted version of all declarations.
#[derive(Debug)]
pub struct Catalog {
    /// Version number; only ever increases.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<PoolId, Arc<Service>>,
    keys: Option<HashMap<String, Arc<Workspace>>>,
    top_stage_rank: u8,
}

impl Catalog {
    /// Validates and indexes declarations. `keys` is `None` if no request needs a key.
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
            // Longest first, so that the first prefix that matches is the longest.
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        let mut catalog =
            Self { version, limits, routes: by_host, services, keys, top_stage_rank: MAX_RANK };
        catalog.top_stage_rank = catalog.stage_ranks().min().unwrap_or(MAX_RANK);
        Ok(catalog)
    }

    /// The most urgent rank that a request with stages can have.
    pub fn top_stage_rank(&self) -> u8 {
        self.top_stage_rank
    }

    /// The ranks of requests with stages, of each route without a workspace and with each one.
    fn stage_ranks(&self) -> impl Iterator<Item = u8> {
        let staged = self.routes().filter(|route| !route.stages.is_empty());
        staged.flat_map(|route| {
            let keyless = route.public || self.keys.is_none();
            let workspaces = self.keys.iter().flat_map(HashMap::values);
            let ranks = workspaces.map(|w| route.rank(Some(w)));
            ranks.chain(keyless.then(|| route.rank(None)))
        })
    }

    /// The route of a request: the one with the longest matching path prefix among the routes of
    /// the host name.
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

    /// Services with streams that callers may take up.
    pub fn resumable_services(&self) -> BTreeSet<PoolId> {
        let resumable = |r: &&Arc<Route>| r.retry_safety == RetrySafety::StreamResumable;
        let backends = self.routes().filter(resumable).flat_map(|r| &r.backends);
        backends.map(|b| b.service.clone()).collect()
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

    /// The workspace that a key belongs to.
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
