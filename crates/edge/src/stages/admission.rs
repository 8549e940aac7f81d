//! Admission of a request, and the check of its rest before each later stage.

use base::{Ms, PoolId};
use logs::note;
use sched::admission::fluid::StageWait;
use sched::admission::load::WorkspaceKey;
use sched::admission::{Decision, Overload, Prediction, Request, Stage};

use super::{Run, batch};
use crate::refusal::Reason;

/// A stage that is still to be run.
struct Planned<'a> {
    /// Its index in the route.
    index: usize,
    service: &'a PoolId,
    pieces: u32,
    /// Positions in the plan of the stages that it reads.
    after: Vec<usize>,
    alone: Ms,
}

impl Run<'_> {
    /// Refuses the request if work ahead of it makes it late.
    pub(super) fn admit(&self) -> Result<(), Reason> {
        let now = self.app.core.clock.now();
        let left = self.call.arrived + self.call.route.latency_goal - now;
        let plan = self.plan(|_| true);
        if plan.is_empty() {
            return Ok(());
        }
        let decide =
            |request: &Request<'_>| self.app.core.loads.admission().decide(now, left, request);
        let Some(prediction) = self.with_request(&plan, decide) else { return Ok(()) };
        self.measure(&plan, &prediction);
        match prediction.decision {
            Decision::Admit => Ok(()),
            Decision::Reject(overload) => {
                self.log_overload(&plan, overload);
                Err(Reason::Overloaded(overload.retry_after))
            }
        }
    }

    /// The wait for a later stage, if because of it the rest of the chain can't end before the
    /// caller's deadline, or the stage's results would be deleted before they are read.
    pub(super) fn rest_is_late(&self, i: usize) -> Option<Ms> {
        if self.call.route.stages[i].after.is_empty() {
            return None;
        }
        let now = self.app.core.clock.now();
        let left = self.expires() - now;
        let plan = self.plan(|later| later == i || self.leads_to(i, later));
        let batch = batch(self.call, &self.call.route.stages[i].service);
        let ttl = batch.map_or(Ms::MAX, |batch| batch.result_ttl);
        let late = |request: &Request<'_>| {
            let admission = self.app.core.loads.admission();
            let late = admission.rest_is_late(now, left, request);
            late.or_else(|| admission.expires_unread(now, ttl, request))
        };
        let wait = self.with_request(&plan, late).flatten()?;
        note!(
            logs::Event::RestGivenUp,
            request = %self.call.head.id,
            stage = i,
            service = %self.call.route.stages[i].service,
            wait_ms = wait.0,
            left_ms = left.0
        );
        Some(wait)
    }

    /// The stages that are not submitted yet, of those for which `wanted` holds and without those
    /// that have no pieces.
    fn plan(&self, wanted: impl Fn(usize) -> bool) -> Vec<Planned<'_>> {
        let mut plan = Vec::new();
        // For each declared stage, the planned stages that have to end before it counts as ended.
        let mut ends: Vec<Vec<usize>> = Vec::new();
        for (i, stage) in self.call.route.stages.iter().enumerate() {
            let after: Vec<usize> = stage.after.iter().flat_map(|a| ends[*a].clone()).collect();
            let pieces = self.pieces(i);
            let submitted = self.done[i].is_some() || self.started[i].is_some();
            if pieces == 0 || submitted || !wanted(i) {
                ends.push(after);
                continue;
            }
            let alone = batch(self.call, &stage.service).map(|b| b.time(pieces as usize));
            let alone = alone.unwrap_or_default();
            ends.push(vec![plan.len()]);
            plan.push(Planned { index: i, service: &stage.service, pieces, after, alone });
        }
        plan
    }

    /// Passes on the planned stages as a request; none if no target is in a region that it may be
    /// in.
    fn with_request<T>(
        &self,
        plan: &[Planned<'_>],
        f: impl FnOnce(&Request<'_>) -> T,
    ) -> Option<T> {
        let first = plan.first()?;
        let region = self.region(first.index, &self.domain(first.index))?;
        let stage = |p: &Planned<'_>| p.pieces;
        let stages: Vec<Stage<'_>> = plan
            .iter()
            .map(|p| Stage {
                service: p.service,
                pieces: stage(p),
                after: &p.after,
                alone: p.alone,
            })
            .collect();
        let request = Request {
            region: &region,
            rank: self.call.rank(),
            most_urgent: self.call.rank() <= self.call.catalog.top_stage_rank(),
            workspace: WorkspaceKey::of(self.workspace()),
            movable: self.call.residency == catalog::Residency::Anywhere,
            stages: &stages,
            last: self.engine(),
        };
        Some(f(&request))
    }

    /// Time to the first event, and the shortest backlog of an engine in this region.
    fn engine(&self) -> StageWait {
        let core = &self.app.core;
        let now = core.clock.now();
        let (settings, links) = (core.settings(), core.links());
        let near = links.of(&self.call.service).iter();
        let near = near.filter(|l| settings.region_of(&l.entry.domain) == Some(settings.region()));
        let backlog = near.map(|l| l.backlog().wait(now)).min().unwrap_or_default();
        let first = core.estimate().first_event(&self.call.service, self.call.head.own_tokens());
        StageWait { time: first.0 as f64, wait: backlog.0 as f64 }
    }

    /// Records the metrics of an admission check.
    fn measure(&self, plan: &[Planned<'_>], prediction: &Prediction) {
        let metrics = &self.app.core.metrics;
        metrics.admission(match prediction.decision {
            Decision::Reject(_) => "rejected",
            Decision::Admit if prediction.ahead.is_empty() => "load_unknown",
            Decision::Admit => "admitted",
        });
        for (stage, ahead) in plan.iter().zip(&prediction.ahead) {
            metrics.wait_predicted(stage.service.as_str(), Ms(ahead.wait as u64), ahead.age);
        }
    }

    fn log_overload(&self, plan: &[Planned<'_>], overload: Overload) {
        let service = plan.get(overload.bottleneck).map_or(&self.call.service, |p| p.service);
        note!(
            logs::Event::RequestOverloaded,
            request = %self.call.head.id,
            route = %self.call.route.name,
            service = %service,
            wait_ms = overload.wait.0,
            rank = self.call.rank(),
            ahead = overload.ahead,
            workspace = self.workspace(),
            own = overload.own,
            age_ms = overload.age.0,
            retry_ms = overload.retry_after.0
        );
    }
}
