//! Which engines have read a prompt's subject: asked before it is sent, told when it was read.

use base::{HostId, Ms};
use logs::note;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinHandle;
use wire::{HostNews, SubjectQuery, SubjectRead};

use crate::core::Core;
use crate::links::Link;
use crate::members::Owner;
use crate::request::Call;

/// Longest wait for the answer once the stages are done, ms: the way there and back between
/// regions, and some. Subjects that are read in less time aren't asked for.
const ANSWER_WAIT: Ms = Ms(60);

/// The answer to come.
pub(crate) enum Readers {
    /// Nobody is asked: the subject is short, or this host keeps the list.
    Known(Vec<String>),
    /// Another host is.
    Asked(JoinHandle<Vec<String>>),
}

impl Readers {
    /// Lives of engines that have read the subject, the newest first; none when the answer takes
    /// too long.
    pub(crate) async fn get(self) -> Vec<String> {
        match self {
            Self::Known(readers) => readers,
            Self::Asked(answer) => {
                let answer = tokio::time::timeout(ANSWER_WAIT.duration(), answer).await;
                answer.ok().and_then(Result::ok).unwrap_or_default()
            }
        }
    }
}

/// Whether reading what the prompt shares takes so long that asking pays.
fn pays(core: &Core, call: &Call) -> bool {
    let time = core.estimate().reading(&call.service, call.head.shared_tokens());
    time > ANSWER_WAIT
}

/// Asks which engines have read the subject of a prompt.
pub(crate) fn ask(core: &Arc<Core>, call: &Call) -> Readers {
    if !pays(core, call) {
        return Readers::Known(Vec::new());
    }
    let (service, subject) = (call.service.as_str(), call.head.subject());
    match core.members.hash_owner(subject) {
        Some(Owner::Peer { host, addr }) => {
            let query = SubjectQuery { service: service.to_owned(), subject };
            Readers::Asked(tokio::spawn(asked(core.clone(), host, addr, query)))
        }
        _ => Readers::Known(core.directory().readers(service, subject)),
    }
}

async fn asked(
    core: Arc<Core>,
    host: HostId,
    addr: SocketAddr,
    query: SubjectQuery,
) -> Vec<String> {
    match core.members.peers().readers(addr, query).await {
        Ok(readers) => readers.targets,
        // The subject is read once more.
        Err(err) => {
            note!(logs::Event::PeerFailed, host = %host, call = "readers", why = %err);
            Vec::new()
        }
    }
}

/// Tells the host that keeps the list that an engine has read the subject of a prompt.
pub(crate) fn tell(core: &Arc<Core>, call: &Call, link: &Link) {
    if !pays(core, call) {
        return;
    }
    let (service, subject) = (call.service.as_str(), call.head.subject());
    let target = link.life();
    match core.members.hash_owner(subject) {
        Some(Owner::Peer { host, addr }) => {
            let (service, target) = (service.to_owned(), target.as_str().to_owned());
            let reads = vec![SubjectRead { service, subject, target }];
            let core = core.clone();
            tokio::spawn(async move {
                let news = HostNews { reads, ..HostNews::default() };
                if let Err(err) = core.members.peers().news(addr, news).await {
                    note!(logs::Event::PeerFailed, host = %host, call = "news", why = %err);
                }
            });
        }
        _ => core.directory().record(service, subject, target.as_str()),
    }
}
