//! Looks up which engines have read a prompt's subject before the prompt is sent, and reports when
//! an engine has read it.
//!
//! The subject is the last part of a prompt that other requests share. One host of the fleet keeps
//! the list of its readers; see [`sched::directory`].

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

/// Longest wait for the answer once the stages are done: a round trip between regions, with some
/// margin. Subjects that engines read in less time aren't looked up.
const ANSWER_WAIT: Ms = Ms(60);

/// The result of a look-up.
pub(crate) enum Readers {
    /// Known at once: the subject is too short to look up, or this host keeps its list.
    Known(Vec<String>),
    /// Still to be answered by another host.
    Pending(JoinHandle<Vec<String>>),
}

impl Readers {
    /// Incarnations of engines that have read the subject, the newest first; none if the answer
    /// takes too long.
    pub(crate) async fn get(self) -> Vec<String> {
        match self {
            Self::Known(readers) => readers,
            Self::Pending(answer) => {
                let answer = tokio::time::timeout(ANSWER_WAIT.duration(), answer).await;
                answer.ok().and_then(Result::ok).unwrap_or_default()
            }
        }
    }
}

/// Whether an engine takes so long to read the shared part of the prompt that a look-up is worth
/// its cost.
fn worth_lookup(core: &Core, call: &Call) -> bool {
    let time = core.estimate().prefill(&call.service, call.head.shared_tokens());
    time > ANSWER_WAIT
}

/// Starts looking up which engines have read the subject of a prompt.
pub(crate) fn find_readers(core: &Arc<Core>, call: &Call) -> Readers {
    if !worth_lookup(core, call) {
        return Readers::Known(Vec::new());
    }
    let (service, subject) = (call.service.as_str(), call.head.subject());
    match core.members.hash_owner(subject) {
        Some(Owner::Peer { host, addr }) => {
            let query = SubjectQuery { service: service.to_owned(), subject };
            Readers::Pending(tokio::spawn(fetch_readers(core.clone(), host, addr, query)))
        }
        _ => Readers::Known(core.subjects().readers(service, subject)),
    }
}

async fn fetch_readers(
    core: Arc<Core>,
    host: HostId,
    addr: SocketAddr,
    query: SubjectQuery,
) -> Vec<String> {
    match core.members.peers().readers(addr, query).await {
        Ok(readers) => readers.targets,
        // Without the answer, at worst an engine reads the subject once more.
        Err(err) => {
            note!(logs::Event::PeerFailed, host = %host, call = "readers", why = %err);
            Vec::new()
        }
    }
}

/// Reports that an engine has read the subject of a prompt, to the host that keeps the subject's
/// list.
pub(crate) fn report_reader(core: &Arc<Core>, call: &Call, link: &Link) {
    if !worth_lookup(core, call) {
        return;
    }
    let (service, subject) = (call.service.as_str(), call.head.subject());
    let target = link.incarnation();
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
        _ => core.subjects().record(service, subject, target.as_str()),
    }
}
