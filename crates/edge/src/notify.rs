//! Notifies other hosts of news that they need at once. News is collected for a moment and then
//! sent in one message to each host.

use base::{DomainId, Ms};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{HostNews, PromptSent, TargetLimit};

use crate::core::Core;

/// Time for which sent prompts are collected. An engine reads a short prompt in twice that time,
/// and a host sends at most a hundred messages per second to each of the few hosts that it
/// notifies.
const PROMPT_WINDOW: Ms = Ms(10);
/// Time for which changes of targets' rate limits are collected.
const LIMIT_WINDOW: Ms = Ms(50);

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
