//! Selects a target for a request from the known ones.

use base::{BuildId, DomainId, Ms};
use sched::placement::engines::{self, Prompt};
use sched::placement::paced::{self, Paced};
use sched::placement::{Candidate, Distance};
use std::sync::Arc;

use crate::connections;
use crate::core::Core;
use crate::gate::{self, BlockReason};
use crate::links::Link;
use crate::request::Call;

/// What a target is selected for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Selection<'a> {
    /// A request with one whole answer.
    Plain {
        /// Whether a failed send can't be retried.
        risky: bool,
    },
    /// A prompt, for which an engine is selected.
    Engine {
        /// What it has to read. Its subject is the last part of the prompt that other requests
        /// share.
        prompt: &'a Prompt,
        /// Incarnations of engines that have read it, the newest first.
        readers: &'a [String],
        /// Failure domain where it should run: the one that holds the stage results it reads.
        home: &'a DomainId,
        /// The software version that began its stream; none before the caller has the first event.
        build: Option<&'a BuildId>,
    },
}

/// Selects the target for a request among those that were not tried yet. If there is none, returns
/// why.
pub(crate) fn choose(
    core: &Core,
    call: &Call,
    selection: Selection<'_>,
    tried: &[Arc<Link>],
) -> Result<Arc<Link>, BlockReason> {
    let now = core.clock.now();
    let links = core.links();
    let mut reason = match links.has_evacuated_targets(&call.service) {
        true => BlockReason::Evacuated,
        false => BlockReason::NoTarget,
    };
    let targets = links.of(&call.service);
    if !targets.is_empty() && !targets.iter().any(|l| fits_build(core, call, selection, l)) {
        return Err(BlockReason::OtherBuild);
    }
    let mut open: Vec<&Arc<Link>> = Vec::new();
    for link in targets.iter().filter(|l| fits_build(core, call, selection, l)) {
        if tried.iter().any(|t| t.entry.id == link.entry.id) {
            continue;
        }
        if !core.allows(&call.residency, link) {
            reason = BlockReason::Outside;
            continue;
        }
        match gate::check(core, now, link) {
            Ok(()) => open.push(link),
            Err(blocked) => reason = blocked,
        }
    }
    if matches!(selection, Selection::Plain { .. }) {
        avoid_silent(now, &mut open);
    }
    if matches!(selection, Selection::Plain { .. }) && connections::declared(call).is_some() {
        connections::prefer_free(core, call, tried, &mut open);
    }
    let mut candidates: Vec<Paced<'_>> =
        open.iter().map(|l| candidate(core, now, l, selection)).collect();
    let chosen = match selection {
        Selection::Plain { risky } => paced::plain(&candidates, risky, core.draw()),
        Selection::Engine { prompt, .. } => {
            set_sources(core, &open, &mut candidates);
            engines::engine(&candidates, prompt, core.draw())
        }
    };
    chosen.map(|i| open[i].clone()).ok_or(reason)
}

/// Leaves out the silent targets, if there are others that may get a request. If all are silent, each
/// is as good as before.
fn avoid_silent(now: Ms, targets: &mut Vec<&Arc<Link>>) {
    let answers = |l: &&Arc<Link>| {
        let health = l.health();
        health.usable(now) && !health.avoided(now)
    };
    if targets.iter().any(answers) {
        targets.retain(answers);
    }
}

/// Whether a target's software version fits the request. What two versions write can't be joined, so
/// a stream that has begun goes on at its version only. One that callers may take up begins only at
/// a version that the store lists, see [`catalog::Builds`].
fn fits_build(core: &Core, call: &Call, selection: Selection<'_>, link: &Link) -> bool {
    match selection {
        Selection::Engine { build: Some(build), .. } => link.entry.build == *build,
        Selection::Engine { build: None, .. } if call.route.retry_safety.is_idempotent() => {
            core.builds().lists(&call.service, &link.entry.build)
        }
        Selection::Engine { .. } | Selection::Plain { .. } => true,
    }
}

/// Another engine from whose cache `link` can copy a subject: the nearest that is known to have
/// read it, otherwise the one that all hosts pick for it by rendezvous hashing over the whole
/// fleet. None if `link` has read the subject itself.
pub(crate) fn copy_source(
    core: &Core,
    call: &Call,
    subject: u64,
    readers: &[String],
    link: &Link,
) -> Option<Arc<Link>> {
    if has_read(link, subject, readers) {
        return None;
    }
    let links = core.links();
    let now = core.clock.now();
    // The memory of another version doesn't fit.
    let same_build = |l: &Link| l.entry.build == link.entry.build;
    let is_usable =
        |l: &Arc<Link>| same_build(l) && l.health().usable(now) && core.allows(&call.residency, l);
    let usable: Vec<&Arc<Link>> = links.of(&call.service).iter().filter(|l| is_usable(l)).collect();
    let age = |l: &Link| readers.iter().position(|r| r == l.incarnation().as_str());
    let holders = usable.iter().filter(|l| has_read(l, subject, readers));
    let nearest =
        holders.min_by_key(|l| (distance(core, &link.entry.domain, &l.entry.domain), age(l)));
    let by_hash = || base::rendezvous(&subject.to_le_bytes(), usable.iter(), |l| l.name());
    let found = nearest.or_else(by_hash).map(|l| Arc::clone(l));
    found.filter(|l| l.entry.id != link.entry.id)
}

/// Whether an engine has read a subject, as this host has seen or `readers` tells.
fn has_read(link: &Link, subject: u64, readers: &[String]) -> bool {
    link.subjects().contains(subject) || readers.iter().any(|r| r == link.incarnation().as_str())
}

/// Sets for each engine how far the nearest other one is that has the subject in its cache.
fn set_sources(core: &Core, links: &[&Arc<Link>], candidates: &mut [Paced<'_>]) {
    if candidates.iter().all(|c| c.pace.is_none()) {
        return;
    }
    let holders: Vec<usize> =
        (0..candidates.len()).filter(|i| candidates[*i].base.cached).collect();
    for (i, candidate) in candidates.iter_mut().enumerate() {
        let others = holders.iter().filter(|holder| **holder != i);
        let from = |holder: &usize| &links[*holder].entry.domain;
        let far = others.map(|h| distance(core, &links[i].entry.domain, from(h))).min();
        candidate.source = far.map_or(candidate.source, |far| far.min(candidate.source));
    }
}

fn candidate<'a>(core: &Core, now: Ms, link: &'a Link, selection: Selection<'_>) -> Paced<'a> {
    let settings = core.settings();
    let (home, cached) = match selection {
        Selection::Plain { .. } => (&settings.domain, false),
        Selection::Engine { prompt, readers, home, .. } => {
            (home, has_read(link, prompt.subject, readers))
        }
    };
    let health = link.health();
    let pace = link.reports.pace();
    let base = Candidate {
        name: link.name(),
        distance: distance(core, home, &link.entry.domain),
        slots: link.entry.slots,
        load: match pace {
            Some(_) => link.expected_load(now),
            None => link.load(now),
        },
        latency: health.latency(),
        failure_rate: health.failure_rate(now),
        usable: health.usable(now),
        ejected_until: health.ejected_until().unwrap_or(Ms::ZERO),
        trial: health.on_trial(),
        wait: link.backlog().wait(now),
        cached,
    };
    let speed = link.reports.speed();
    Paced {
        host: distance(core, &settings.domain, &link.entry.domain),
        // Of the engine near the results that the rendezvous order assigns the subject to.
        source: base.distance,
        pace: pace.map(|pace| pace.factor_from(now, speed.usual.pace(now))),
        stretch: speed.usual.stretch(),
        measured: speed.slowness.factor(now),
        base,
    }
}

/// Distance between two failure domains.
fn distance(core: &Core, from: &DomainId, domain: &DomainId) -> Distance {
    let settings = core.settings();
    match (settings.region_of(from), settings.region_of(domain)) {
        _ if domain == from => Distance::Domain,
        (Some(from), Some(region)) if region == from => Distance::Region,
        _ => Distance::Far,
    }
}
