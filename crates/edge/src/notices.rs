//! What targets say of themselves in their answers.

use hyper::http::response::Parts;
use logs::note;
use sched::limit::LimitEvent;
use wire::TargetLimit;

use crate::core::Core;
use crate::dialect::{ResponseHead, Notice};
use crate::links::Link;

/// Takes what a target said of itself in the head of an answer.
pub(crate) fn apply(core: &Core, link: &Link, parts: &Parts, head: &ResponseHead) {
    // Another target's address by now, and its word.
    if head.moved {
        return;
    }
    let Notice { load, limit, leaving, pause } = head.notice;
    if let Some(load) = load {
        link.said(core.clock.now(), load);
    }
    if let Some(pause) = pause {
        core.metrics.notice(link.entry.service.as_str(), "paused");
        link.pause(core.clock.now() + pause);
    }
    if leaving && link.leaves() {
        core.metrics.notice(link.entry.service.as_str(), "leaving");
        note!(logs::Event::TargetSaysLeaving, target = link.name());
        core.leaves(&link.entry);
    }
    // Failures don't always say all that the target has to say.
    if limit.is_some() || parts.status.is_success() {
        take_limit(core, link, limit);
    }
}

fn take_limit(core: &Core, link: &Link, limit: Option<f64>) {
    if hear_limit(core, link, limit).is_some() {
        core.members.queue_limit(&link.entry.domain, &link.life(), limit);
    }
}

/// Another host has been told of a limit, or of its end.
pub(crate) fn apply_from_peer(core: &Core, word: &TargetLimit) {
    if let Some(link) = core.life(&word.target) {
        hear_limit(core, &link, word.per_second);
    }
}

fn hear_limit(core: &Core, link: &Link, limit: Option<f64>) -> Option<LimitEvent> {
    let service = link.entry.service.as_str();
    let event = link.limit().named(core.clock.now(), limit)?;
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
