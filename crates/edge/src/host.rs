//! One edge host: started, stopped, and what its parts share.

use base::{Clock, Ms};
use gossip::Node;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use link::{Body, Bounds, Handler, Stop, full};
use logs::note;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::composer::{Composer, StageService};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::members::{self, Members};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::{accept, evacuate, follow, notify, reload, source};

/// Time for which a stopping host goes on taking requests, ms: the platform asks every second, and
/// sends nobody any more after two answers that the host isn't ready.
const LEAVE: Ms = Ms(2_600);
/// Time after which a stopping host gives up requests that no engine has yet, ms. Their callers can
/// still be served elsewhere; a stream that begins now needs some seconds to end.
const GIVE_UP: Ms = Ms(4_500);
/// Time kept back from the platform's grace, ms, to close what is left and exit.
const GRACE_REST: Ms = Ms(400);
/// Time between counts of the live hosts, ms.
const COUNT: Ms = Ms::secs(1);

/// Why a host can't start.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address can't be listened on.
    #[error("can't listen on {addr}: {source}")]
    Listen {
        /// Which.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    #[error("can't set the metrics up: {0}")]
    Metrics(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// How a host stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were still open when its time ran out.
    pub cut: u64,
}

/// What all requests share.
pub(crate) struct App {
    pub(crate) core: Arc<Core>,
    pub(crate) composer: Arc<Composer>,
    closed: AtomicBool,
    /// True when requests that no engine has are given up.
    giving_up: watch::Sender<bool>,
}

impl App {
    /// Ends when requests that no engine has are given up.
    pub(crate) async fn giving_up(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.giving_up.subscribe().wait_for(|now| *now).await;
    }

    /// Whether new requests are refused, since the host is about to go.
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
    side: Vec<Listener>,
    tasks: Vec<JoinHandle<()>>,
}

struct Listener {
    stop: Stop,
    task: JoinHandle<()>,
}

impl Host {
    /// Starts it. Each message of `changed` says that the settings at `path` have changed.
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
        let (members, node, told) =
            Members::start(&settings, clock.clone()).await.map_err(listen)?;
        let (addr, ready, metrics) = (settings.listen, settings.ready, settings.metrics);
        let core = Arc::new(Core::new(settings, dialect, clock, members, Metrics::new()?));
        let composer = Arc::new(Composer::new(core.clone()));
        members::serve(&node, Arc::new(StageService(composer.clone())));
        let app = Arc::new(App {
            core: core.clone(),
            composer: composer.clone(),
            closed: AtomicBool::new(false),
            giving_up: watch::Sender::new(false),
        });
        let tasks = vec![
            tokio::spawn(follow::catalog(core.clone(), directory.clone())),
            tokio::spawn(follow::targets(core.clone(), directory.clone())),
            tokio::spawn(evacuate::follow(core.clone(), directory.clone())),
            tokio::spawn(source::follow(core.clone(), directory)),
            tokio::spawn(reload::follow(core.clone(), path, changed)),
            tokio::spawn(composer.watch_far()),
            tokio::spawn(notify::crashes(core.clone(), told.crashes)),
            tokio::spawn(notify::prompts(core.clone(), told.prompts)),
            tokio::spawn(notify::limits(core.clone(), told.limits)),
            tokio::spawn(count(core.clone())),
        ];
        let mut side = vec![answers(ready, Ready(core.clone())).await?];
        if let Some(addr) = metrics {
            side.push(answers(addr, Text(core.clone())).await?);
        }
        let listener = bind(addr).await?;
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
        Ok(Self { app, node, listen, callers: Listener { stop, task }, side, tasks })
    }

    /// Where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Where other hosts connect.
    pub fn peer(&self) -> SocketAddr {
        self.node.addr()
    }

    /// Live hosts that it knows, itself included.
    pub fn peers(&self) -> usize {
        self.app.core.members.hosts().len()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.app.core.settings().clone()
    }

    /// What it counts, as its metrics address serves it.
    pub fn metrics(&self) -> String {
        String::from_utf8_lossy(&self.app.core.metrics.text()).into_owned()
    }

    /// Whether the platform should send callers here.
    pub fn ready(&self) -> bool {
        self.app.core.ready()
    }

    /// Stops without cutting an answer: not ready first, so that nobody new comes; then nothing
    /// new is taken; then what is open is finished, within the platform's grace.
    pub async fn close(self) -> Stopped {
        let core = &self.app.core;
        let begun = core.clock.now();
        let grace = Ms((core.settings().bounds.grace_s * 1000.0) as u64) - GRACE_REST;
        note!(logs::Event::HostDraining, open = core.open().load(Ordering::Relaxed));
        core.stop();
        self.node.leave();
        let end = begun + grace;
        tokio::time::sleep(LEAVE.min(grace).duration()).await;
        self.app.closed.store(true, Ordering::Relaxed);
        self.callers.stop.stop();
        let app = self.app.clone();
        let give_up = tokio::spawn(async move {
            tokio::time::sleep((GIVE_UP - LEAVE).duration()).await;
            app.giving_up.send_replace(true);
        });
        let rest = end - core.clock.now();
        let finished = tokio::time::timeout(rest.duration(), self.callers.task).await.is_ok();
        give_up.abort();
        let cut = if finished { 0 } else { core.open().load(Ordering::Relaxed) };
        if !finished {
            note!(logs::Event::DrainOverrun, open = cut);
        }
        for task in self.tasks {
            task.abort();
        }
        for listener in self.side {
            listener.stop.stop();
            listener.task.abort();
        }
        self.node.close().await;
        core.metrics.close();
        note!(logs::Event::HostStopped, cut);
        Stopped { cut }
    }
}

/// Keeps the hosts that share the allowance of second sends, and what cold targets stand.
async fn count(core: Arc<Core>) {
    loop {
        tokio::time::sleep(COUNT.duration()).await;
        let hosts = core.members.hosts();
        core.budget().hosts(hosts.len());
        let seen = hosts.iter().map(|h| (&h.host, &h.domain));
        core.gate.roster().see(core.clock.now(), seen);
    }
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(addr).await.map_err(|source| HostError::Listen { addr, source })
}

async fn answers<H: Handler>(addr: SocketAddr, handler: H) -> Result<Listener, HostError> {
    let listener = bind(addr).await?;
    let stop = Stop::new();
    let bounds = Bounds { read_ms: Ms::secs(60), connections: 64, ..Bounds::default() };
    let serve = link::serve(listener, bounds, Arc::new(handler), stop.clone());
    let task = tokio::spawn(async move {
        let _ = serve.await;
    });
    Ok(Listener { stop, task })
}

/// Answers whether the host takes requests.
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

/// Answers with the metrics, on any path.
struct Text(Arc<Core>);

impl Handler for Text {
    async fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        Response::new(full(self.0.metrics.text()))
    }
}
