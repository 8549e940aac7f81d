//! What the host learns from the platform and other hosts, as events.

use gossip::Update;
use logs::note;
use policy::Event;
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::core::Core;

/// Feeds news until there are no more.
pub(crate) async fn feed(core: Arc<Core>, mut news: mpsc::UnboundedReceiver<Update>) {
    while let Some(news) = news.recv().await {
        core.feed(event(news));
    }
}

fn event(news: Update) -> Event {
    match news {
        Update::Fleet(plan) => Event::Config(plan),
        Update::Leaving { target, leaving } => {
            let what = if leaving { logs::Event::TargetLeaving } else { logs::Event::TargetBack };
            note!(what, target = %target);
            Event::Leaving { target, leaving }
        }
        Update::Poisoned { fingerprint, until } => Event::Poisoned { fingerprint, until },
        Update::Load { target, running, queued, at } => Event::Load { target, running, queued, at },
        Update::DomainLoad { domain, pool, running, queued, slots, at } => {
            Event::DomainLoad { domain, pool, running, queued, slots, at }
        }
        Update::Cache { target, seq, prefix, stored } => {
            Event::Cache { target, seq, prefix, stored }
        }
        Update::Hosts { live } => Event::Hosts { live },
    }
}
