//! Fetches the reports of stage targets, and publishes what is known of their memory.

use base::{Ms, TargetId};
use catalog::Residency;
use hyper::StatusCode;
use logs::note;
use sched::batch::{Event, ForeignChange, TargetReport};
use std::sync::Arc;

use super::{Composer, MAX_ANSWER_BYTES, NO_REQUEST_ID, Service, lock};
use crate::send::{IfClosed, Sending, Via, Wait, send};

/// How long to wait for a report. Round trips take up to about 40 ms; a report that comes later is
/// out of date.
const REPORT_TIMEOUT: Ms = Ms(300);

impl Composer {
    /// Fetches a target's report and passes it to the batcher.
    pub(super) async fn fetch_report(self: Arc<Self>, service: Arc<Service>, target: TargetId) {
        let report = self.report(&target).await;
        self.feed(&service, Event::Reported(target, report));
    }

    /// A target's report. None if it fails, can't be read, or is that of another incarnation.
    async fn report(&self, target: &TargetId) -> Option<TargetReport> {
        let link = self.core.links().named(target).cloned()?;
        // A target that limits its request rate has no requests to spare for this.
        if link.limit().is_active() {
            return None;
        }
        let build = || self.core.dialect.report_call(link.name());
        let (anywhere, wait) = (Residency::Anywhere, Wait::Fixed(REPORT_TIMEOUT));
        let sent = send(
            &self.core,
            &link,
            &anywhere,
            Sending { id: NO_REQUEST_ID, exposed: &[], retries: None },
            wait,
            Via::Pool(IfClosed::Reopen),
            build,
        )
        .await;
        let answered = sent.ok().filter(|a| a.parts.status == StatusCode::OK)?;
        let read = link::read(answered.body, MAX_ANSWER_BYTES);
        let body = tokio::time::timeout(REPORT_TIMEOUT.duration(), read).await.ok()?.ok()?;
        answered.lease.close();
        let same = self.core.dialect.parse_report(&body) == Some(link.entry.born);
        self.core.dialect.parse_stage_report(&body).filter(|_| same)
    }

    /// Records the memory in use at the targets of a service.
    pub(super) fn publish_usage(&self, service: &Service) {
        let usage = lock(&service.state).batcher.usage(self.core.clock.now());
        self.core.metrics.room(service.name.as_str(), usage.used, usage.foreign);
    }
}

/// Logs that results of others begin or cease to occupy a target.
pub(super) fn log_foreign(service: &Service, change: &ForeignChange) {
    let ForeignChange { target, bytes } = change;
    let event = match bytes {
        0 => logs::Event::ForeignResultsEnded,
        _ => logs::Event::ForeignResults,
    };
    note!(event, service = %service.name, target = %target, bytes);
}
