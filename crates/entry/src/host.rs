//! One entry host: its listeners, its core and its node, started and stopped together.

use base::{Clock, Ms, RequestId, SystemClock};
use conf::Settings;
use gossip::{Announcement, Node, NodeConfig};
use journal::{Journal, Sharded, ShardedConfig};
use link::{Bounds, Handler, ServeSummary, Stop, serve};
use logs::note;
use policy::{Event, HostContext, State};
use std::net::SocketAddr;
use std::sync::Arc;
use store::{Api, HttpApi, HttpConfig, RateLimited};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::admin::Admin;
use crate::caller::Callers;
use crate::claims::JournalClaims;
use crate::core::{Core, Outlets};
use crate::error::HostError;
use crate::news;
use crate::targets::Targets;

/// Time between ticks of the reducer.
const TICK: Ms = Ms(50);
/// Time between looks at what is still open while draining.
const DRAIN_LOOK: Ms = Ms(10);

/// A running entry host.
pub struct Host {
    listen: SocketAddr,
    admin: SocketAddr,
    core: Arc<Core>,
    journal: Arc<dyn Journal>,
    node: Node,
    callers: Listener,
    admins: Listener,
    tasks: Vec<JoinHandle<()>>,
}

/// How a host stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were given up on because the time to drain ran out; zero as a rule.
    pub cut: usize,
}

struct Listener {
    stop: Stop,
    task: JoinHandle<ServeSummary>,
}

impl Host {
    /// Starts a host. It takes callers once a configuration is in force.
    pub async fn start(settings: Settings) -> Result<Self, HostError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let api = platform(&settings);
        let node_config = NodeConfig { settings: settings.clone(), capacity: 0 };
        let (node, news_rx) = Node::start(node_config, api.clone(), clock.clone())
            .await
            .map_err(|source| HostError::Listen { field: "peer", addr: settings.peer, source })?;
        let journal = journal(&settings, api, clock.clone(), &node);
        let (wakes, wake_rx) = mpsc::unbounded_channel();
        let outlets = Outlets {
            clock,
            journal: journal.clone(),
            dial: Arc::new(Targets::new(settings.limits.connect_ms)),
            ids: Box::new(RequestId::fresh),
            tells: node.announcements(),
            wakes,
        };
        let reducer = Box::new(State::new(placed(&settings), &[]));
        let core = Core::new(&settings, reducer, outlets)?;
        let limits = &settings.limits;
        let bounds = Bounds {
            header_bytes: limits.header_bytes,
            read_ms: limits.read_ms,
            connections: limits.connections,
        };
        let (listen, callers) =
            listener("listen", settings.listen, bounds, Callers { core: core.clone() }).await?;
        let (admin, admins) = listener(
            "admin",
            settings.admin,
            bounds,
            Admin { core: core.clone(), node: node.reader() },
        )
        .await?;
        let tasks = vec![
            tokio::spawn(news::feed(core.clone(), news_rx)),
            tokio::spawn(tick(core.clone(), wake_rx)),
        ];
        note!(
            logs::Event::HostStarted,
            host = %settings.host,
            listen = %listen,
            admin = %admin,
            peer = %node.addr()
        );
        Ok(Self { listen, admin, core, journal, node, callers, admins, tasks })
    }

    /// Where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Where the balancer and operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Where other hosts connect.
    pub fn peer(&self) -> SocketAddr {
        self.node.addr()
    }

    /// Whether a configuration is in force and the host takes requests.
    pub fn ready(&self) -> bool {
        self.core.ready()
    }

    /// Stops without cutting an answer: not ready, nothing new, what is open is finished, then
    /// the journal and the node are closed.
    pub async fn close(self) -> Stopped {
        note!(logs::Event::HostDraining, open = self.core.open());
        // A node that has stopped has told its peers already.
        let _ = self.node.announcements().send(Announcement::Leaving);
        self.core.feed(Event::Drain);
        let settings = self.core.settings();
        let end = self.core.now() + settings.drain_ms;
        while self.core.open() > 0 && self.core.now() < end {
            tokio::time::sleep(DRAIN_LOOK.duration()).await;
        }
        let cut = self.core.open();
        if cut > 0 {
            note!(logs::Event::DrainOverrun, open = cut);
        }
        self.callers.stop.stop();
        let rest = end - self.core.now() + Ms::secs(1);
        // An answer may still be on its way out to a slow caller.
        let _ = tokio::time::timeout(rest.duration(), self.callers.task).await;
        self.journal.close().await;
        self.node.close().await;
        self.admins.stop.stop();
        let _ = tokio::time::timeout(Ms::secs(1).duration(), self.admins.task).await;
        for task in self.tasks {
            task.abort();
        }
        self.core.metrics().close();
        note!(logs::Event::HostStopped, cut);
        Stopped { cut }
    }
}

fn platform(settings: &Settings) -> Arc<dyn Api> {
    let silence = &settings.silence;
    let config = HttpConfig { silence_ms: silence.platform_ms, watch_ms: silence.watch_ms };
    let api = Arc::new(HttpApi::new(settings.platform, config));
    // Hosts that back off alike would come back all at once.
    Arc::new(RateLimited::new(api, settings.rates.platform_calls, placed(settings).seed))
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

fn placed(settings: &Settings) -> HostContext {
    HostContext {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        // Hosts with the same draws would all choose the same target at the same moment.
        seed: base::hash_parts(&[&settings.seed.to_le_bytes(), settings.host.as_str().as_bytes()]),
    }
}

async fn listener<H: Handler>(
    field: &'static str,
    addr: SocketAddr,
    bounds: Bounds,
    handler: H,
) -> Result<(SocketAddr, Listener), HostError> {
    let failed = |source| HostError::Listen { field, addr, source };
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let addr = listener.local_addr().map_err(failed)?;
    let stop = Stop::new();
    let task = tokio::spawn(serve(listener, bounds, Arc::new(handler), stop.clone()));
    Ok((addr, Listener { stop, task }))
}

/// Ticks the reducer regularly, and when it asked to be woken.
async fn tick(core: Arc<Core>, mut wakes: mpsc::UnboundedReceiver<Ms>) {
    let mut wake = Ms::MAX;
    loop {
        let rest = (wake - core.now()).min(TICK);
        tokio::select! {
            at = wakes.recv() => match at {
                Some(at) => wake = wake.min(at),
                None => return,
            },
            () = tokio::time::sleep(rest.duration()) => {
                if core.now() >= wake {
                    wake = Ms::MAX;
                }
                core.tick();
            }
        }
    }
}
