//! Forwards what the host learns from the platform and from other hosts to the core, as events.

use gossip::News;
use logs::note;
use policy::Event;
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::core::Core;

/// Forwards every update to the core until the channel is closed.
pub(crate) async fn forward(core: Arc<Core>, mut news: mpsc::UnboundedReceiver<News>) {
    while let Some(news) = news.recv().await {
        core.handle_event(event_of(news));
    }
}

fn event_of(news: News) -> Event {
    match news {
        News::Fleet(plan) => Event::Config(plan),
        News::Leaving { target, leaving } => {
            let log_event =
                if leaving { logs::Event::TargetLeaving } else { logs::Event::TargetBack };
            note!(log_event, target = %target);
            Event::Leaving { target, leaving }
        }
        News::Poisoned { fingerprint, until } => Event::Poisoned { fingerprint, until },
        News::Load { target, running, queued, at } => Event::Load { target, running, queued, at },
        News::DomainLoad { domain, pool, running, queued, slots, at } => {
            Event::DomainLoad { domain, pool, running, queued, slots, at }
        }
        News::Cache { target, seq, prefix, stored } => Event::Cache { target, seq, prefix, stored },
        News::Hosts { live } => Event::Hosts { live },
    }
}
