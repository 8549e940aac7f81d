//! What other hosts should know at once: gathered for a moment, then told in one message each.

use base::{DomainId, HostId, Ms};
use sched::poison::{Audience, audience};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Crash, HostNews, PromptSent, TargetLimit};

use crate::core::Core;
use crate::members::Owner;

/// Time for which crashes are gathered, ms.
const CRASHES: Ms = Ms(50);
/// Time for which sent prompts are gathered, ms: an engine reads a short prompt in twice that, and
/// a host sends at most a hundred messages a second to each of the few that it tells.
const PROMPTS: Ms = Ms(10);
/// Time for which limits that targets name are gathered, ms.
const LIMITS: Ms = Ms(50);

/// Tells other hosts of crashes that this one saw.
pub(crate) async fn crashes(core: Arc<Core>, mut told: UnboundedReceiver<Crash>) {
    while let Some(crashes) = gather(&mut told, CRASHES).await {
        spread(&core, crashes).await;
    }
}

/// Passes crashes on to whoever must know of them; see [`sched::poison`].
async fn spread(core: &Core, crashes: Vec<Crash>) {
    let hosts = core.members.hosts().len();
    let breaks = |c: &Crash| core.poison().broken(c.fingerprint).len();
    let (all, counted): (Vec<Crash>, Vec<Crash>) =
        crashes.into_iter().partition(|c| audience(hosts, breaks(c)) == Audience::All);
    let mut counters: BTreeMap<HostId, (SocketAddr, Vec<Crash>)> = BTreeMap::new();
    for crash in counted {
        // Where this host counts itself, it knows already.
        if let Some(Owner::Peer { host, addr }) = core.members.hash_owner(crash.fingerprint) {
            counters.entry(host).or_insert_with(|| (addr, Vec::new())).1.push(crash);
        }
    }
    for (host, (addr, crashes)) in counters {
        let news = HostNews { crashes, ..HostNews::default() };
        core.members.notify_one(&host, addr, news).await;
    }
    if !all.is_empty() {
        core.members.notify_all(HostNews { crashes: all, ..HostNews::default() }).await;
    }
}

/// Another host has told of a crash. Where this one counts the breaks of that request, and they
/// are enough, all hosts hear of them.
pub(crate) fn receive_crash(core: &Core, crash: &Crash) {
    let target = crash.target.as_str().into();
    let news = core.poison().record(core.clock.now(), crash.fingerprint, &target);
    let counts = matches!(core.members.hash_owner(crash.fingerprint), Some(Owner::Me));
    let broken = core.poison().broken(crash.fingerprint).to_vec();
    let hosts = core.members.hosts().len();
    if !news || !counts || audience(hosts, broken.len()) == audience(hosts, 1) {
        return;
    }
    // Those that were told to this host alone go out too.
    for target in broken {
        core.members.queue_crash(crash.fingerprint, &target);
    }
}

/// Tells the hosts of the engines' failure domains, which choose among the same, of prompts.
///
/// Without it an engine that is idle for one host reads another's long report: with three hosts a
/// domain half of the prompts that were read before another were other hosts'.
pub(crate) async fn prompts(core: Arc<Core>, mut told: UnboundedReceiver<(DomainId, PromptSent)>) {
    while let Some(prompts) = gather(&mut told, PROMPTS).await {
        for (domain, prompts) in by_domain(prompts) {
            let news = HostNews { prompts, ..HostNews::default() };
            core.members.notify_domain(&domain, news).await;
        }
    }
}

/// Tells the hosts of targets' failure domains, which share a limit, that one begins or ends.
///
/// Without it each finds out by requests that the target can't take, and those that have no part
/// leave the target alone for minutes after its limit has ended.
pub(crate) async fn limits(core: Arc<Core>, mut told: UnboundedReceiver<(DomainId, TargetLimit)>) {
    while let Some(limits) = gather(&mut told, LIMITS).await {
        for (domain, limits) in by_domain(limits) {
            let news = HostNews { limits, ..HostNews::default() };
            core.members.notify_domain(&domain, news).await;
        }
    }
}

fn by_domain<T>(items: Vec<(DomainId, T)>) -> BTreeMap<DomainId, Vec<T>> {
    let mut domains: BTreeMap<DomainId, Vec<T>> = BTreeMap::new();
    for (domain, item) in items {
        domains.entry(domain).or_default().push(item);
    }
    domains
}

async fn gather<T>(told: &mut UnboundedReceiver<T>, time: Ms) -> Option<Vec<T>> {
    let mut items = vec![told.recv().await?];
    tokio::time::sleep(time.duration()).await;
    while let Ok(next) = told.try_recv() {
        items.push(next);
    }
    Some(items)
}
