//! Forwards what the host learns from the platform and from other hosts to the core, as events.

use gossip::Update;
use logs::note;
use policy::Event;
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::core::Core;

/// Forwards every update to the core until the channel is closed.
pub(crate) async fn forward(core: Arc<Core>, mut updates: mpsc::UnboundedReceiver<Update>) {
    while let Some(update) = updates.recv().await {
        core.handle_event(event_of(update));
    }
}

fn event_of(update: Update) -> Event {
    match update {
        Update::Fleet(plan) => Event::Config(plan),
        Update::Leaving { target, leaving } => {
            let log_event =
                if leaving { logs::Event::TargetLeaving } else { logs::Event::TargetBack };
            note!(log_event, target = %target);
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
