//! Finds out at which software version a stream began that a caller takes up, and tells other hosts
//! of the streams that begin here. See [`sched::origins`].

use base::{BuildId, HostId, Ms};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use logs::note;
use peer::ViewHost;
use sched::origins::{Origin, holders, stream_key};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use wire::{HostNews, OriginAnswer, OriginQuery, StreamOrigin};

use crate::builds;
use crate::core::Core;
use crate::refusal::Reason;
use crate::request::{Call, DEFAULT_DEADLINE};

/// Time for which streams that begin are collected before other hosts are told.
const TELL_WINDOW: Ms = Ms(10);

/// The version at which the stream of a request must go on; none if the request begins one. Refuses
/// a stream whose version can't be known, or has no target left.
pub(crate) async fn find(core: &Arc<Core>, call: &Call) -> Result<Option<BuildId>, Reason> {
    if !call.head.takes_up() {
        return Ok(None);
    }
    let found = begun_at(core, call).await;
    note!(
        logs::Event::OriginFound,
        request = %call.head.id,
        resumes = call.head.resumes.as_deref(),
        build = found.as_ref().map(|(build, _)| build.as_str()),
        proof = found.as_ref().map_or("none", |(_, proof)| proof.name())
    );
    let (build, _) = found.ok_or(Reason::UnknownOrigin)?;
    match core.has_build(&call.service, &build) {
        true => Ok(Some(build)),
        false => Err(Reason::OtherBuild),
    }
}

/// What proves at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// This host has a record.
    Known,
    /// The store lists one version only.
    Only,
    /// Another host has a record, or the store's list.
    Told,
}

impl Proof {
    const fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Only => "only",
            Self::Told => "told",
        }
    }
}

async fn begun_at(core: &Arc<Core>, call: &Call) -> Option<(BuildId, Proof)> {
    let stream = stream(call);
    if let Some(build) = core.origins().get(core.clock.now(), stream) {
        return Some((build.clone(), Proof::Known));
    }
    // That this host knows of one version proves nothing: it may be cut off, and the stream may have
    // begun at a version listed since. A list read after the caller came has all that matter.
    let mixed = core.builds().is_mixed(&call.service);
    let read = mixed || builds::read_since(core, call.arrived).await;
    let only = core.builds().only(&call.service).filter(|_| read).cloned();
    match only {
        Some(build) => Some((build, Proof::Only)),
        None => Some((ask(core, call, stream, !read).await?, Proof::Told)),
    }
}

/// Asks the hosts that hold the stream's record. The first one that knows the version is enough.
async fn ask(core: &Arc<Core>, call: &Call, stream: u64, read_list: bool) -> Option<BuildId> {
    let hosts = core.members.hosts();
    let service = call.service.as_str();
    let query = OriginQuery { stream, service: service.to_owned(), read_list };
    let holders = holders(stream, others(core, &hosts), |h| h.host.as_str());
    let mut answers: FuturesUnordered<_> =
        holders.into_iter().map(|host| ask_one(core, host, query.clone())).collect();
    while let Some(answer) = answers.next().await {
        if !answer.build.is_empty() {
            return Some(BuildId::from(answer.build));
        }
    }
    None
}

async fn ask_one(core: &Core, host: &ViewHost, query: OriginQuery) -> OriginAnswer {
    let answer = core.members.peers().origin(host.address, query).await;
    answer.unwrap_or_else(|err| {
        note!(logs::Event::PeerFailed, host = %host.host, call = "origin", why = %err);
        OriginAnswer::default()
    })
}

/// Answers another host.
pub(crate) async fn answer(core: &Core, query: OriginQuery) -> OriginAnswer {
    let arrived = core.clock.now();
    let known = core.origins().get(arrived, query.stream).cloned();
    let build = match known {
        None if query.read_list && builds::read_since(core, arrived).await => {
            core.builds().only(&query.service.into()).cloned()
        }
        known => known,
    };
    OriginAnswer { build: build.map_or_else(String::new, |b| b.as_str().to_owned()) }
}

/// Records that the caller gets the first event of its stream from a target of this version. The
/// caller may come back until its own deadline, also where the route's timeout is shorter.
pub(crate) fn record(core: &Core, call: &Call, build: &BuildId) {
    let until = call.arrived + call.head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let origin = Origin { stream: stream(call), build: build.clone(), until };
    core.origins().begun(core.clock.now(), origin);
    core.origins_due.notify_one();
}

/// Records what another host has told.
pub(crate) fn told(core: &Core, origin: StreamOrigin) {
    let now = core.clock.now();
    let StreamOrigin { stream, build, left_ms } = origin;
    core.origins().told(now, Origin { stream, build: build.into(), until: now + Ms(left_ms) });
}

/// Tells other hosts of the streams that begin here, while they have to know.
pub(crate) async fn tell(core: Arc<Core>) {
    loop {
        core.origins_due.notified().await;
        tokio::time::sleep(TELL_WINDOW.duration()).await;
        if !core.tells_origins() {
            continue;
        }
        let begun = core.origins().take_untold(core.clock.now());
        // A host that doesn't answer must not delay the next streams' records.
        tokio::spawn(send(core.clone(), begun));
    }
}

async fn send(core: Arc<Core>, begun: Vec<Origin>) {
    let hosts = core.members.hosts();
    let now = core.clock.now();
    let mut by_host: BTreeMap<&HostId, (SocketAddr, Vec<StreamOrigin>)> = BTreeMap::new();
    for Origin { stream, build, until } in begun {
        let origin =
            StreamOrigin { stream, build: build.as_str().to_owned(), left_ms: (until - now).0 };
        for host in holders(stream, others(&core, &hosts), |h| h.host.as_str()) {
            let (_, origins) =
                by_host.entry(&host.host).or_insert_with(|| (host.address, Vec::new()));
            origins.push(origin.clone());
        }
    }
    let calls = by_host.into_iter().map(|(host, (addr, origins))| {
        core.members.notify_one(host, addr, HostNews { origins, ..HostNews::default() })
    });
    futures::future::join_all(calls).await;
}

fn others<'a>(core: &'a Core, hosts: &'a [ViewHost]) -> impl Iterator<Item = &'a ViewHost> {
    hosts.iter().filter(|h| h.host != *core.members.me())
}

/// Identifies the stream that a request begins or takes up.
fn stream(call: &Call) -> u64 {
    let workspace = call.workspace.as_ref().map_or("", |w| w.name.as_str());
    stream_key(workspace, call.head.begun_as())
}
