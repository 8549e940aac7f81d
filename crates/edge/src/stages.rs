//! Runs the stages of one request. Each is submitted once the stages that it reads are done and it
//! is due to start.

mod admission;
mod outputs;
mod place;
mod work;

use base::{Ms, PoolId};
use catalog::Batch;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use logs::note;
use sched::budget::Spender;
use std::sync::Arc;

use crate::host::App;
use crate::metrics::ALL_STAGES;
use crate::refusal::Reason;
use crate::request::Call;
use crate::results::{Results, StageOutput};
use crate::submit::{StageFault, submit};
use crate::unread::Retries;

/// Interval at which a stage that is held back is checked again.
const RECHECK_INTERVAL: Ms = Ms(50);
/// How often a request's stages may be run again because results that one of them read are gone.
const MAX_RERUNS: u32 = 1;

/// Whether the stages of a request are run for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// For the first time: the request may still be refused because of the work ahead.
    First,
    /// For the first time, for a caller that has a part of the answer: the request is not refused.
    TakenUp,
    /// Again: the request is not refused, and its stage targets have had its pieces.
    Again,
}

/// Runs all stages and returns their results. The request itself is not run here.
pub(crate) async fn run(app: &Arc<App>, call: &Call, turn: Turn) -> Result<Results, Reason> {
    let mut run = Run::new(app, call, turn);
    if turn == Turn::First
        && let Err(reason) = run.admit()
    {
        run.finished = true;
        return Err(reason);
    }
    // A call that its target never answers may last longer than the request.
    let left = call.left(app.core.clock.now());
    let end = tokio::time::timeout(left.duration(), run.finish()).await;
    let end = end.unwrap_or(Err(StageFault::Late(Ms::ZERO)));
    run.finished = true;
    match end {
        Ok(()) => Ok(run.into_results()),
        Err(_) if call.left(app.core.clock.now()) == Ms::ZERO => Err(Reason::NoTime),
        Err(StageFault::Outside) => Err(Reason::Outside),
        Err(StageFault::Late(wait)) => Err(Reason::Stages(wait.max(longest_call(call)))),
        Err(StageFault::Gone | StageFault::Failed) => Err(Reason::Stages(longest_call(call))),
    }
}

/// Declared duration of the longest full call among a request's stages. A busy target can't take
/// more work before such a call ends.
pub(crate) fn longest_call(call: &Call) -> Ms {
    let batches = call.route.stages.iter().filter_map(|stage| batch(call, &stage.service));
    batches.map(Batch::full).max().unwrap_or_default()
}

type Running = BoxFuture<'static, (usize, Result<StageOutput, StageFault>)>;

struct Run<'a> {
    app: &'a Arc<App>,
    call: &'a Call,
    /// Estimated duration of each stage.
    times: Vec<Ms>,
    /// Estimated time from the end of each stage to the first event.
    remaining: Vec<Ms>,
    /// Result handles of each stage, once it is done.
    done: Vec<Option<Arc<[String]>>>,
    /// Results of each stage that are still to be released.
    held: Vec<Option<StageOutput>>,
    /// Whether each stage has been submitted before, so that its targets may have had its pieces.
    submitted: Vec<bool>,
    /// What submitting them again has taken.
    retries: Vec<Arc<Retries>>,
    /// When each stage was submitted.
    started: Vec<Option<Ms>>,
    /// When the targets drop each stage's results.
    results_expire: Vec<Ms>,
    running: FuturesUnordered<Running>,
    reruns: u32,
    /// Whether it ran to its end, with or without success, instead of being dropped.
    finished: bool,
}

impl<'a> Run<'a> {
    fn new(app: &'a Arc<App>, call: &'a Call, turn: Turn) -> Self {
        let count = call.route.stages.len();
        let time = |service: &PoolId| match batch(call, service) {
            Some(batch) => app.core.estimate().stage(service, batch),
            None => Ms::ZERO,
        };
        // The durations are read first: `after` below holds the lock of the estimate, so `of` can't
        // take it.
        let times: Vec<Ms> = call.route.stages.iter().map(|s| time(&s.service)).collect();
        let of = |service: &PoolId| {
            let at = call.route.stages.iter().position(|s| s.service == *service);
            at.map_or(Ms::ZERO, |i| times[i])
        };
        let first = app.core.estimate().first_event(&call.service, call.head.own_tokens());
        let remaining = app.core.estimate().after(&call.route, first, of);
        Self {
            app,
            call,
            times,
            remaining,
            done: vec![None; count],
            held: vec![None; count],
            submitted: vec![turn == Turn::Again; count],
            retries: Vec::new(),
            started: vec![None; count],
            results_expire: vec![Ms::MAX; count],
            running: FuturesUnordered::new(),
            reruns: 0,
            finished: false,
        }
    }

    /// Turns a finished run into the results that the engine gets.
    fn into_results(mut self) -> Results {
        if let Some(expected) = self.expected() {
            let took = self.app.core.clock.now() - self.call.arrived;
            self.app.core.metrics.predicted(ALL_STAGES, expected, took);
        }
        let mut results = Results::new(self.app.clone());
        let last = self.call.route.last_stages().filter_map(|i| self.done[i].as_ref());
        results.set_handles(last.flat_map(|h| h.iter().cloned()).collect());
        results.set_home(self.home(self.call.route.last_stages()));
        let held = self.held.iter_mut().filter_map(Option::take);
        held.for_each(|output| results.hold(output));
        results
    }

    /// Time that all stages together were expected to take when the request arrived; none without
    /// stages.
    fn expected(&self) -> Option<Ms> {
        let engine =
            self.app.core.estimate().first_event(&self.call.service, self.call.head.own_tokens());
        let pieces = |i: &usize| self.call.head.pieces.get(*i).is_none_or(|p| *p > 0);
        let made = (0..self.times.len()).filter(pieces);
        made.map(|i| self.times[i] + self.remaining[i] - engine).max()
    }

    /// Runs the stages until all are done or one has failed.
    async fn finish(&mut self) -> Result<(), StageFault> {
        loop {
            let held_back = self.start_ready();
            let next = match held_back {
                false => self.running.next().await,
                true => {
                    match tokio::time::timeout(RECHECK_INTERVAL.duration(), self.running.next())
                        .await
                    {
                        Ok(next) => next,
                        Err(_) => continue,
                    }
                }
            };
            let Some((i, ended)) = next else { return Ok(()) };
            self.log_end(i, ended.as_ref().err().copied());
            match ended {
                Ok(output) => self.stage_done(i, output),
                Err(StageFault::Gone) if self.reruns < MAX_RERUNS => self.rerun(i),
                Err(fault) => return Err(fault),
            }
        }
    }

    fn log_end(&self, i: usize, fault: Option<StageFault>) {
        let now = self.app.core.clock.now();
        let due = self.call.arrived + self.call.route.latency_goal - self.remaining[i];
        let wait = match fault {
            Some(StageFault::Late(wait)) => Some(wait.0),
            _ => None,
        };
        let event = match fault {
            Some(_) => logs::Event::StageFailed,
            None => logs::Event::StageEnded,
        };
        note!(
            event,
            request = %self.call.head.id,
            stage = i,
            service = %self.call.route.stages[i].service,
            pieces = self.call.head.pieces.get(i).copied().unwrap_or(1),
            fault = fault.map_or("none", StageFault::name),
            took_ms = self.started[i].map(|start| (now - start).0),
            late_ms = (now - due).0,
            left_ms = self.call.left(now).0,
            wait_ms = wait
        );
    }

    fn log_withdrawn(&self) {
        let now = self.app.core.clock.now();
        let open = |i: &usize| self.done[*i].is_none() && self.started[*i].is_some();
        let open: Vec<usize> = (0..self.done.len()).filter(open).collect();
        let stages = &self.call.route.stages;
        let names: Vec<String> =
            open.iter().map(|i| format!("{i}:{}", stages[*i].service)).collect();
        let since = open.iter().filter_map(|i| self.started[*i]).min();
        note!(
            logs::Event::StagesWithdrawn,
            request = %self.call.head.id,
            route = %self.call.route.name,
            stages = names.join(","),
            waited_ms = since.map(|at| (now - at).0),
            left_ms = self.call.left(now).0
        );
    }

    /// Submits every stage whose inputs are ready and that is due to start. Returns whether one is
    /// held back.
    fn start_ready(&mut self) -> bool {
        let mut held_back = false;
        for i in 0..self.done.len() {
            let stage = &self.call.route.stages[i];
            let ready = stage.after.iter().all(|a| self.done[*a].is_some());
            if self.done[i].is_some() || self.started[i].is_some() || !ready {
                continue;
            }
            let pieces = self.pieces(i);
            if pieces == 0 {
                self.done[i] = Some(Arc::from([]));
                // A stage that reads this one may be ready now.
                return self.start_ready();
            }
            if !self.is_due(i) {
                held_back = true;
                continue;
            }
            let late = self.rest_is_late(i);
            self.started[i] = Some(self.app.core.clock.now());
            if let Some(wait) = late {
                self.running.push(Box::pin(async move { (i, Err(StageFault::Late(wait))) }));
                continue;
            }
            let domain = self.domain(i);
            let Some(region) = self.region(i, &domain) else {
                self.running.push(Box::pin(async move { (i, Err(StageFault::Outside)) }));
                continue;
            };
            if !self.may_submit(i, pieces) {
                self.running.push(Box::pin(async move { (i, Err(StageFault::Failed)) }));
                continue;
            }
            let mut work = self.work(i, pieces);
            // The preferred domain is dropped if the request may not be in that domain's region.
            if self.app.core.settings().region_of(&domain) == Some(&region) {
                work.home = domain.as_str().to_owned();
            }
            work.release = self.take_releases(i);
            let app = self.app.clone();
            let service = stage.service.clone();
            let declared = batch(self.call, &service).cloned();
            self.running.push(Box::pin(async move {
                (i, submit(&app, &service, &region, work, declared.as_ref()).await)
            }));
        }
        held_back
    }

    /// Whether a stage may be submitted: for the first time, or with a retry for each of its pieces.
    fn may_submit(&mut self, i: usize, pieces: u32) -> bool {
        let core = &self.app.core;
        let service = &self.call.route.stages[i].service;
        if !std::mem::replace(&mut self.submitted[i], true) {
            core.budget(Spender::Submitters).request(core.clock.now(), service);
            return true;
        }
        let retries = Retries::new(core, service, Spender::Submitters);
        let granted = retries.take_all(pieces as usize);
        self.retries.push(retries);
        if granted {
            core.metrics.pieces_resent(service.as_str(), "rerun", pieces as usize);
        }
        granted
    }
}

impl Drop for Run<'_> {
    /// Releases all results of a request that failed or whose caller has left.
    fn drop(&mut self) {
        if !self.finished {
            self.log_withdrawn();
        }
        (0..self.held.len()).for_each(|i| self.free_results(i));
    }
}

fn batch<'a>(call: &'a Call, service: &PoolId) -> Option<&'a Batch> {
    call.catalog.service(service)?.batch.as_ref()
}
