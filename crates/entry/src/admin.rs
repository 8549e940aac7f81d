//! HTTP handler of the admin address: health, readiness, metrics and status, for the load balancer
//! and operators.

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};
use link::{Body, Handler, full, json};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;

use gossip::Reader;
use wire::Member;

use crate::core::Core;

/// Handles requests to the admin address.
pub(crate) struct AdminHandler {
    pub(crate) core: Arc<Core>,
    pub(crate) node: Reader,
}

/// Response to `/members`: the hosts that this one knows of, with the configuration generation in
/// force on each.
#[derive(Serialize)]
struct Members {
    members: Vec<Member>,
}

/// Response to `/status`.
#[derive(Serialize)]
struct Status {
    host: String,
    domain: String,
    ready: bool,
    generation: u64,
    open: usize,
    /// Poison marks so far: requests that this host or others stopped because they crash targets.
    poison: usize,
}

impl Handler for AdminHandler {
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => Response::new(full("ok\n")),
            "/readyz" if self.core.ready() => Response::new(full("ready\n")),
            "/readyz" => status(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => {
                let mut response = Response::new(full(self.core.metrics().text()));
                let kind = HeaderValue::from_static("text/plain; version=0.0.4");
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
                response
            }
            "/members" => json(StatusCode::OK, &Members { members: self.node.members() }),
            "/fleet" => json(StatusCode::OK, &self.node.fleet().unwrap_or_default()),
            "/status" => json(StatusCode::OK, &self.status()),
            _ => status(
                StatusCode::NOT_FOUND,
                "healthz, readyz, metrics, status, members or fleet\n",
            ),
        }
    }
}

impl AdminHandler {
    fn status(&self) -> Status {
        let settings = self.core.settings();
        Status {
            host: settings.host.to_string(),
            domain: settings.domain.to_string(),
            ready: self.core.ready(),
            generation: self.core.plan().map_or(0, |p| p.generation.0),
            open: self.core.active_count(),
            poison: self.core.poison_marks(),
        }
    }
}

fn status(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
}
