//! Starts and stops one edge host, and holds the state that its parts share.

use base::{Clock, Ms, PauseMeter};
use gossip::Node;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use link::{Body, Bounds, Handler, Stop, full};
use logs::note;
use memory::Class;
use sched::budget::Spender;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::callers::Callers;
use crate::composer::{Composer, StageService};
use crate::core::{Core, Parts};
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::members::{self, Members};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::{
    accept, builds, connections, diagnose, end_store, ended, evacuate, expiry, follow, newest,
    notify, origin, origin_store, pause, quarantine, reload, source,
};

/// Time for which a stopping host still accepts requests. The platform checks readiness every
/// second, and sends no more callers after two responses that the host isn't ready.
const ACCEPT_TIME: Ms = Ms(2_600);
/// Time after the start of the stop at which requests that no engine has yet are refused. Their
/// callers can still be served by another host; a stream that began at this point would need some
/// seconds to end.
const REFUSE_UNSENT_AFTER: Ms = Ms(4_500);
/// Time kept back from the platform's grace period to close what is left open and to exit.
const EXIT_MARGIN: Ms = Ms(400);
/// Interval between counts of the live hosts.
const COUNT_INTERVAL: Ms = Ms::secs(1);

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum HostError {
    /// The host can't listen on an address.
    #[error("can't listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[error("can't set up the metrics: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// How a host stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Number of requests that were still open when the grace period ended.
    pub cut: u64,
}

/// State shared by all requests.
pub(crate) struct App {
    pub(crate) core: Arc<Core>,
    pub(crate) composer: Arc<Composer>,
    closed: AtomicBool,
    /// True once requests that no engine has are refused.
    refuses_unsent: watch::Sender<bool>,
}

impl App {
    /// Completes when requests that no engine has are to be refused.
    pub(crate) async fn refuses_unsent(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.refuses_unsent.subscribe().wait_for(|refuses| *refuses).await;
    }

    /// Whether new requests are refused because the host is stopping.
    pub(crate) fn closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// A running edge host.
pub struct Host {
    app: Arc<App>,
    node: Node,
    listen: SocketAddr,
    callers: Listener,
    /// Listeners for readiness and metrics.
    aux: Vec<Listener>,
    tasks: Vec<JoinHandle<()>>,
}

struct Listener {
    stop: Stop,
    task: JoinHandle<()>,
}

impl Host {
    /// Starts the host. Each message on `changed` says that the settings at `path` have changed.
    pub async fn start(
        settings: Settings,
        path: PathBuf,
        changed: mpsc::Receiver<()>,
        dialect: Arc<dyn Dialect>,
        directory: Arc<dyn Directory>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, HostError> {
        let peer = settings.peer;
        let listen = |source| HostError::Listen { addr: peer, source };
        let pauses = Arc::new(PauseMeter::new(clock.clone()));
        let callers = Callers::new(&settings, clock.clone());
        let (members, node, outbox) =
            Members::start(&settings, clock.clone(), pauses.clone(), callers.budget().clone())
                .await
                .map_err(listen)?;
        let (addr, ready, metrics) = (settings.listen, settings.ready, settings.metrics);
        let parts = Parts {
            dialect,
            directory: directory.clone(),
            clock,
            members,
            pauses,
            metrics: Metrics::new()?,
            callers,
        };
        let core = Arc::new(Core::new(settings, parts));
        let composer = Arc::new(Composer::new(core.clone()));
        members::serve(&node, Arc::new(StageService(composer.clone())));
        let app = Arc::new(App {
            core: core.clone(),
            composer: composer.clone(),
            closed: AtomicBool::new(false),
            refuses_unsent: watch::Sender::new(false),
        });
        let tasks = vec![
            tokio::spawn(follow::catalog(core.clone(), directory.clone())),
            tokio::spawn(follow::targets(core.clone(), directory.clone())),
            tokio::spawn(evacuate::follow(core.clone(), directory.clone())),
            tokio::spawn(builds::follow(core.clone())),
            tokio::spawn(quarantine::follow(core.clone())),
            tokio::spawn(ended::follow(core.clone())),
            tokio::spawn(diagnose::ends(core.clone(), outbox.ends)),
            tokio::spawn(diagnose::follow(core.clone())),
            tokio::spawn(end_store::follow(core.clone())),
            tokio::spawn(origin::tell(core.clone())),
            tokio::spawn(origin_store::follow(core.clone())),
            tokio::spawn(expiry::follow(core.clone())),
            tokio::spawn(newest::find(core.clone(), directory.clone())),
            tokio::spawn(source::follow(core.clone(), directory)),
            tokio::spawn(reload::follow(core.clone(), path, changed)),
            tokio::spawn(composer.poll_region_loads()),
            tokio::spawn(notify::prompts(core.clone(), outbox.prompts)),
            tokio::spawn(notify::limits(core.clone(), outbox.limits)),
            tokio::spawn(count_hosts(core.clone())),
            tokio::spawn(pause::follow(core.clone())),
        ];
        let mut aux = vec![listen_aux(&core, ready, Ready(core.clone()))?];
        if let Some(addr) = metrics {
            aux.push(listen_aux(&core, addr, MetricsText(core.clone()))?);
        }
        let listener = bind(addr)?;
        let listen = listener.local_addr().unwrap_or(addr);
        let stop = Stop::new();
        let task = tokio::spawn(accept::serve(listener, app.clone(), stop.clone()));
        note!(
            logs::Event::HostStarted,
            host = %core.settings().host,
            listen = %listen,
            ready = %ready,
            peer = %node.addr()
        );
        Ok(Self { app, node, listen, callers: Listener { stop, task }, aux, tasks })
    }

    /// The address that callers connect to.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The address that other hosts connect to.
    pub fn peer(&self) -> SocketAddr {
        self.node.addr()
    }

    /// Number of live hosts that this host knows, itself included.
    pub fn peers(&self) -> usize {
        self.app.core.members.hosts().len()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.app.core.settings().clone()
    }

    /// The metrics, as the metrics address serves them.
    pub fn metrics(&self) -> String {
        String::from_utf8_lossy(&self.app.core.metrics.text()).into_owned()
    }

    /// Whether the platform should send callers here.
    pub fn ready(&self) -> bool {
        self.app.core.ready()
    }

    /// Stops without truncating a response. First the host reports that it isn't ready, so that no
    /// new callers are sent to it. Then it accepts no new requests. Then it finishes the open
    /// requests, and the stages that it composes for other hosts, within the platform's grace period.
    pub async fn close(self) -> Stopped {
        let core = &self.app.core;
        let started = core.clock.now();
        let grace = Ms((core.settings().bounds.grace_s * 1000.0) as u64) - EXIT_MARGIN;
        note!(logs::Event::HostDraining, open = core.open().load(Ordering::Relaxed));
        core.stop();
        self.node.leave();
        let end = started + grace;
        tokio::time::sleep(ACCEPT_TIME.min(grace).duration()).await;
        self.app.closed.store(true, Ordering::Relaxed);
        self.callers.stop.stop();
        let app = self.app.clone();
        let refuse_unsent = tokio::spawn(async move {
            tokio::time::sleep((REFUSE_UNSENT_AFTER - ACCEPT_TIME).duration()).await;
            app.refuses_unsent.send_replace(true);
        });
        let remaining = end - core.clock.now();
        let finished = tokio::time::timeout(remaining.duration(), self.callers.task).await.is_ok();
        refuse_unsent.abort();
        // Otherwise they would break off, and their hosts would have them run again.
        let guests = self.app.composer.guests_done();
        let remaining = end - core.clock.now();
        if tokio::time::timeout(remaining.duration(), guests).await.is_err() {
            note!(logs::Event::StagesCut, open = self.app.composer.guests());
        }
        let cut = if finished { 0 } else { core.open().load(Ordering::Relaxed) };
        if !finished {
            note!(logs::Event::DrainOverrun, open = cut);
        }
        for task in self.tasks {
            task.abort();
        }
        for listener in self.aux {
            listener.stop.stop();
            listener.task.abort();
        }
        self.node.close().await;
        core.metrics.close();
        note!(logs::Event::HostStopped, cut);
        Stopped { cut }
    }
}

/// Keeps the number of hosts that share the retry budget, and the roster of hosts that share the
/// limits of cold targets, current.
async fn count_hosts(core: Arc<Core>) {
    loop {
        tokio::time::sleep(COUNT_INTERVAL.duration()).await;
        let hosts = core.members.hosts();
        core.budgets().for_each(|mut b| b.hosts(hosts.len()));
        core.metrics.retry_hosts(core.budget(Spender::Requests).shares());
        let seen = hosts.iter().map(|h| (&h.host, &h.domain));
        core.gate.roster().see(core.clock.now(), seen);
        connections::settle(&core);
        core.origins().evict(core.clock.now());
        core.builds().expire(core.clock.now());
        core.metrics.known_streams(core.origins().len());
        core.metrics.caller_bytes(core.callers.budget().used());
    }
}

fn bind(addr: SocketAddr) -> Result<TcpListener, HostError> {
    link::listen(addr).map_err(|source| HostError::Listen { addr, source })
}

fn listen_aux<H: Handler>(
    core: &Core,
    addr: SocketAddr,
    handler: H,
) -> Result<Listener, HostError> {
    let listener = bind(addr)?;
    let stop = Stop::new();
    let bounds = Bounds { read_ms: Ms::secs(60), connections: 64, ..Bounds::default() };
    let places = core.callers.budget().places(Class::Internal, bounds.connections);
    let serve = link::serve_within(listener, bounds, places, Arc::new(handler), stop.clone());
    let task = tokio::spawn(async move {
        let _ = serve.await;
    });
    Ok(Listener { stop, task })
}

/// Responds whether the host is ready for requests.
struct Ready(Arc<Core>);

impl Handler for Ready {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let known = request.uri().path() == self.0.dialect.ready_path();
        let status = match known {
            false => StatusCode::NOT_FOUND,
            true if self.0.ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(full(""));
        *response.status_mut() = status;
        response
    }
}

/// Responds with the metrics, on any path.
struct MetricsText(Arc<Core>);

impl Handler for MetricsText {
    async fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        Response::new(full(self.0.metrics.text()))
    }
}
