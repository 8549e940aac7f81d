//! Decides whether a target may get a request at this moment. It may not if its failure domain is
//! evacuated, if it is draining, if it has asked this host to pause, if its rate limit is used up,
//! or if it is cold and has had this host's share of requests.
//!
//! The check is made twice: when a target is chosen, and again right before the request is written,
//! since opening a connection may have taken a while. The regions that a request may be in don't
//! change from moment to moment and aren't checked here; see [`catalog::Residency`].

use base::Ms;
use catalog::Warmup;
use sched::evacuation::Evacuations;
use sched::limit::{self, Part};
use sched::roster::Roster;
use sched::warmup::{self, ColdLimit};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::core::Core;
use crate::links::Link;
use crate::members::Owner;
use crate::settings::Settings;

/// Why no target may get a request, or why a certain one may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockReason {
    /// There is no target, or all have been tried.
    NoTarget,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// No target has the software version that began the stream, or none at which streams may begin.
    OtherBuild,
    /// It ends targets.
    Poison,
    /// A part of its prompt ends engines.
    PoisonPart,
    /// No target is in a region that the request may be in.
    Outside,
    /// The targets belong to evacuated failure domains.
    Evacuated,
    /// This host reaches the target only through hosts of regions that the request may not be in.
    Unreachable,
    /// The target has announced that it is shutting down.
    Leaving,
    /// The targets have rejected requests of this host, and want none for this time.
    Paused(Ms),
    /// The targets name a rate limit, and this host has used its share of it. It may send the next
    /// request after this time.
    Limited(Ms),
    /// The targets are cold and have had this host's share of requests. They stay cold for this
    /// time.
    Cold(Ms),
}

impl BlockReason {
    /// The name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::RetryBudget => "retry_budget",
            Self::OtherBuild => "other_build",
            Self::Poison => "poison",
            Self::PoisonPart => "poison_part",
            Self::Outside => "outside",
            Self::Evacuated => "evacuated",
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Paused(_) => "paused",
            Self::Limited(_) => "limited",
            Self::Cold(_) => "cold",
        }
    }
}

/// The state that the checks share.
pub(crate) struct Gate {
    evacuations: Mutex<Evacuations>,
    roster: Mutex<Roster>,
}

impl Gate {
    /// No evacuations and no known hosts.
    pub(crate) fn new(now: Ms, settings: &Settings) -> Self {
        let others = settings.seeds.iter().any(|seed| *seed != settings.peer);
        Self { evacuations: Mutex::default(), roster: Mutex::new(Roster::new(now, others)) }
    }

    /// The evacuated failure domains.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// The hosts that may exist, alive or not.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether a target may get a request now.
pub(crate) fn check(core: &Core, now: Ms, link: &Link) -> Result<(), BlockReason> {
    if core.links().evacuated(&link.entry.domain) {
        return Err(BlockReason::Evacuated);
    }
    if link.is_leaving() {
        return Err(BlockReason::Leaving);
    }
    match link.paused(now) {
        Ms::ZERO => {}
        remaining => return Err(BlockReason::Paused(remaining)),
    }
    check_limit(core, now, link)?;
    let remaining = link.warmup().remaining(now);
    if remaining == Ms::ZERO {
        return Ok(());
    }
    let Some(warmup) = declared_warmup(core, link) else { return Ok(()) };
    let share = cold_share(core, now, link, warmup);
    match link.warmup().admits(now, share) {
        true => Ok(()),
        false => Err(BlockReason::Cold(remaining)),
    }
}

/// Checks a target right before a request is written to it, and counts the request as sent.
pub(crate) fn admit(core: &Core, link: &Link) -> Result<(), BlockReason> {
    let now = core.clock.now();
    check(core, now, link)?;
    link.limit().sent(now);
    link.warmup().sent(now);
    Ok(())
}

fn check_limit(core: &Core, now: Ms, link: &Link) -> Result<(), BlockReason> {
    let mut limit = link.limit();
    if let Some(per_second) = limit.unpaced(now) {
        limit.pace(now, interval(core, link, per_second));
    }
    match limit.delay(now) {
        Ms::ZERO => Ok(()),
        remaining => Err(BlockReason::Limited(remaining)),
    }
}

/// Interval between requests of this host to a target that accepts `per_second` from all hosts
/// together.
fn interval(core: &Core, link: &Link, per_second: f64) -> Ms {
    let hosts = core.members.hosts();
    let names = || hosts.iter().map(|h| &h.host);
    let same_domain = hosts.iter().filter(|h| h.domain == link.entry.domain).map(|h| &h.host);
    let me = core.members.me();
    let part = match composes_calls(core, link) {
        // The host that composes the calls of a stage target sends all calls that the target gets.
        Some(true) => Part::Shares(1),
        Some(false) => limit::part(0.0, link.name(), me, [], names()),
        None => limit::part(per_second, link.name(), me, same_domain, names()),
    };
    limit::interval(per_second, part, hosts.len())
}

/// Whether this host composes the calls of a stage target; none if the target isn't a stage target.
fn composes_calls(core: &Core, link: &Link) -> Option<bool> {
    let service = &link.entry.service;
    core.declared()?.catalog.service(service)?.batch.as_ref()?;
    let settings = core.settings();
    let region = settings.region_of(&link.entry.domain)?;
    Some(core.members.owner(&settings, service, region) == Some(Owner::Me))
}

/// Marks the targets of a failure domain as cold after its evacuation has ended, since they may
/// have gone cold without requests.
pub(crate) fn mark_domain_cold(core: &Core, domain: &base::DomainId) {
    let now = core.clock.now();
    let links = core.links();
    for link in links.all().filter(|l| l.entry.domain == *domain) {
        if let Some(warmup) = declared_warmup(core, link) {
            link.warmup().cold_until(now + warmup.time);
        }
    }
}

fn declared_warmup(core: &Core, link: &Link) -> Option<Warmup> {
    core.declared()?.catalog.service(&link.entry.service)?.warmup
}

/// Number of requests that this host may send to a cold target within a second.
fn cold_share(core: &Core, now: Ms, link: &Link, warmup: Warmup) -> u32 {
    let settings = core.settings();
    if link.entry.domain != settings.domain {
        return 0;
    }
    let bounds = &settings.bounds;
    let limit = ColdLimit {
        factor: bounds.cold_factor.unwrap_or(1.0),
        slack: bounds.cold_slack.unwrap_or_default(),
    };
    let roster = core.gate.roster();
    let Some(hosts) = roster.of(now, &settings.domain) else { return 0 };
    warmup::share(limit.of(warmup.per_second), link.name(), &settings.host, hosts)
}
