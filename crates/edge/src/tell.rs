//! What other hosts should know at once: gathered for a moment, then told in one message each.

use base::Ms;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Crash, HostNews, PromptSent};

use crate::core::Core;

/// Time for which crashes are gathered, ms.
const CRASHES: Ms = Ms(50);
/// Time for which sent prompts are gathered, ms: an engine reads a short prompt in twice that, and
/// a host sends at most a hundred messages a second to each of the few that it tells.
const PROMPTS: Ms = Ms(10);

/// Tells the other hosts of crashes.
pub(crate) async fn crashes(core: Arc<Core>, mut told: UnboundedReceiver<Crash>) {
    while let Some(crashes) = gather(&mut told, CRASHES).await {
        core.members.tell_all(HostNews { crashes, ..HostNews::default() }).await;
    }
}

/// Tells the hosts of the failure domain, which choose among the same engines, of prompts.
///
/// Without it an engine that is idle for one host reads another's long report: with three hosts a
/// domain half of the prompts that were read before another were other hosts'.
pub(crate) async fn prompts(core: Arc<Core>, mut told: UnboundedReceiver<PromptSent>) {
    while let Some(prompts) = gather(&mut told, PROMPTS).await {
        let domain = core.settings().domain.clone();
        core.members.tell_domain(&domain, HostNews { prompts, ..HostNews::default() }).await;
    }
}

async fn gather<T>(told: &mut UnboundedReceiver<T>, time: Ms) -> Option<Vec<T>> {
    let mut items = vec![told.recv().await?];
    tokio::time::sleep(time.duration()).await;
    while let Ok(next) = told.try_recv() {
        items.push(next);
    }
    Some(items)
}
