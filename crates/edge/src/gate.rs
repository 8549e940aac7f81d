//! Whether a target may get a request at this moment: evacuated failure domains, targets that leave,
//! those that want to be left alone or name a limit, and cold ones.
//!
//! Asked twice: when a target is chosen, and again right before the request is written, since a
//! connection may have taken a while to open. Where a request may be is no question of the moment;
//! that is its [`catalog::Residency`].

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

/// Why no target may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockReason {
    /// There is none, or all have been tried.
    NoTarget,
    /// None is in a region that the request may be in.
    Outside,
    /// Those that there are belong to evacuated failure domains.
    Evacuated,
    /// It has said that it leaves.
    Leaving,
    /// Those that there are have turned requests of this host away, and want none for so long.
    Paused(Ms),
    /// Those that there are name a limit, and have had this host's part of it. It may send the next
    /// request in this time.
    Limited(Ms),
    /// Those that there are have had what they stand while cold; they stay cold for this long.
    Cold(Ms),
}

impl BlockReason {
    /// Its name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no_target",
            Self::Outside => "outside",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Paused(_) => "paused",
            Self::Limited(_) => "limited",
            Self::Cold(_) => "cold",
        }
    }
}

/// What the gate rests on.
pub(crate) struct Gate {
    evacuations: Mutex<Evacuations>,
    roster: Mutex<Roster>,
}

impl Gate {
    /// Nothing evacuated and nobody seen.
    pub(crate) fn new(now: Ms, settings: &Settings) -> Self {
        let others = settings.seeds.iter().any(|seed| *seed != settings.peer);
        Self { evacuations: Mutex::default(), roster: Mutex::new(Roster::new(now, others)) }
    }

    /// The evacuated failure domains.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// The hosts that there may be.
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
        rest => return Err(BlockReason::Paused(rest)),
    }
    check_limit(core, now, link)?;
    let rest = link.warmth().rest(now);
    if rest == Ms::ZERO {
        return Ok(());
    }
    let Some(warmup) = declared(core, link) else { return Ok(()) };
    let share = share(core, now, link, warmup);
    match link.warmth().open(now, share) {
        true => Ok(()),
        false => Err(BlockReason::Cold(rest)),
    }
}

/// The same for a request that is written now; it counts.
pub(crate) fn admit(core: &Core, link: &Link) -> Result<(), BlockReason> {
    let now = core.clock.now();
    check(core, now, link)?;
    link.limit().sent(now);
    link.warmth().sent(now);
    Ok(())
}

fn check_limit(core: &Core, now: Ms, link: &Link) -> Result<(), BlockReason> {
    let mut limit = link.limit();
    if let Some(per_second) = limit.unpaced(now) {
        limit.pace(now, interval(core, link, per_second));
    }
    match limit.rest(now) {
        Ms::ZERO => Ok(()),
        rest => Err(BlockReason::Limited(rest)),
    }
}

/// Time between two requests of this host to a target that takes so many a second from all.
fn interval(core: &Core, link: &Link, per_second: f64) -> Ms {
    let hosts = core.members.hosts();
    let names = || hosts.iter().map(|h| &h.host);
    let near = hosts.iter().filter(|h| h.domain == link.entry.domain).map(|h| &h.host);
    let me = core.members.me();
    let part = match composes(core, link) {
        // Whoever composes a stage target's calls sends it all that it gets.
        Some(true) => Part::Shares(1),
        Some(false) => limit::part(0.0, link.name(), me, [], names()),
        None => limit::part(per_second, link.name(), me, near, names()),
    };
    limit::interval(per_second, part, hosts.len())
}

/// Whether this host composes the calls of a stage target; none for other targets.
fn composes(core: &Core, link: &Link) -> Option<bool> {
    let service = &link.entry.service;
    core.declared()?.catalog.service(service)?.batch.as_ref()?;
    let settings = core.settings();
    let region = settings.region_of(&link.entry.domain)?;
    Some(core.members.owner(&settings, service, region) == Some(Owner::Me))
}

/// Targets of a failure domain are taken to be cold: its evacuation was taken back.
pub(crate) fn mark_domain_cold(core: &Core, domain: &base::DomainId) {
    let now = core.clock.now();
    let links = core.links();
    for link in links.all().filter(|l| l.entry.domain == *domain) {
        if let Some(warmup) = declared(core, link) {
            link.warmth().cold_until(now + warmup.time);
        }
    }
}

fn declared(core: &Core, link: &Link) -> Option<Warmup> {
    core.declared()?.catalog.service(&link.entry.service)?.warmup
}

/// Requests that this host may send to a cold target within a second.
fn share(core: &Core, now: Ms, link: &Link, warmup: Warmup) -> u32 {
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
