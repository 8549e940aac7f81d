//! From the known targets to a choice.

use base::{DomainId, Ms};
use sched::place::{self, Candidate, Distance};
use std::sync::Arc;

use crate::core::Core;
use crate::gate::{self, BlockReason};
use crate::links::Link;
use crate::request::Call;

/// What kind of choice.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Want<'a> {
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
        /// Lives of engines that have read it, the newest first.
        readers: &'a [String],
        /// Failure domain where it should run: where the results that it reads lie.
        home: &'a DomainId,
    },
}

/// The target for a request, none of `tried` as long as there are others.
pub(crate) fn choose(
    core: &Core,
    call: &Call,
    want: Want<'_>,
    tried: &[Arc<Link>],
) -> Result<Arc<Link>, BlockReason> {
    let now = core.clock.now();
    let links = core.links();
    let mut barrier = match links.barred(&call.service) {
        true => BlockReason::Evacuated,
        false => BlockReason::NoTarget,
    };
    let mut open: Vec<&Arc<Link>> = Vec::new();
    for link in links.of(&call.service) {
        if tried.iter().any(|t| t.entry.id == link.entry.id) {
            continue;
        }
        if !core.allows(&call.residency, link) {
            barrier = BlockReason::Outside;
            continue;
        }
        match gate::check(core, now, link) {
            Ok(()) => open.push(link),
            Err(why) => barrier = why,
        }
    }
    let candidates: Vec<Candidate<'_>> =
        open.iter().map(|l| candidate(core, now, l, want)).collect();
    let chosen = match want {
        Want::Plain { risky } => place::plain(&candidates, risky),
        Want::Engine { subject, copy, .. } => place::engine(&candidates, subject, copy),
    };
    chosen.map(|i| open[i].clone()).ok_or(barrier)
}

/// Another engine that knows a subject, for `link` to copy its memory from: the nearest that has
/// read it, else the one of the whole fleet that all hosts name for it.
pub(crate) fn source(
    core: &Core,
    call: &Call,
    subject: u64,
    readers: &[String],
    link: &Link,
) -> Option<Arc<Link>> {
    if knows(link, subject, readers) {
        return None;
    }
    let links = core.links();
    let now = core.clock.now();
    let serves = |l: &Arc<Link>| l.health().usable(now) && core.allows(&call.residency, l);
    let usable: Vec<&Arc<Link>> = links.of(&call.service).iter().filter(|l| serves(l)).collect();
    let age = |l: &Link| readers.iter().position(|r| r == l.life().as_str());
    let known = usable.iter().filter(|l| knows(l, subject, readers));
    let near = known.min_by_key(|l| (distance(core, &link.entry.domain, &l.entry.domain), age(l)));
    let named = || base::rendezvous(&subject.to_le_bytes(), usable.iter(), |l| l.name());
    let found = near.or_else(named).map(|l| Arc::clone(l));
    found.filter(|l| l.entry.id != link.entry.id)
}

fn knows(link: &Link, subject: u64, readers: &[String]) -> bool {
    link.subjects().knows(subject) || readers.iter().any(|r| r == link.life().as_str())
}

fn candidate<'a>(core: &Core, now: Ms, link: &'a Link, want: Want<'_>) -> Candidate<'a> {
    let settings = core.settings();
    let (home, knows) = match want {
        Want::Plain { .. } => (&settings.domain, false),
        Want::Engine { subject, readers, home, .. } => (home, knows(link, subject, readers)),
    };
    let health = link.health();
    Candidate {
        name: link.name(),
        distance: distance(core, home, &link.entry.domain),
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

/// How far a failure domain is from another.
fn distance(core: &Core, from: &DomainId, domain: &DomainId) -> Distance {
    let settings = core.settings();
    match (settings.region_of(from), settings.region_of(domain)) {
        _ if domain == from => Distance::Domain,
        (Some(from), Some(region)) if region == from => Distance::Region,
        _ => Distance::Far,
    }
}
