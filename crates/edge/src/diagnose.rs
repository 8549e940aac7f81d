//! Finds the parts of prompts and the requests that end targets, together with the other hosts. See
//! [`sched::suspects`].
//!
//! Each host reports the ends of targets that are proved to it to a few hosts, the collectors. The
//! first of these ask all hosts about what is suspected, and tell all of what is quarantined.

use base::{Ms, Suspect, TargetId};
use logs::note;
use peer::ViewHost;
use sched::suspects::{
    BrokenRequest, Candidate, DIAGNOSERS, Diagnosis, Ends, Observed, Running, collectors,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::suspect::Kind;
use wire::{AskedSuspect, HostNews, PartAnswer, PartQuery, SeenSuspect, SuspectFound, TargetEnd};

use crate::core::Core;
use crate::exposures::Exposure;
use crate::links::{Link, Links};
use crate::members::MAX_PARALLEL_CALLS;
use crate::notify::collect;
use crate::request::Call;

/// Time for which ends are collected before the collectors are told.
const END_WINDOW: Ms = Ms(50);
/// Time after the news of an end within which other hosts have reported theirs: they collect them,
/// and a way between regions takes some tens of ms.
const GATHER_TIME: Ms = Ms(250);
/// Time that the host whose turn it is gets before the next one looks too.
const TURN_TIME: Ms = Ms(1_000);

/// A request that a target may have begun to run when it ended, to be reported.
pub(crate) struct Ended {
    target: TargetId,
    request: Option<u64>,
    /// The shared parts of its prompt, in order.
    parts: Arc<[u64]>,
    begun: bool,
    sent: Ms,
    at: Ms,
}

/// Reports a request that was at a target which is proved to have ended, at `at`.
pub(crate) fn report(core: &Core, target: &TargetId, exposure: Exposure, at: Ms) {
    let suspected = exposure.suspects_parts();
    let Exposure { exposed, begun, sent, .. } = exposure;
    let parts = if suspected { exposed.parts } else { Arc::default() };
    let ended = Ended { target: target.clone(), request: exposed.request, parts, begun, sent, at };
    core.members.queue_end(ended);
}

/// An answer that goes on, until it is dropped. It counts as long as it does: its engine may still end under
/// it.
pub(crate) struct Going {
    core: Arc<Core>,
    number: u64,
}

impl Going {
    /// Records an answer that began at `begun`.
    pub(crate) fn begin(core: &Arc<Core>, call: &Call, begun: Ms) -> Self {
        let number = core.sound_parts().begin(begun, call.suspects.parts().clone());
        Self { core: core.clone(), number }
    }
}

impl Drop for Going {
    fn drop(&mut self) {
        self.core.sound_parts().end(self.number);
    }
}

/// Records an answer that goes on well, or is complete, and began at `begun`.
pub(crate) fn answer_is_sound(core: &Core, call: &Call, begun: Ms) {
    core.sound_parts().record(begun, call.suspects.parts().iter().copied());
}

/// Records that a request which was sent at `sent` was answered whole, with a success.
pub(crate) fn request_is_sound(core: &Core, key: u64, sent: Ms) {
    core.sound_requests().record(sent, std::iter::once(key));
}

/// Tells the collectors of the ends that this host has seen.
pub(crate) async fn ends(core: Arc<Core>, mut queue: UnboundedReceiver<Ended>) {
    while let Some(seen) = collect(&mut queue, END_WINDOW).await {
        let mut by_target: BTreeMap<TargetId, Vec<wire::BrokenRequest>> = BTreeMap::new();
        let now = core.clock.now();
        for Ended { target, request, parts, begun, sent, at } in seen {
            let (parts, sent_ms, broken_ms) = (parts.to_vec(), (now - sent).0, (now - at).0);
            let broken = wire::BrokenRequest { parts, sent_ms, broken_ms, request, begun };
            by_target.entry(target).or_default().push(broken);
        }
        let to_wire = |(target, requests): (TargetId, Vec<wire::BrokenRequest>)| TargetEnd {
            target: target.as_str().to_owned(),
            requests,
        };
        let ends: Vec<TargetEnd> = by_target.into_iter().map(to_wire).collect();
        receive_ends(&core, &ends);
        // One that does not answer must not delay the news of the next ends.
        tokio::spawn(tell_collectors(core.clone(), ends));
    }
}

async fn tell_collectors(core: Arc<Core>, ends: Vec<TargetEnd>) {
    let hosts = core.members.hosts();
    let news = HostNews { ends, ..HostNews::default() };
    let others = collectors(hosts.iter(), host_name).into_iter().filter(|h| !is_me(&core, h));
    let calls = others.map(|h| core.members.notify_one(&h.host, h.address, news.clone()));
    futures::future::join_all(calls).await;
}

/// Records ends that this host or another one has seen.
pub(crate) fn receive_ends(core: &Core, ends: &[TargetEnd]) {
    let now = core.clock.now();
    let mut known = core.ends();
    for end in ends {
        let target = TargetId::from(end.target.as_str());
        for broken in &end.requests {
            let (sent, at) = (now - Ms(broken.sent_ms), now - Ms(broken.broken_ms));
            let wire::BrokenRequest { request, begun, ref parts, .. } = *broken;
            known.record(&BrokenRequest { target: &target, request, parts, begun, sent, at });
        }
    }
    drop(known);
    core.ends_due.notify_one();
}

/// Looks for the cause, whenever there are new ends or those before can be judged again, and it is
/// this host's turn.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut looked = Ms::ZERO;
    loop {
        wait_for_look(&core, looked).await;
        looked = core.clock.now();
        if !core.ends().is_confirmed() {
            tokio::time::sleep(GATHER_TIME.duration()).await;
        }
        let Some(turn) = turn(&core) else { continue };
        if turn > 0 {
            tokio::time::sleep(TURN_TIME.scale(turn, 1).duration()).await;
        }
        // The ends that one cause leaves unexplained may lead to another.
        while diagnose(&core).await {}
        core.ends_looked.notify_one();
    }
}

/// Waits for new ends, or until those before can be judged again.
async fn wait_for_look(core: &Core, looked: Ms) {
    let due = {
        let ends = core.ends();
        ends.next_look(looked).into_iter().chain(ends.next_request_look(looked)).min()
    };
    let wait = due.map_or(Ms::ZERO, |at| at - core.clock.now());
    tokio::select! {
        () = core.ends_due.notified() => {}
        () = tokio::time::sleep(wait.duration()), if due.is_some() => {}
    }
}

/// This host's place among those that look for the cause.
pub(crate) fn turn(core: &Core) -> Option<u64> {
    let hosts = core.members.hosts();
    let chosen = collectors(hosts.iter(), host_name);
    let place = chosen.into_iter().take(DIAGNOSERS).position(|host| is_me(core, host))?;
    Some(place as u64)
}

/// Quarantines what there is enough evidence against. Returns whether there was anything.
async fn diagnose(core: &Arc<Core>) -> bool {
    let candidates = core.ends().candidates();
    if candidates.is_empty() {
        return false;
    }
    let told = ask_all(core, &candidates).await;
    let links = core.links();
    let engines = engines(core, &links);
    let found = find(&core.ends(), &told, &engines, core.clock.now());
    if found.is_empty() {
        dismiss(core, &told);
        return false;
    }
    for diagnosis in &found {
        let others = told.get(&diagnosis.suspect).map_or(0, |told| told.others);
        core.note_diagnosis(diagnosis, others);
        core.put_in_quarantine(diagnosis.suspect);
    }
    let to_wire = |diagnosis: Diagnosis| SuspectFound {
        suspect: Some(to_wire(diagnosis.suspect)),
        targets: diagnosis.targets.iter().map(|target| target.as_str().to_owned()).collect(),
    };
    tell_all(core, found.into_iter().map(to_wire).collect()).await;
    true
}

/// Requests come first: a request that ends targets has parts too, which end none elsewhere.
fn find(
    ends: &Ends,
    told: &HashMap<Suspect, Observed>,
    engines: &[Running<'_>],
    now: Ms,
) -> Vec<Diagnosis> {
    let requests = ends.diagnose_requests(told);
    match requests.is_empty() {
        true => {
            let found = ends.diagnose(told, engines);
            found.or_else(|| ends.diagnose_moment(told, now)).into_iter().collect()
        }
        false => requests,
    }
}

/// The engines that are registered.
fn engines<'a>(core: &Core, links: &'a Links) -> Vec<Running<'a>> {
    let Some(catalog) = core.catalog() else { return Vec::new() };
    let is_engine = |link: &&Arc<Link>| {
        catalog.service(&link.entry.service).is_some_and(|service| service.engine.is_some())
    };
    let running = |link: &'a Arc<Link>| Running {
        name: link.name(),
        service: link.entry.service.as_str(),
        born: Ms(link.entry.born),
    };
    links.all().filter(is_engine).map(running).collect()
}

/// Drops the evidence that sound answers refute.
fn dismiss(core: &Core, told: &HashMap<Suspect, Observed>) {
    let mut ends = core.ends();
    for (suspect, told) in told {
        told.sound.into_iter().for_each(|sound| ends.cleared(*suspect, sound));
    }
}

async fn tell_all(core: &Core, found: Vec<SuspectFound>) {
    core.members.notify_all(HostNews { found, ..HostNews::default() }).await;
}

/// Tells all hosts of what the store no longer lists though nobody is known to have removed it. The host
/// that reads the store may have started since, and writes it again.
pub(crate) fn tell_again(core: &Arc<Core>, missing: Vec<Suspect>) {
    if missing.is_empty() {
        return;
    }
    let found = |suspect| SuspectFound { suspect: Some(to_wire(suspect)), targets: Vec::new() };
    let (core, found) = (core.clone(), missing.into_iter().map(found).collect());
    tokio::spawn(async move { tell_all(&core, found).await });
}

/// Applies what another host has found. A host whose turn it may be passes it on: it may reach hosts
/// that the other one does not.
pub(crate) fn receive_found(core: &Arc<Core>, found: SuspectFound) {
    let Some(suspect) = found.suspect.as_ref().and_then(from_wire) else { return };
    let is_new = core.put_in_quarantine(suspect);
    if is_new && turn(core).is_some() {
        let core = core.clone();
        tokio::spawn(async move { tell_all(&core, vec![found]).await });
    }
}

/// Asks all hosts about suspects.
pub(crate) async fn ask_all(
    core: &Arc<Core>,
    candidates: &[Candidate],
) -> HashMap<Suspect, Observed> {
    let now = core.clock.now();
    let asked = |c: &Candidate| AskedSuspect {
        suspect: Some(to_wire(c.suspect)),
        since_ms: (now - c.since).0,
    };
    let query = PartQuery { suspects: candidates.iter().map(asked).collect() };
    let own = answer(core, &query);
    let mut told: HashMap<Suspect, Observed> = HashMap::new();
    add(&mut told, candidates, own, now);
    let hosts = core.members.hosts();
    let others: Vec<&ViewHost> = hosts.iter().filter(|h| !is_me(core, h)).collect();
    for part in others.chunks(MAX_PARALLEL_CALLS) {
        let calls = part.iter().map(|host| ask(core, host, &query));
        let answers = futures::future::join_all(calls).await;
        answers.into_iter().for_each(|answer| add(&mut told, candidates, answer, now));
    }
    told
}

async fn ask(core: &Core, host: &ViewHost, query: &PartQuery) -> PartAnswer {
    let answer = core.members.peers().parts(host.address, query.clone()).await;
    answer.unwrap_or_else(|err| {
        note!(logs::Event::PeerFailed, host = %host.host, call = "suspects", why = %err);
        PartAnswer::default()
    })
}

fn add(
    told: &mut HashMap<Suspect, Observed>,
    candidates: &[Candidate],
    answer: PartAnswer,
    now: Ms,
) {
    for (candidate, seen) in candidates.iter().zip(answer.suspects) {
        let sum = told.entry(candidate.suspect).or_default();
        sum.sound = sum.sound.max(seen.sound_ms.map(|age| now - Ms(age)));
        sum.others += seen.others;
        sum.going |= seen.going;
    }
}

/// Answers what this host has seen.
pub(crate) fn answer(core: &Core, query: &PartQuery) -> PartAnswer {
    let now = core.clock.now();
    let seen = |asked: &AskedSuspect| {
        let suspect = asked.suspect.as_ref().and_then(from_wire);
        let last = match suspect {
            Some(Suspect::Part(id)) => core.sound_parts().last(id),
            Some(Suspect::Request(key)) => core.sound_requests().last(key),
            None => None,
        };
        let part = suspect.and_then(Suspect::part);
        let parts = core.sound_parts();
        SeenSuspect {
            sound_ms: last.map(|begun| (now - begun).0),
            others: parts.since(now - Ms(asked.since_ms)) as u64,
            going: part.is_some_and(|part| parts.is_going(part)),
        }
    };
    PartAnswer { suspects: query.suspects.iter().map(seen).collect() }
}

/// A suspect as other hosts are told of it.
pub(crate) fn to_wire(suspect: Suspect) -> wire::Suspect {
    let kind = match suspect {
        Suspect::Part(id) => Kind::Part(id),
        Suspect::Request(key) => Kind::Request(key),
    };
    wire::Suspect { kind: Some(kind) }
}

/// A suspect that another host tells of; none if it is of a kind that this version doesn't know.
pub(crate) fn from_wire(suspect: &wire::Suspect) -> Option<Suspect> {
    Some(match suspect.kind? {
        Kind::Part(id) => Suspect::Part(id),
        Kind::Request(key) => Suspect::Request(key),
    })
}

fn host_name(host: &ViewHost) -> &str {
    host.host.as_str()
}

fn is_me(core: &Core, host: &ViewHost) -> bool {
    host.host == *core.members.me()
}
