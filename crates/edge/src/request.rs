//! A caller's request: read, checked, and handed to what serves its kind.

use base::{Ms, PoolId, hash_parts};
use bytes::Bytes;
use catalog::{Catalog, Proof, Residency, Route, Workspace};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, header};
use logs::note;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::body::ResponseBody;
use crate::core::Core;
use crate::dialect::RequestHead;
use crate::host::App;
use crate::refusal::{Reason, refuse};
use crate::{plain, stream};

/// Time for which a request without a deadline of its own is kept where its route says nothing.
const NO_DEADLINE: Ms = Ms::secs(60);

/// A request that may be served.
pub(crate) struct Call {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    /// The service that runs it.
    pub(crate) service: PoolId,
    /// The configuration that it is served by, to its end.
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// Regions that it may be in, with all that is made for it.
    pub(crate) residency: Residency,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) arrived: Ms,
    /// When it is given up on.
    pub(crate) deadline: Ms,
    /// The same for the same request sent again.
    pub(crate) fingerprint: u64,
}

impl Call {
    /// Its rank; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u8 {
        self.workspace.as_ref().and_then(|w| w.priority).unwrap_or(self.route.priority)
    }

    /// Time left at `now`.
    pub(crate) fn left(&self, now: Ms) -> Ms {
        self.deadline - now
    }

    /// Method, path and body for a target, with its headers.
    pub(crate) fn target_request(&self, headers: hyper::HeaderMap) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Answers a request.
pub(crate) async fn handle(app: Arc<App>, request: Request<Incoming>) -> Response<ResponseBody> {
    let core = app.core.clone();
    let arrived = core.clock.now();
    core.open().fetch_add(1, Ordering::Relaxed);
    let _open = Open(app.clone());
    let (parts, body) = request.into_parts();
    let head = match core.dialect.parse_request(&parts) {
        Ok(head) => head,
        Err(err) => return refuse(&core, "", Reason::Unreadable(err), Ms::ZERO),
    };
    let id = head.id.clone();
    let waits = Waits { core: core.clone(), request: id.clone(), arrived, answered: false };
    let mut response = match admit(&app, arrived, head, parts, body).await {
        Ok(call) if call.route.repeat.is_stream() => stream::run(app.clone(), call).await,
        Ok(call) => plain::run(&core, &call).await,
        Err((reason, left)) => {
            note!(
                logs::Event::RequestRefused,
                request = %id,
                reason = reason.name(),
                version = core.catalog().map(|c| c.version),
                proof_age_ms = core.proof_age().map(|age| age.0),
                left_ms = left.0
            );
            core.metrics.refused(reason.name());
            refuse(&core, &id, reason, left)
        }
    };
    waits.close();
    if core.stopping() {
        // The caller's next request goes to a host that stays.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Counts a request as open until its answer's head is given.
struct Open(Arc<App>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.core.open().fetch_sub(1, Ordering::Relaxed);
    }
}

/// A caller that waits for the head of its answer. Dropped before that, the caller has left: its
/// request is dropped with its connection, and no other line would tell what came of it.
struct Waits {
    core: Arc<Core>,
    request: Arc<str>,
    arrived: Ms,
    answered: bool,
}

impl Waits {
    fn close(mut self) {
        self.answered = true;
    }
}

impl Drop for Waits {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let took = self.core.clock.now() - self.arrived;
        note!(logs::Event::CallerLeft, request = %self.request, took_ms = took.0);
    }
}

async fn admit(
    app: &App,
    arrived: Ms,
    head: RequestHead,
    parts: Parts,
    body: Incoming,
) -> Result<Call, (Reason, Ms)> {
    let core = &app.core;
    let asked = head.deadline.unwrap_or(NO_DEADLINE);
    let refused = |reason| (reason, asked);
    let catalog = core.catalog().ok_or(refused(Reason::NoConfig))?;
    let host = parts.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = catalog.route(host, parts.uri.path()).ok_or(refused(Reason::NoRoute))?.clone();
    let workspace = match (catalog.needs_keys() && !route.public, &head.key) {
        (false, _) => None,
        (true, _) if core.proof() != Proof::Current => return Err(refused(Reason::Unproved)),
        (true, key) => {
            let found = key.as_deref().and_then(|key| catalog.workspace(key));
            Some(found.ok_or(refused(Reason::NoKey))?.clone())
        }
    };
    if app.closed() {
        return Err(refused(Reason::Stopping));
    }
    if !core.knows_evacuations() {
        return Err(refused(Reason::NoConfig));
    }
    let allowed = workspace.as_ref().map_or(Residency::Anywhere, |w| w.residency.clone());
    let residency = route.residency.and(&allowed);
    if residency.is_nowhere() {
        return Err(refused(Reason::Nowhere));
    }
    let time = asked.min(route.timeout);
    if time == Ms::ZERO {
        return Err(refused(Reason::NoTime));
    }
    let deadline = arrived + time;
    let body = read(body, catalog.limits.body_bytes, time).await.map_err(refused)?;
    let name = workspace.as_ref().map_or("", |w| w.name.as_str());
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let fingerprint = hash_parts(&[route.name.as_bytes(), path.as_bytes(), name.as_bytes(), &body]);
    if core.poison().is_poison(core.clock.now(), fingerprint) {
        return Err(refused(Reason::Poison));
    }
    let draw = hash_parts(&[head.id.as_bytes()]);
    let service = route.backend(draw).ok_or(refused(Reason::NoTarget))?.clone();
    core.budget().request(arrived, &service);
    Ok(Call {
        head,
        route,
        service,
        catalog: catalog.clone(),
        workspace,
        residency,
        parts,
        body,
        arrived,
        deadline,
        fingerprint,
    })
}

async fn read(body: Incoming, limit: usize, time: Ms) -> Result<Bytes, Reason> {
    let whole = Limited::new(body, limit).collect();
    match tokio::time::timeout(time.duration(), whole).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) => Err(Reason::BodyBroken),
        Err(_) => Err(Reason::NoTime),
    }
}
