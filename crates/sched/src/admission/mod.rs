//! Decides whether a request with stages is admitted.
//!
//! More requests may arrive than the targets of the stages can serve, for a moment or for long. If
//! all were admitted, the work of the first stages would be spent on requests that are given up at
//! a later one, and hardly any would be on time although all targets are busy.
//!
//! The host that receives a request predicts when its chain of stages would end, by the [`fluid`]
//! model and the loads that the composers report. It rejects the request if that is past the
//! latency goal because of the work ahead. Waits may use only a part of the slack, see
//! [`fluid::MAX_SLACK_SHARE`]; those of the most urgent rank may use all of it until a request of
//! that rank is rejected. With no work ahead, with a load missing or older than [`MAX_AGE`], or
//! if the chain would be late even with empty queues, the request is admitted.
//!
//! All hosts decide on the same reports, so each counts what it admitted itself since the report.
//! The arrivals at other hosts within one report interval are not known; the next report ends that.

pub mod fluid;
pub mod load;

use base::{Ms, PoolId, RegionId};
use std::collections::HashMap;

use crate::batch::downstream;
use fluid::{Assessment, Completion, MAX_SLACK_SHARE, StageWait, assess};
use load::{ServiceLoad, Tally, Work, WorkspaceKey};

/// Age from which on a load is not used. A composer that is gone has a successor by then.
pub const MAX_AGE: Ms = Ms(1_500);
/// Age up to which a load counts in full: two polls. A host that waits for no composer gets no
/// newer load, while the queue that it knows of drains.
const FRESH_AGE: Ms = Ms(500);
/// Age from which on a request that this host admitted is in the loads that arrive: its work and
/// the load each cross the network once, at most between regions.
const REPORT_DELAY: Ms = Ms(60);
/// Time for which a region counts as saturated after a request of the most urgent rank was rejected
/// there: longer than a queue that takes up a whole latency goal.
const SATURATION_TIME: Ms = Ms::secs(5);

/// One stage of a request, in the region where it will be run.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a> {
    /// The service that runs it.
    pub service: &'a PoolId,
    /// Number of its pieces.
    pub pieces: u32,
    /// Indexes of the stages that it reads, which come before it.
    pub after: &'a [usize],
    /// Declared duration of a call with its pieces alone.
    pub alone: Ms,
}

/// A request whose stages are to be run.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Region where its stages are run.
    pub region: &'a RegionId,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Whether no request with stages has a more urgent rank.
    pub most_urgent: bool,
    /// Its workspace.
    pub workspace: WorkspaceKey,
    /// Whether its stages may be passed on to other regions.
    pub movable: bool,
    /// Its stages without those that need no pieces.
    pub stages: &'a [Stage<'a>],
    /// What follows the stages: an engine's time to the first event, and its backlog.
    pub last: StageWait,
}

/// The outcome of the admission check of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The request is admitted.
    Admit,
    /// The request would be late because of the work ahead.
    Reject(Overload),
}

/// Why a request would be late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// The request would be in time if it arrived this much later.
    pub retry_after: Ms,
    /// Index of the stage with the longest wait; the number of stages for what follows them.
    pub bottleneck: usize,
    /// The wait there.
    pub wait: Ms,
    /// Pieces ahead there.
    pub ahead: u64,
    /// Pieces of the request's own workspace and rank there.
    pub own: u64,
    /// Age of the load there.
    pub age: Ms,
}

/// A decision and what it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// The decision.
    pub decision: Decision,
    /// Work ahead of the request at each of its stages; empty if a load is unknown.
    pub ahead: Vec<Ahead>,
}

/// Work ahead of a request at one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ahead {
    /// Time that it takes, ms.
    pub wait: f64,
    /// Number of pieces.
    pub pieces: u64,
    /// Pieces of the request's own workspace and rank.
    pub own: u64,
    /// Age of the load.
    pub age: Ms,
}

#[derive(Debug)]
struct Report {
    at: Ms,
    load: ServiceLoad,
}

/// A request that this host admitted.
#[derive(Debug)]
struct Admitted {
    at: Ms,
    region: RegionId,
    /// The service of its first stage, whose load contains the request as soon as it was submitted.
    first: PoolId,
    work: Vec<(PoolId, Work)>,
}

/// The loads of the services, and the requests that they don't contain yet.
#[derive(Debug, Default)]
pub struct Admission {
    reports: HashMap<RegionId, HashMap<PoolId, Report>>,
    admitted: Vec<Admitted>,
    /// When a request of the most urgent rank was last rejected, by region.
    saturated: HashMap<RegionId, Ms>,
}

impl Admission {
    /// Records the load of a service in a region that has just arrived. An implausible one is
    /// dropped; returns whether it was recorded.
    pub fn record(
        &mut self,
        now: Ms,
        region: &RegionId,
        service: &PoolId,
        load: ServiceLoad,
    ) -> bool {
        if !load.is_plausible() {
            return false;
        }
        let contained =
            |a: &Admitted| a.region == *region && a.first == *service && now - a.at >= REPORT_DELAY;
        self.admitted.retain(|a| !contained(a) && now - a.at <= MAX_AGE);
        let known = self.reports.entry(region.clone()).or_default();
        known.insert(service.clone(), Report { at: now, load });
        true
    }

    /// Decides whether a new request is admitted that has `left` until its latency goal.
    pub fn decide(&mut self, now: Ms, left: Ms, request: &Request<'_>) -> Prediction {
        let ahead = self.ahead_of_new(now, request).unwrap_or_default();
        let decision = match ahead.len() == request.stages.len() {
            true => self.assess(now, left, request, &ahead),
            false => Decision::Admit,
        };
        match decision {
            Decision::Admit => self.admit(now, request),
            Decision::Reject(_) if request.most_urgent => {
                self.saturated.insert(request.region.clone(), now);
            }
            Decision::Reject(_) => {}
        }
        Prediction { decision, ahead }
    }

    fn assess(&self, now: Ms, left: Ms, request: &Request<'_>, ahead: &[Ahead]) -> Decision {
        let chain = chain(request, ahead, |i| self.call(request, i));
        let assessment = assess(left, chain, self.slack_share(now, request));
        let (Assessment::FitsLater(retry_after), Some(bottleneck)) = (assessment, chain.bottleneck)
        else {
            return Decision::Admit;
        };
        let after = Ahead { wait: request.last.wait, ..Ahead::default() };
        let at = ahead.get(bottleneck).copied().unwrap_or(after);
        Decision::Reject(Overload {
            retry_after,
            bottleneck,
            wait: Ms(at.wait as u64),
            ahead: at.pieces,
            own: at.own,
            age: at.age,
        })
    }

    /// Share of its slack that a new request may wait.
    ///
    /// No higher rank goes before the most urgent one, so a queue of it that exceeds the usual share
    /// is a short peak, unless it alone exceeds the capacity. Then a request is rejected that would
    /// need more than its whole slack, and from then on the usual share applies to it too.
    fn slack_share(&self, now: Ms, request: &Request<'_>) -> f64 {
        let saturated = self.saturated.get(request.region);
        match saturated.is_some_and(|at| now - *at < SATURATION_TIME) {
            false if request.most_urgent => 1.0,
            _ => MAX_SLACK_SHARE,
        }
    }

    /// Checks whether the rest of a request that is being run can end within `left`. Returns the
    /// wait for its next stage if it can't because of the work queued ahead.
    ///
    /// Its stages take at least a call with their pieces alone, and only work that is queued now
    /// goes before its own: what comes from earlier stages is newer. A request that has no chance
    /// with empty queues is left to the batcher, since the declared durations are approximate.
    pub fn rest_is_late(&self, now: Ms, left: Ms, request: &Request<'_>) -> Option<Ms> {
        let queued = |stage: &Stage<'_>| self.queued_ahead(now, request, stage);
        let ahead: Vec<Ahead> = request.stages.iter().map(queued).collect::<Option<_>>()?;
        let alone = |i: usize| request.stages[i].alone.0 as f64;
        let chain = chain(request, &ahead, alone);
        match assess(left, chain, 1.0) {
            Assessment::FitsLater(_) => ahead.first().map(|a| Ms(a.wait as u64)),
            Assessment::Fits | Assessment::Hopeless => None,
        }
    }

    /// Returns the wait for the stage that reads the first stage of `request`, if results that the
    /// first one makes now are deleted before it begins. Targets keep them for `ttl`.
    pub fn expires_unread(&self, now: Ms, ttl: Ms, request: &Request<'_>) -> Option<Ms> {
        let first = request.stages.first()?;
        let reader = request.stages.iter().find(|stage| stage.after.contains(&0))?;
        let wait = Ms(self.queued_ahead(now, request, reader)?.wait as u64);
        (!downstream::may_start(Some(wait), first.alone, ttl)).then_some(wait)
    }

    fn report(&self, now: Ms, region: &RegionId, service: &PoolId) -> Option<&Report> {
        let report = self.reports.get(region)?.get(service)?;
        (now - report.at <= MAX_AGE).then_some(report)
    }

    /// Duration of a call for a stage, ms.
    fn call(&self, request: &Request<'_>, i: usize) -> f64 {
        let stage = &request.stages[i];
        let report = self.reports.get(request.region).and_then(|known| known.get(stage.service));
        report.map_or(stage.alone.0 as f64, |r| r.load.call_ms)
    }

    /// Work ahead of a new request at each of its stages; none if a load is unknown.
    fn ahead_of_new(&self, now: Ms, request: &Request<'_>) -> Option<Vec<Ahead>> {
        let ahead = |stage: &Stage<'_>| {
            let report = self.report(now, request.region, stage.service)?;
            let mut tally = Tally::new(work(request, stage));
            report.load.queued.iter().for_each(|work| tally.add(work));
            self.add_coming(now, request.region, stage.service, &mut tally);
            Some(ahead(now, report, tally, request))
        };
        request.stages.iter().map(ahead).collect()
    }

    fn queued_ahead(&self, now: Ms, request: &Request<'_>, stage: &Stage<'_>) -> Option<Ahead> {
        let report = self.report(now, request.region, stage.service)?;
        let mut tally = Tally::new(work(request, stage));
        report.load.queued.iter().for_each(|work| tally.add(work));
        Some(ahead(now, report, tally, request))
    }

    /// Adds the pieces that requests at other services, or admitted here, will bring to a service.
    fn add_coming(&self, now: Ms, region: &RegionId, service: &PoolId, tally: &mut Tally) {
        let reports = self.reports.get(region).into_iter().flat_map(HashMap::values);
        let fresh = reports.filter(|report| now - report.at <= MAX_AGE);
        let coming = fresh.filter_map(|report| report.load.coming.get(service));
        coming.flatten().for_each(|work| tally.add(work));
        let recent = |a: &&Admitted| a.region == *region && now - a.at <= MAX_AGE;
        let work = self.admitted.iter().filter(recent).flat_map(|a| &a.work);
        work.filter(|(s, _)| s == service).for_each(|(_, work)| tally.add(work));
    }

    /// Counts the request until a load contains it.
    fn admit(&mut self, now: Ms, request: &Request<'_>) {
        self.admitted.retain(|a| now - a.at <= MAX_AGE);
        let Some(first) = request.stages.first() else { return };
        let work = |stage: &Stage<'_>| (stage.service.clone(), work(request, stage));
        self.admitted.push(Admitted {
            at: now,
            region: request.region.clone(),
            first: first.service.clone(),
            work: request.stages.iter().map(work).collect(),
        });
    }
}

fn work(request: &Request<'_>, stage: &Stage<'_>) -> Work {
    Work { rank: request.rank, workspace: request.workspace, pieces: stage.pieces }
}

fn ahead(now: Ms, report: &Report, mut tally: Tally, request: &Request<'_>) -> Ahead {
    let (pieces, own) = (tally.ahead(), tally.own());
    let age = now - report.at;
    let drained = age - FRESH_AGE.min(age);
    let near = pieces as f64 * 1_000.0 / report.load.throughput;
    let elsewhere = report.load.elsewhere.filter(|_| request.movable);
    let wait = elsewhere.map_or(near, |far| near.min(far.0 as f64));
    Ahead { wait: (wait - drained.0 as f64).max(0.0), pieces, own, age }
}

/// The completion of a request's whole chain. `call` gives the duration of each stage, ms.
fn chain(request: &Request<'_>, ahead: &[Ahead], call: impl Fn(usize) -> f64) -> Completion {
    let mut ends: Vec<Completion> = Vec::with_capacity(ahead.len());
    for (i, stage) in request.stages.iter().enumerate() {
        let before = stage.after.iter().filter_map(|a| ends.get(*a).copied());
        let reached = before.fold(Completion::default(), Completion::join);
        ends.push(reached.then(i, StageWait { time: call(i), wait: ahead[i].wait }));
    }
    let all = ends.into_iter().fold(Completion::default(), Completion::join);
    all.then(request.stages.len(), request.last)
}
