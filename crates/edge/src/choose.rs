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
        /// Time to copy its memory from another engine, ms.
        copy: Ms,
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
    let candidates: Vec<Candidate<'_>> =
        open.iter().map(|l| candidate(core, now, l, want)).collect();
    let chosen = match want {
        Want::Plain { risky } => place::plain(&candidates, risky),
        Want::Engine { subject, copy } => place::engine(&candidates, subject, copy),
    };
    chosen.map(|i| open[i].clone())
}

/// Another engine that knows a subject, for `link` to copy its memory from: the nearest that has
/// read it for this host, else the one of the whole fleet that keeps it, which all hosts name.
pub(crate) fn source(
    core: &Core,
    service: &PoolId,
    subject: u64,
    link: &Link,
) -> Option<Arc<Link>> {
    let links = core.links();
    let now = core.clock.now();
    let other = |l: &&Arc<Link>| l.entry.id != link.entry.id && l.health().usable(now);
    let knows = links.of(service).iter().filter(other).filter(|l| l.subjects().knows(subject));
    let near = knows.min_by_key(|l| (core.distance(&l.entry.domain), l.load(now)));
    if let Some(near) = near.filter(|_| !link.subjects().knows(subject)) {
        return Some(near.clone());
    }
    let usable = links.of(service).iter().filter(|l| l.health().usable(now));
    let home = base::rendezvous(&subject.to_le_bytes(), usable, |l| l.name())?;
    (home.entry.id != link.entry.id).then(|| home.clone())
}

fn candidate<'a>(core: &Core, now: Ms, link: &'a Link, want: Want) -> Candidate<'a> {
    let knows = match want {
        Want::Plain { .. } => false,
        Want::Engine { subject, .. } => link.subjects().knows(subject),
    };
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
        wait: link.backlog().wait(now),
        knows,
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
