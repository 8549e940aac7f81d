//! An entry host: its listeners, core, journal and gossip node, started and stopped together.

use base::{Clock, Ms, RequestId, SystemClock};
use conf::Settings;
use gossip::{Announcement, Node, NodeConfig};
use journal::{Journal, Sharded, ShardedConfig};
use link::{Bounds, Handler, ServeSummary, Stop, serve_within};
use logs::note;
use memory::{Budget, Class, Places, budget_bytes};
use policy::{Event, HostContext, State};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig, RateLimited};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::admin::AdminHandler;
use crate::caller::CallerHandler;
use crate::claims::JournalClaims;
use crate::core::{Core, CoreDeps};
use crate::error::HostError;
use crate::http_connector::HttpConnector;
use crate::news;

/// Interval between ticks of the reducer.
const TICK_INTERVAL: Ms = Ms(50);
/// Interval at which draining checks for requests under way.
const DRAIN_POLL: Ms = Ms(10);

/// Most open connections at the admin address.
const MAX_OPERATORS: usize = 256;

/// A running entry host.
pub struct Host {
    listen: SocketAddr,
    admin: SocketAddr,
    core: Arc<Core>,
    journal: Arc<dyn Journal>,
    node: Node,
    caller_listener: Listener,
    admin_listener: Listener,
    tasks: Vec<JoinHandle<()>>,
}

/// How a host stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were aborted because the time to drain ran out; normally zero.
    pub cut: usize,
}

struct Listener {
    stop: Stop,
    task: JoinHandle<ServeSummary>,
}

impl Host {
    /// Starts a host. It accepts requests once a configuration is in force.
    pub async fn start(settings: Settings) -> Result<Self, HostError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let budget = Budget::new(budget_bytes(settings.limits.memory_mb), clock.clone());
        let api = platform_api(&settings);
        let node_config = NodeConfig { settings: settings.clone(), capacity: 0 };
        let (node, gossip_rx) =
            Node::start_within(node_config, api.clone(), clock.clone(), budget.clone())
                .await
                .map_err(|source| HostError::Listen {
                    field: "peer",
                    addr: settings.peer,
                    source,
                })?;
        let journal = journal(&settings, api, clock.clone(), &node);
        let (wakeups, wakeup_rx) = mpsc::unbounded_channel();
        let deps = CoreDeps {
            clock,
            journal: journal.clone(),
            connector: Arc::new(HttpConnector::new(settings.limits.connect_ms)),
            ids: Box::new(RequestId::fresh),
            announcements: node.announcements(),
            wakeups,
        };
        let reducer = Box::new(State::new(host_context(&settings), &[]));
        let core = Core::new(&settings, reducer, deps)?;
        let limits = &settings.limits;
        let bounds = Bounds {
            header_bytes: limits.header_bytes,
            read_ms: limits.read_ms,
            connections: limits.connections,
        };
        let caller_places = budget.places(Class::Callers, limits.connections);
        let admin_places = budget.places(Class::Internal, limits.connections.min(MAX_OPERATORS));
        let callers = CallerHandler { core: core.clone() };
        let (listen, caller_listener) =
            start_listener("listen", settings.listen, bounds, caller_places, callers)?;
        let operators = AdminHandler { core: core.clone(), node: node.reader() };
        let (admin, admin_listener) =
            start_listener("admin", settings.admin, bounds, admin_places, operators)?;
        let tasks = vec![
            tokio::spawn(news::forward(core.clone(), gossip_rx)),
            tokio::spawn(run_ticks(core.clone(), wakeup_rx)),
        ];
        note!(
            logs::Event::HostStarted,
            host = %settings.host,
            listen = %listen,
            admin = %admin,
            peer = %node.addr()
        );
        Ok(Self { listen, admin, core, journal, node, caller_listener, admin_listener, tasks })
    }

    /// The address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The address for the load balancer and operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// The address for other hosts.
    pub fn peer(&self) -> SocketAddr {
        self.node.addr()
    }

    /// Whether a configuration is in force and the host accepts requests.
    pub fn ready(&self) -> bool {
        self.core.ready()
    }

    /// Shuts down without interrupting answers. The host reports that it is not ready, refuses new
    /// requests and finishes those under way, for at most the configured time to drain; then it
    /// closes the journal and the gossip node.
    pub async fn close(self) -> Stopped {
        note!(logs::Event::HostDraining, open = self.core.active_count());
        // Sending fails only if the node has stopped, and then it has told its peers already.
        let _ = self.node.announcements().send(Announcement::Leaving);
        self.core.handle_event(Event::Drain);
        let settings = self.core.settings();
        let drain_end = self.core.now() + settings.drain_ms;
        while self.core.active_count() > 0 && self.core.now() < drain_end {
            tokio::time::sleep(DRAIN_POLL.duration()).await;
        }
        let cut = self.core.active_count();
        if cut > 0 {
            note!(logs::Event::DrainOverrun, open = cut);
        }
        self.caller_listener.stop.stop();
        let remaining = drain_end - self.core.now() + Ms::secs(1);
        // Answers may still be on their way to slow callers.
        let _ = tokio::time::timeout(remaining.duration(), self.caller_listener.task).await;
        self.journal.close().await;
        self.node.close().await;
        self.admin_listener.stop.stop();
        let _ = tokio::time::timeout(Ms::secs(1).duration(), self.admin_listener.task).await;
        for task in self.tasks {
            task.abort();
        }
        self.core.metrics().close();
        note!(logs::Event::HostStopped, cut);
        Stopped { cut }
    }
}

fn platform_api(settings: &Settings) -> Arc<dyn Api> {
    let silence = &settings.silence;
    let config = HttpConfig { silence_ms: silence.platform_ms, watch_ms: silence.watch_ms };
    let api = Arc::new(HttpApi::new(settings.platform, config));
    // Each host has its own seed for back-off: with equal delays all hosts would retry at the same
    // moment.
    Arc::new(RateLimited::new(api, settings.rates.platform_calls, host_context(settings).seed))
}

fn journal(
    settings: &Settings,
    api: Arc<dyn Api>,
    clock: Arc<dyn Clock>,
    node: &Node,
) -> Arc<dyn Journal> {
    let config = ShardedConfig {
        host: settings.host.clone(),
        incarnation: clock.now().0,
        rules: settings.journal.clone(),
    };
    let journal = Arc::new(Sharded::new(config, api, clock, node.peers(), node.view()));
    node.serve_claims(Arc::new(JournalClaims(journal.clone())));
    journal
}

fn host_context(settings: &Settings) -> HostContext {
    HostContext {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        // The seed differs per host: with equal random choices all hosts would choose the same
        // target at the same moment.
        seed: base::hash_parts(&[&settings.seed.to_le_bytes(), settings.host.as_str().as_bytes()]),
    }
}

fn start_listener<H: Handler>(
    field: &'static str,
    addr: SocketAddr,
    bounds: Bounds,
    places: Places,
    handler: H,
) -> Result<(SocketAddr, Listener), HostError> {
    let failed = |source| HostError::Listen { field, addr, source };
    let listener = link::listen(addr).map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    let stop = Stop::new();
    let serve = serve_within(listener, bounds, places, Arc::new(handler), stop.clone());
    let task = tokio::spawn(serve);
    Ok((addr, Listener { stop, task }))
}

/// Ticks the core at a fixed interval, and at the times at which the reducer asked to be woken.
async fn run_ticks(core: Arc<Core>, mut wakeups: mpsc::UnboundedReceiver<Ms>) {
    let mut next_wakeup = Ms::MAX;
    loop {
        let remaining = (next_wakeup - core.now()).min(TICK_INTERVAL);
        tokio::select! {
            at = wakeups.recv() => match at {
                Some(at) => next_wakeup = next_wakeup.min(at),
                None => return,
            },
            () = tokio::time::sleep(remaining.duration()) => {
                if core.now() >= next_wakeup {
                    next_wakeup = Ms::MAX;
                }
                core.tick();
            }
        }
    }
}
