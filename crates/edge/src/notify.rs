//! Notifies other hosts of news that they need at once. News is collected for a moment and then
//! sent in one message to each host.

use base::{DomainId, HostId, Ms};
use sched::poison::{Recipients, recipients};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Crash, HostNews, PromptSent, TargetLimit};

use crate::core::Core;
use crate::members::Owner;

/// Time for which crashes are collected before they are sent.
const CRASH_WINDOW: Ms = Ms(50);
/// Time for which sent prompts are collected. An engine reads a short prompt in twice that time,
/// and a host sends at most a hundred messages per second to each of the few hosts that it
/// notifies.
const PROMPT_WINDOW: Ms = Ms(10);
/// Time for which changes of targets' rate limits are collected.
const LIMIT_WINDOW: Ms = Ms(50);

/// Notifies other hosts of crashes that this host has seen.
pub(crate) async fn crashes(core: Arc<Core>, mut queue: UnboundedReceiver<Crash>) {
    while let Some(crashes) = collect(&mut queue, CRASH_WINDOW).await {
        send_crashes(&core, crashes).await;
    }
}

/// Sends crashes to the hosts that must know of them; see [`sched::poison`].
async fn send_crashes(core: &Core, crashes: Vec<Crash>) {
    let hosts = core.members.hosts().len();
    let breaks = |c: &Crash| core.poison().broken(c.fingerprint).len();
    let (all, counted): (Vec<Crash>, Vec<Crash>) =
        crashes.into_iter().partition(|c| recipients(hosts, breaks(c)) == Recipients::All);
    let mut counters: BTreeMap<HostId, (SocketAddr, Vec<Crash>)> = BTreeMap::new();
    for crash in counted {
        // If this host is the one that counts, it already knows.
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

/// Records a crash that another host has reported. If this host counts the crashes of that request
/// and there are enough of them, all hosts are notified.
pub(crate) fn receive_crash(core: &Core, crash: &Crash) {
    let target = crash.target.as_str().into();
    let is_new = core.poison().record(core.clock.now(), crash.fingerprint, &target);
    let counts = matches!(core.members.hash_owner(crash.fingerprint), Some(Owner::Me));
    let broken = core.poison().broken(crash.fingerprint).to_vec();
    let hosts = core.members.hosts().len();
    if !is_new || !counts || recipients(hosts, broken.len()) == recipients(hosts, 1) {
        return;
    }
    // The earlier crashes, of which only this host was notified, are sent too.
    for target in broken {
        core.members.queue_crash(crash.fingerprint, &target);
    }
}

/// Notifies the hosts of each engine's failure domain, which choose among the same engines, of the
/// prompts sent to it.
///
/// Without this a host may choose an engine that it takes to be idle while the engine reads a long
/// prompt of another host. With three hosts in a domain, half of the prompts that delayed another
/// one came from a different host.
pub(crate) async fn prompts(core: Arc<Core>, mut queue: UnboundedReceiver<(DomainId, PromptSent)>) {
    while let Some(prompts) = collect(&mut queue, PROMPT_WINDOW).await {
        for (domain, prompts) in by_domain(prompts) {
            let news = HostNews { prompts, ..HostNews::default() };
            core.members.notify_domain(&domain, news).await;
        }
    }
}

/// Notifies the hosts of each target's failure domain, which share its rate limit, when a limit
/// begins or ends.
///
/// Without this each host learns of a limit only by sending requests that the target can't take,
/// and hosts without a share of the limit send the target nothing for minutes after the limit has
/// ended.
pub(crate) async fn limits(core: Arc<Core>, mut queue: UnboundedReceiver<(DomainId, TargetLimit)>) {
    while let Some(limits) = collect(&mut queue, LIMIT_WINDOW).await {
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

/// Waits for an item, and returns it together with those that arrive within `window` after it.
pub(crate) async fn collect<T>(queue: &mut UnboundedReceiver<T>, window: Ms) -> Option<Vec<T>> {
    let mut items = vec![queue.recv().await?];
    tokio::time::sleep(window.duration()).await;
    while let Ok(next) = queue.try_recv() {
        items.push(next);
    }
    Some(items)
}
