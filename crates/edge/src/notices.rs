//! Applies what targets report about themselves in their responses: load, rate limit, shutdown and
//! requests to pause.

use hyper::http::response::Parts;
use logs::note;
use sched::limit::LimitEvent;
use sched::pace::PaceEvent;
use wire::TargetLimit;

use crate::core::Core;
use crate::dialect::{Notice, ResponseHead};
use crate::links::Link;

/// Applies what a target reported about itself in the head of a response.
pub(crate) fn apply(core: &Core, link: &Link, parts: &Parts, head: &ResponseHead) {
    // The address belongs to another target now, so the report is about that one.
    if head.moved {
        return;
    }
    let Notice { load, limit, leaving, pause } = head.notice;
    if let Some(load) = load {
        link.reports.set(core.clock.now(), load);
        apply_pace(core, link, load.pace);
    }
    if let Some(pause) = pause {
        core.metrics.notice(link.entry.service.as_str(), "paused");
        link.pause(core.clock.now() + pause);
    }
    if leaving && link.mark_leaving() {
        core.metrics.notice(link.entry.service.as_str(), "leaving");
        note!(logs::Event::TargetSaysLeaving, target = link.name());
        core.mark_leaving(&link.entry);
    }
    // A failure response need not contain the limit, so a missing one says nothing there.
    if limit.is_some() || parts.status.is_success() {
        apply_limit(core, link, limit);
    }
}

fn apply_pace(core: &Core, link: &Link, percent: Option<u32>) {
    let Some(percent) = percent else { return };
    core.metrics.pace(link.entry.service.as_str(), percent);
    let mut speed = link.reports.speed();
    match speed.watch.observe(core.clock.now(), percent) {
        Some(PaceEvent::Slowed) => note!(
            logs::Event::TargetSlowed,
            target = link.name(),
            service = %link.entry.service,
            percent = speed.watch.percent()
        ),
        Some(PaceEvent::Recovered) => note!(
            logs::Event::TargetRecovered,
            target = link.name(),
            service = %link.entry.service,
            percent = speed.watch.percent()
        ),
        None => {}
    }
}

fn apply_limit(core: &Core, link: &Link, limit: Option<f64>) {
    if update_limit(core, link, limit).is_some() {
        core.members.queue_limit(&link.entry.domain, &link.incarnation(), limit);
    }
}

/// Applies a limit, or the end of one, that another host was informed of by the target.
pub(crate) fn apply_from_peer(core: &Core, update: &TargetLimit) {
    if let Some(link) = core.incarnation(&update.target) {
        update_limit(core, &link, update.per_second);
    }
}

fn update_limit(core: &Core, link: &Link, limit: Option<f64>) -> Option<LimitEvent> {
    let service = link.entry.service.as_str();
    let event = link.limit().observe(core.clock.now(), limit)?;
    match event {
        LimitEvent::Begun => {
            core.metrics.notice(service, "limited");
            note!(logs::Event::TargetLimited, target = link.name(), per_second = limit);
        }
        LimitEvent::Ended => {
            core.metrics.notice(service, "unlimited");
            note!(logs::Event::TargetUnlimited, target = link.name());
        }
    }
    Some(event)
}
