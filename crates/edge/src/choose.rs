//! From the known targets to a choice.

use base::{Ms, PoolId};
use sched::place::{self, Candidate, Distance};
use std::sync::Arc;

use crate::core::Core;
use crate::links::Link;

/// What kind of choice.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Want {
    /// A target for a plain request; `risky` when a failed send can't be made up for.
    Plain {
        /// See above.
        risky: bool,
    },
    /// An engine for a prompt about this subject.
    Engine {
        /// Hash of the part that requests share.
        subject: u64,
    },
}

/// The target for a request, none of `tried` as long as there are others.
pub(crate) fn choose(
    core: &Core,
    service: &PoolId,
    want: Want,
    tried: &[Arc<Link>],
) -> Option<Arc<Link>> {
    let now = core.clock.now();
    let links = core.links();
    let fresh = |l: &&Arc<Link>| !tried.iter().any(|t| t.entry.id == l.entry.id);
    let open: Vec<&Arc<Link>> = links.of(service).iter().filter(fresh).collect();
    let candidates: Vec<Candidate<'_>> = open.iter().map(|l| candidate(core, now, l)).collect();
    let chosen = match want {
        Want::Plain { risky } => place::plain(&candidates, risky),
        Want::Engine { subject } => place::engine(&candidates, subject),
    };
    chosen.map(|i| open[i].clone())
}

/// The engine of the whole fleet that keeps a subject: all hosts name the same one.
pub(crate) fn home(core: &Core, service: &PoolId, subject: u64) -> Option<Arc<Link>> {
    let links = core.links();
    let now = core.clock.now();
    let usable = links.of(service).iter().filter(|l| l.health().usable(now));
    base::rendezvous(&subject.to_le_bytes(), usable, |l| l.name()).cloned()
}

fn candidate<'a>(core: &Core, now: Ms, link: &'a Link) -> Candidate<'a> {
    let health = link.health();
    Candidate {
        name: link.name(),
        distance: core.distance(&link.entry.domain),
        slots: link.entry.slots,
        load: link.load(now),
        time: health.time(),
        fails: health.fails(now),
        usable: health.usable(now),
        until: health.until().unwrap_or(Ms::ZERO),
        trial: health.on_trial(),
    }
}

/// How far a failure domain is.
pub(crate) fn distance(core: &Core, domain: &base::DomainId) -> Distance {
    let settings = core.settings();
    match settings.region_of(domain) {
        _ if *domain == settings.domain => Distance::Domain,
        Some(region) if region == settings.region() => Distance::Region,
        _ => Distance::Far,
    }
}
