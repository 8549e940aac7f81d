//! Reads and checks a caller's request, and passes it to [`plain`] or [`stream`] by the kind of its
//! route.

use base::{Ms, PoolId, hash_parts};
use bytes::Bytes;
use catalog::{Catalog, Proof, Residency, Route, Workspace};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, header};
use link::{BodyError, read_counted};
use logs::note;
use memory::{Charge, Purpose};
use sched::budget::Spender;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::activity::{Activity, Phase};
use crate::body::ResponseBody;
use crate::core::Core;
use crate::dialect::RequestHead;
use crate::host::App;
use crate::refusal::{Reason, refuse};
use crate::suspects::Suspects;
use crate::{discard, plain, stream};

/// Deadline of a request that names none, where the time-out of its route isn't shorter.
pub(crate) const DEFAULT_DEADLINE: Ms = Ms::secs(60);

/// A request that has been admitted.
pub(crate) struct Call {
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    /// The service whose targets run it.
    pub(crate) service: PoolId,
    /// The configuration that applies to it until it ends, also if a newer one comes into force.
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    /// The regions that it may be in, together with everything that is computed for it.
    pub(crate) residency: Residency,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// The bytes that are held for it.
    pub(crate) charge: Charge,
    pub(crate) arrived: Ms,
    /// When its time is over.
    pub(crate) deadline: Ms,
    /// What of it may end targets.
    pub(crate) suspects: Suspects,
}

impl Call {
    /// Its rank; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u8 {
        self.route.rank(self.workspace.as_deref())
    }

    /// The time left at `now`.
    pub(crate) fn left(&self, now: Ms) -> Ms {
        self.deadline - now
    }

    /// The request to a target: method, path and body of the caller's request, with these headers.
    pub(crate) fn target_request(&self, headers: hyper::HeaderMap) -> Request<Bytes> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Serves a request.
pub(crate) async fn handle(
    app: Arc<App>,
    activity: &Arc<Activity>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let core = app.core.clone();
    let arrived = core.clock.now();
    core.open().fetch_add(1, Ordering::Relaxed);
    let _open = OpenGuard(app.clone());
    let (parts, mut body) = request.into_parts();
    let awaits_permission = parts.headers.contains_key(header::EXPECT);
    let mut response = respond(&app, activity, arrived, parts, &mut body).await;
    discard::finish(activity, body, awaits_permission, core.limits().body_bytes, &mut response);
    if core.stopping() {
        // Makes the caller send its next request to a host that isn't stopping.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// The response to a request. The body may not have been read to its end.
async fn respond(
    app: &Arc<App>,
    activity: &Activity,
    arrived: Ms,
    parts: Parts,
    body: &mut Incoming,
) -> Response<ResponseBody> {
    let core = &app.core;
    let head = match core.dialect.parse_request(&parts) {
        Ok(head) => head,
        Err(err) => return refuse(core, "", Reason::Unreadable(err), Ms::ZERO),
    };
    let id = head.id.clone();
    activity.request_named(&id);
    let waiting = Waiting { core: core.clone(), request: id.clone(), arrived, answered: false };
    let charge = activity.progress().account().charge(Purpose::Request);
    let admitted = admit(app, arrived, head, parts, body, charge).await;
    if admitted.is_ok() {
        activity.request_reached(Phase::Waiting);
    }
    let response = match admitted {
        Ok(call) if call.route.retry_safety.is_stream() => stream::run(app.clone(), call).await,
        Ok(call) => plain::run(core, &call).await,
        Err((reason, left)) => {
            note_refused(core, &id, reason, left);
            refuse(core, &id, reason, left)
        }
    };
    waiting.answered();
    response
}

/// Counts and logs a request that is not admitted. Of those that come in numbers a sample is logged.
fn note_refused(core: &Core, id: &str, reason: Reason, left: Ms) {
    core.metrics.refused(reason.name());
    let stands_for = if reason.is_sampled() { core.sample(false) } else { Some(1) };
    if let Some(stands_for) = stands_for {
        note!(
            logs::Event::RequestRefused,
            request = id,
            reason = reason.name(),
            version = core.catalog().map(|c| c.version),
            proof_age_ms = core.proof_age().map(|age| age.0),
            left_ms = left.0,
            stands_for
        );
    }
}

/// Counts a request as open until the head of its response is ready.
struct OpenGuard(Arc<App>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.core.open().fetch_sub(1, Ordering::Relaxed);
    }
}

/// A caller that waits for the head of its response. If it is dropped before that, the caller has
/// closed its connection. The request is dropped with the connection, and no other log line would
/// say what became of it.
struct Waiting {
    core: Arc<Core>,
    request: Arc<str>,
    arrived: Ms,
    answered: bool,
}

impl Waiting {
    fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        // A panic has a line of its own.
        if self.answered || std::thread::panicking() {
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
    body: &mut Incoming,
    mut charge: Charge,
) -> Result<Call, (Reason, Ms)> {
    let core = &app.core;
    let requested = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let refused = |reason| (reason, requested);
    // Before the configuration is looked at: the read that renews the proof may bring a new one.
    core.renewed_after_pause(Core::keys_usable).await;
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
    let known = core.knows_evacuations() && core.knows_builds() && core.knows_quarantine();
    if !known || !core.holds_newest() {
        return Err(refused(Reason::NoConfig));
    }
    let allowed = workspace.as_ref().map_or(Residency::Anywhere, |w| w.residency.clone());
    let residency = route.residency.intersect(&allowed);
    if residency.is_nowhere() {
        return Err(refused(Reason::Nowhere));
    }
    let time = requested.min(route.timeout);
    if time == Ms::ZERO {
        return Err(refused(Reason::NoTime));
    }
    if core.has_poison_part(&head) {
        return Err(refused(Reason::PoisonPart));
    }
    let deadline = arrived + time;
    let body = read_body(body, catalog.limits.body_bytes, time, &mut charge).await;
    let body = body.map_err(refused)?;
    // From now on it doesn't yield: it may be sent.
    charge.account().set_phase(memory::Phase::Serving);
    let name = workspace.as_ref().map_or("", |w| w.name.as_str());
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let suspects = Suspects::new(&head, path, name, &body, route.stages.len());
    core.verdict(&suspects).await;
    if let Some(blocked) = core.poison(&suspects) {
        return Err(refused(blocked.into()));
    }
    // A stream that is taken up goes on at the service that began it.
    let draw = hash_parts(&[head.begun_as().as_bytes()]);
    let service = route.backend(draw).ok_or(refused(Reason::NoTarget))?.clone();
    core.budget(Spender::Requests).request(arrived, &service);
    Ok(Call {
        head,
        route,
        service,
        catalog: catalog.clone(),
        workspace,
        residency,
        parts,
        body,
        charge,
        arrived,
        deadline,
        suspects,
    })
}

async fn read_body(
    body: &mut Incoming,
    limit: usize,
    timeout: Ms,
    charge: &mut Charge,
) -> Result<Bytes, Reason> {
    let read = read_counted(body, limit, charge);
    match tokio::time::timeout(timeout.duration(), read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Reason::TooLarge),
        Ok(Err(BodyError::Full(_))) => Err(Reason::Memory),
        Ok(Err(BodyError::Broken)) => Err(Reason::BodyBroken),
        Err(_) => Err(Reason::NoTime),
    }
}
